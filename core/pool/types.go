package pool

import (
	"cyclamenford/core"
	"cyclamenford/core/fair"
	"cyclamenford/core/route"
)

// Ticket is one attempt of a stage that needs an endpoint.
type Ticket struct {
	ID           uint64
	Organisation core.OrganisationID
	Weight       float64
	Priority     core.Priority
	// Cost is the expected run time at an endpoint in milliseconds.
	Cost float64
	// StartBy is the latest start with which the attempt can still meet its deadline.
	StartBy core.Millis
	Prefix  uint64
	Avoid   []core.EndpointID
	// Alone requires an endpoint that runs no other request of this host, since this request may crash its endpoint.
	Alone bool
	// NoWait refuses the ticket rather than queue it if it can't be dispatched at once.
	NoWait bool
}

func (t Ticket) queueItem() fair.Item {
	return fair.Item{
		ID: t.ID, Organisation: t.Organisation, Weight: t.Weight,
		Priority: t.Priority, Cost: t.Cost, StartBy: t.StartBy,
	}
}

func (t Ticket) routeRequest() route.Request {
	return route.Request{Prefix: t.Prefix, Avoid: t.Avoid, Alone: t.Alone}
}

// Action is the pool's decision about one ticket: Endpoint is set if it is dispatched, Reason if it is refused.
type Action struct {
	Ticket     uint64
	Endpoint   core.EndpointID
	OrderRule  fair.Rule
	RouteRule  route.Rule
	Waited     core.Millis
	Reason     core.Reason
	RetryAfter core.Millis
}

// Dispatched reports whether the action sends the ticket to an endpoint.
func (a Action) Dispatched() bool {
	return a.Endpoint != ""
}

// EnginePriority returns the priority to send to the endpoint for a ticket of the given priority.
//
// A ticket that was dispatched for its priority's guaranteed share is sent as urgent, so that it doesn't wait behind
// urgent requests a second time, in the endpoint's queue.
func (a Action) EnginePriority(p core.Priority) core.Priority {
	if a.OrderRule == fair.GuaranteedShare {
		return core.Urgent
	}
	return p
}

// Result states how a dispatched ticket ended, as far as it concerns the endpoint.
type Result uint8

// The results of a dispatched ticket.
const (
	// Succeeded means that the endpoint completed the attempt.
	Succeeded Result = iota
	// Failed means that the endpoint failed, stalled or disappeared.
	Failed
	// Unreachable means that nothing listens at the endpoint's address.
	Unreachable
	// Inconclusive means that the attempt ended for a reason that has nothing to do with the endpoint's health.
	Inconclusive
)
