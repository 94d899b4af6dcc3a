package permit

import (
	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/io/keeper"
)

// Service is the RPC service name under which keepers issue permits.
const Service = "Permit"

// TakeArgs asks for the permit to send one request to the endpoint incarnation that Report names. The report also says
// what this host has heard of its limit.
type TakeArgs struct {
	Report  limit.Report
	Host    core.HostID
	Request core.RequestID
	// Priority orders the requests by urgency; 0 is the most urgent. Aim and Left are the times until the request must be
	// sent to meet its target and until the latest time at which it may be sent.
	Priority  int
	Aim, Left core.Millis
	// Others are the other endpoints that could serve the request. All of them need a permit too, and the request gets the one
	// that is free first.
	Others []core.Life
	// Wait means that the host has no other endpoint for the request: the call waits for a permit until Left has passed.
	// Otherwise it returns at once.
	Wait bool
	// Bounded means that the host knows of a bound of the endpoints, so that none of them may be sent to without a permit.
	Bounded bool
}

// TakeReply answers a call for a permit.
type TakeReply struct {
	keeper.Located
	// Life is the endpoint for which there is a permit, or for which the request was refused.
	Life      core.Life
	Permitted bool
	// Limited is false if the endpoint names no limit any more.
	Limited bool
	// RetryAfter is set without a permit: the time until a permit is expected to be free.
	RetryAfter core.Millis
	// Waited is the time from the arrival of the call to the issue of the permit, and Bounded means that the endpoint has a
	// bound, so that the permit is valid for BoundValidity only.
	Waited  core.Millis
	Bounded bool
}
