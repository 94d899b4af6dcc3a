package assign

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/keeper"
)

// Service is the name under which keepers answer these calls.
const Service = "Assign"

// PlaceArgs asks for an endpoint for a new request.
type PlaceArgs struct{ Ask order.Ask }

// AgainArgs asks for another endpoint after an attempt ended.
type AgainArgs struct {
	Key order.Key
	How order.Ending
}

// PlaceReply is the answer to both: a grant or a refusal.
type PlaceReply struct {
	keeper.Located
	Grant  *order.Grant
	Refuse *order.Refuse
}

// Event is what an entry host tells of a request; it needs no answer.
type Event struct {
	Key order.Key
	// Began tells that the first byte came back; otherwise the attempt has ended as How says.
	Began bool
	How   order.Ending
}

// EventsArgs carries events in their order.
type EventsArgs struct{ Events []Event }

// Announcement is what an endpoint says of itself.
type Announcement struct {
	Endpoint order.Endpoint
	// Seq grows with each announcement of one life.
	Seq uint64
	// Leaving tells that the endpoint takes nothing new; Gone that it said goodbye, in which case only its ID is known.
	Leaving, Gone bool
}

// AnnounceReply is the answer to an announcement.
type AnnounceReply struct {
	keeper.Located
	// Taken tells that every entry host acts on the announcement from now on.
	Taken bool
	// Detail says why it was not taken.
	Detail string
}

// KnownArgs asks for the endpoints.
type KnownArgs struct{}

// Endpoints lists endpoints for a keeper that may have to lead next.
type Endpoints struct {
	keeper.Located
	Known []Known
}

// Known is one endpoint as the leader knows it.
type Known struct {
	Announcement Announcement
	// Age is the time since its last announcement.
	Age core.Millis
}
