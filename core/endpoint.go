package core

import (
	"net/netip"
	"slices"
)

// StageKind is the kind of work that an endpoint does for a request.
type StageKind string

// The kinds of stage. Plain is a service that belongs to no model pipeline.
const (
	Encode   StageKind = "Encode"
	Retrieve StageKind = "Retrieve"
	Rerank   StageKind = "Rerank"
	Generate StageKind = "Generate"
	Plain    StageKind = "Plain"
)

// StageKinds lists the valid kinds of stage.
var StageKinds = []StageKind{Encode, Retrieve, Rerank, Generate, Plain}

// PoolID identifies a pool of equivalent endpoints: those of one kind that serve the same model, or the same plain
// service.
type PoolID struct {
	Kind  StageKind
	Model string
}

// String returns the pool as "kind/model".
func (p PoolID) String() string {
	return string(p.Kind) + "/" + p.Model
}

// Load is an endpoint's report of its running and queued requests. It is delayed, so the present load may differ.
type Load struct {
	Running int
	Queued  int
	Seq     uint64
}

// CacheEvent reports that an engine has cached or evicted a prompt prefix.
type CacheEvent struct {
	Seq     uint64
	Prefix  uint64
	Evicted bool
}

// Announcement describes an endpoint: its address, models, capacity and load. It acts as a lease, which the endpoint
// extends by announcing itself again.
type Announcement struct {
	ID          EndpointID
	Incarnation Incarnation
	Seq         uint64
	// UptimeMs is the time since the endpoint's start on its monotonic clock; 0 if it isn't known. Receivers use it to
	// detect announcements that were delayed on the network.
	UptimeMs      Millis
	Address       string
	FailureDomain FailureDomain
	Kind          StageKind
	Models        []string
	Slots         int
	// CacheEntries is the number of prompt prefixes that fit into the endpoint's cache; 0 means unknown.
	CacheEntries  int
	ChecksFencing bool
	ChecksIssuer  bool
	Load          Load
	CacheEvents   []CacheEvent
	Goodbye       bool
}

// Life returns the endpoint and incarnation that the announcement describes.
func (a Announcement) Life() Life {
	return Life{Endpoint: a.ID, Incarnation: a.Incarnation}
}

// Target returns the announced incarnation with its address.
func (a Announcement) Target() Target {
	return Target{Life: a.Life(), Address: a.Address}
}

// Serves reports whether the endpoint belongs to the pool.
func (a Announcement) Serves(pool PoolID) bool {
	return a.Kind == pool.Kind && slices.Contains(a.Models, pool.Model)
}

// WithLoad returns a copy with the given load report.
func (a Announcement) WithLoad(load Load) Announcement {
	a.Load = load
	return a
}

// WithGoodbye returns a copy that announces the end of the endpoint's incarnation.
func (a Announcement) WithGoodbye() Announcement {
	a.Goodbye = true
	return a
}

// Validate returns an error that names the first field that is missing or out of range.
func (a Announcement) Validate() error {
	switch {
	case a.ID == "":
		return fieldError("ID", "", "a name")
	case a.Incarnation == 0:
		return fieldError("Incarnation", 0, "a number above 0")
	case a.Incarnation > MaxIncarnation:
		return fieldError("Incarnation", a.Incarnation, "at most 2^53")
	case a.Seq > MaxSeq:
		return fieldError("Seq", a.Seq, "at most 2^62")
	case !IsAddress(a.Address):
		return fieldError("Address", a.Address, "IP:PORT with a port from 1 to 65535")
	case !slices.Contains(StageKinds, a.Kind):
		return fieldError("Kind", a.Kind, StageKinds)
	case len(a.Models) == 0:
		return fieldError("Models", "none", "at least one")
	case a.Slots < 1 || a.Slots > MaxSlots:
		return fieldError("Slots", a.Slots, "1 to 4096")
	}
	return nil
}

const (
	// MaxSlots is the largest number of concurrent requests that an endpoint may announce.
	MaxSlots = 4096
	// MaxSeq leaves room for sequence numbers that are times in nanoseconds. Near the end of their range a number would leave
	// none for later announcements.
	MaxSeq = 1 << 62
	// MaxIncarnation is above every start time in milliseconds. A higher number would make all later incarnations look old.
	MaxIncarnation = 1 << 53
)

// IsAddress reports whether a text is an IP address and a port from 1 to 65535.
func IsAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() > 0
}
