package pool

import (
	"cyclamenford/core"
	"cyclamenford/core/fair"
	"cyclamenford/core/route"
)

// Ticket is one attempt of one stage that asks for an endpoint.
type Ticket struct {
	ID           uint64
	Organisation core.OrganisationID
	Weight       float64
	Priority     core.Priority
	// Cost is the expected time at an endpoint in milliseconds.
	Cost float64
	// StartBy is the last time at which starting the attempt can still meet the deadline.
	StartBy core.Millis
	Prefix  uint64
	Avoid   []core.EndpointID
	// Alone keeps a suspected request apart from other work.
	Alone bool
	// NoWait asks for an endpoint at once or not at all.
	NoWait bool
}

func (t Ticket) item() fair.Item {
	return fair.Item{
		ID: t.ID, Organisation: t.Organisation, Weight: t.Weight,
		Priority: t.Priority, Cost: t.Cost, StartBy: t.StartBy,
	}
}

func (t Ticket) request() route.Request {
	return route.Request{Prefix: t.Prefix, Avoid: t.Avoid, Alone: t.Alone}
}

// Action is what the pool has decided about one ticket: Endpoint is set when it is dispatched, Reason when it is refused.
type Action struct {
	Ticket     uint64
	Endpoint   core.EndpointID
	Order      fair.Why
	Route      route.Why
	Waited     core.Millis
	Reason     core.Reason
	RetryAfter core.Millis
}

// Dispatched reports whether the action sends the ticket to an endpoint.
func (a Action) Dispatched() bool {
	return a.Endpoint != ""
}

// EnginePriority returns the priority to tell the endpoint, for work of the given one.
//
// Work that its guaranteed share has brought to its turn must not wait again behind the urgent.
func (a Action) EnginePriority(p core.Priority) core.Priority {
	if a.Order == fair.GuaranteedShare {
		return core.Urgent
	}
	return p
}

// Verdict says how a dispatched ticket ended.
type Verdict uint8

// The ways in which a dispatched ticket can end.
const (
	// Succeeded means that the endpoint answered well.
	Succeeded Verdict = iota
	// Faulted means that the endpoint failed, stalled or vanished.
	Faulted
	// Unreachable means that nothing listens at the endpoint's address.
	Unreachable
	// Withdrawn means that the attempt ended for a reason that says nothing of the endpoint.
	Withdrawn
)
