package assign

import (
	"errors"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/limit"
	"cyclamenford/core/notice"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
	"cyclamenford/core/quorum"
	"cyclamenford/core/roll"
	"cyclamenford/core/speed"
	"cyclamenford/io/keeper"
)

// Service is the RPC service name under which keepers offer the calls of this package.
const Service = "Assign"

// PlaceArgs requests an endpoint for a new request.
type PlaceArgs struct{ Ask order.PlacementRequest }

// AgainArgs requests another endpoint after an attempt has ended.
type AgainArgs struct {
	Key order.Key
	// How is how the attempt ended.
	How order.AttemptOutcome
	// Notice is set if the host made no attempt because of a notice of the granted endpoint, and carries that notice.
	Notice *RequestEvent
	// Service and Continuation are those of the request.
	Service string
	order.Continuation
}

// PlaceReply answers Place and Again with a grant or a refusal.
type PlaceReply struct {
	keeper.Located
	Grant  *order.Grant
	Refuse *order.Refusal
	// Unknown means that this scheduler does not know the request because an earlier scheduler placed it.
	Unknown bool
	// NotTaken means that no scheduler of the answering keeper has got to know the request.
	NotTaken bool
	// Term is the term of the leader that decided.
	Term uint64
}

// RequestEvent reports the progress of a request, or a notice of an endpoint, from an entry host. It needs no reply.
type RequestEvent struct {
	Key order.Key
	// Began means that the first byte of the answer has arrived. Otherwise the attempt has ended as How says.
	Began bool
	// Attempt is the number of the grant whose answer has begun, 0 if the host does not name it.
	Attempt int
	How     order.AttemptOutcome
	// Notice, unless empty, is what the endpoint incarnation Life has reported to the host. Only Key.Host is used of
	// the key then.
	Life   core.Life
	Notice notice.Notice
	// Load is what the answer says of the endpoint's load, if the event is about an answer.
	Load order.LoadReport
}

// EventsArgs carries events in the order in which they occurred, and what endpoints have said about their limits to Host, and refused to it.
type EventsArgs struct {
	Events   []RequestEvent
	Host     core.HostID
	Limits   []limit.Report
	Refusals []Refusal
}

// Refusal is a refusal for want of room by a brittle endpoint, which bears the given number of them in a brittle.Window.
type Refusal struct {
	Life  core.Life
	Bears int
}

// Announcement is an endpoint's report of its address, service and state.
type Announcement struct {
	Endpoint order.Endpoint
	// Seq increases with each announcement of one incarnation.
	Seq uint64
	// Leaving means that the endpoint accepts no new requests. Gone means that it said goodbye; only its ID is set then.
	Leaving, Gone bool
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	keeper.Located
	// Taken means that every entry host acts on the announcement from now on.
	Taken bool
	// Detail is the reason why the announcement was not accepted.
	Detail string
}

// reject makes the reply say why the announcement was not accepted. Announcements may be repeated, so that a keeper that has lost its
// leadership meanwhile leaves them to the next leader.
func (r *AnnounceReply) reject(err error) {
	if errors.Is(err, quorum.ErrNotLeader) {
		r.Located = keeper.Located{}
		return
	}
	r.Detail = err.Error()
}

// CutArgs reports requests whose connection to an endpoint broke, when their host cannot determine whether the
// endpoint has ended.
type CutArgs struct {
	On       core.Target
	Suspects []poison.Suspect
}

// CutReply tells whether the answering keeper leads and has recorded the cut.
type CutReply struct{ keeper.Located }

// RollArgs requests the changes of the roll since Version of Term. The call waits up to Wait for a change.
type RollArgs struct {
	Term, Version uint64
	Wait          core.Millis
}

// RollReply carries the changes of the roll.
type RollReply struct {
	keeper.Located
	Page roll.Page
}

// KnownArgs requests the leader's known endpoints.
type KnownArgs struct{}

// KnownReply lists the leader's endpoints for a keeper that may lead next.
type KnownReply struct {
	keeper.Located
	Known []KnownEndpoint
	// Limits is what the leader knows of the limits that endpoints name.
	Limits []limit.Report
	// Speeds are the leader's estimates of the endpoints that state their slowdown, and ServiceSpeeds those of their services by name.
	Speeds        []fleet.EndpointSpeed
	ServiceSpeeds map[string]speed.ServiceObservation
}

// HeldArgs requests the events about held results from number From of Term on.
type HeldArgs struct{ Term, From uint64 }

// ResultEvent is one event about results that endpoints of stages hold, about stage calls, or about requests at engines. One kind of event
// is set.
type ResultEvent struct {
	// Made are new results, Began is a call that began, and Over is the number of a call that is no longer in
	// progress. If none of them is set, the results of the request Key for the stage Stage at Holder are freed; without a
	// holder, those at all endpoints.
	Made   *order.HeldResults
	Began  *order.RunningCall
	Over   uint64
	Key    order.Key
	Stage  int
	Holder core.EndpointID
	// Runs is a request that was granted an engine, FirstByte the key of one whose answer has begun, and Left that of one that has left its
	// engine.
	Runs            *order.RunningRequest
	FirstByte, Left *order.Key
}

// HeldReply carries events in the order in which they occurred.
type HeldReply struct {
	keeper.Located
	// Term is the leader's term, and Next the number of the event after the last one.
	Term, Next uint64
	Events     []ResultEvent
	// Now is the time of the leader's clock, to which the times in the events refer.
	Now core.Millis
	// Whole means that Running lists all requests at engines as of the last event.
	Whole   bool
	Running []order.RunningRequest
	// Unsettled means that the leader itself may not know all requests at engines yet.
	Unsettled bool
}

// CopyArgs asks a keeper that may lead next to copy what the leader knows at once.
type CopyArgs struct{}

// CopyReply answers once the copy is made.
type CopyReply struct {
	keeper.Located
	// Copied means that the answering keeper has the leader's latest events.
	Copied bool
}

// KnownEndpoint is an endpoint's latest announcement as the leader knows it.
type KnownEndpoint struct {
	Announcement Announcement
	// Age is the time since the announcement arrived.
	Age core.Millis
	// Observed is what the leader's scheduler has observed of the endpoint.
	Observed order.Observation
}
