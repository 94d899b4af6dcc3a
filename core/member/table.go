package member

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

// LeaseTTL is how long an announcement keeps its endpoint alive, counted from when it was sent.
const LeaseTTL = 3 * core.Second

// tombstoneTTL is how long an ended incarnation is remembered, so that a late renewal does not make it alive again.
const tombstoneTTL = 10 * 60 * core.Second

// Change is the effect of an announcement on the table.
type Change uint8

// The possible effects of an announcement.
const (
	// Ignored means that the announcement was outdated, delayed beyond its lease, or followed a goodbye.
	Ignored Change = iota
	// Renewed means that the lease of a live incarnation was renewed.
	Renewed
	// Joined means that an endpoint or incarnation is newly alive, or alive again after its lease had run out.
	Joined
	// Left means that the incarnation ended with a goodbye.
	Left
)

// record is the state of an endpoint's latest incarnation.
type record struct {
	last core.Announcement
	// sentAt is when the last announcement was sent, on this host's clock.
	sentAt core.Millis
	// expired means that Expire has reported the end of the lease.
	expired bool
	start   startEstimate
}

// Table holds the endpoints known to one host and their leases.
type Table struct {
	records map[core.EndpointID]*record
}

// New returns an empty table.
func New() *Table {
	return &Table{records: map[core.EndpointID]*record{}}
}

// Announce applies an announcement that was sent at least age milliseconds ago. One that was delayed for longer than its
// lease is ignored, since its endpoint may have sent a goodbye since then to a host that is unreachable. Goodbyes apply
// at any age.
func (t *Table) Announce(now core.Millis, a core.Announcement, age core.Millis) Change {
	r, ok := t.records[a.ID]
	if ok && !supersedes(a, r.last) {
		return Ignored
	}
	if ok && r.last.Goodbye && a.Incarnation == r.last.Incarnation {
		return Ignored
	}
	var estimate startEstimate
	if ok && a.Incarnation == r.last.Incarnation {
		estimate = r.start
	}
	age = max(age, 0)
	age += estimate.transitDelay(now, now-age-a.UptimeMs, a.UptimeMs)
	if ok {
		r.start = estimate
	}
	if age >= LeaseTTL && !a.Goodbye {
		return Ignored
	}
	joined := !ok || r.expired || a.Incarnation > r.last.Incarnation
	t.records[a.ID] = &record{last: a, sentAt: now - age, start: estimate}
	switch {
	case a.Goodbye:
		return Left
	case joined:
		return Joined
	}
	return Renewed
}

// supersedes reports whether announcement a supersedes b: by a higher incarnation, then by being a goodbye, then by a
// higher sequence number.
func supersedes(a, b core.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Goodbye != b.Goodbye {
		return a.Goodbye
	}
	return a.Seq > b.Seq
}

// Expire returns the endpoints whose leases have run out since the last call, and removes records older than
// tombstoneTTL.
func (t *Table) Expire(now core.Millis) []core.EndpointID {
	var lapsed []core.EndpointID
	for id, r := range t.records {
		if !r.expired && !r.last.Goodbye && now-r.sentAt >= LeaseTTL {
			r.expired = true
			lapsed = append(lapsed, id)
		}
		if now-r.sentAt >= tombstoneTTL {
			delete(t.records, id)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// Alive reports whether the endpoint's lease is valid now.
func (t *Table) Alive(now core.Millis, id core.EndpointID) bool {
	r, ok := t.records[id]
	return ok && !r.last.Goodbye && now-r.sentAt < LeaseTTL
}

// Get returns the last announcement of an endpoint, whether it is alive or not.
func (t *Table) Get(id core.EndpointID) (core.Announcement, bool) {
	r, ok := t.records[id]
	if !ok {
		return core.Announcement{}, false
	}
	return r.last, true
}

// Live returns the last announcement of every live endpoint, sorted by ID.
func (t *Table) Live(now core.Millis) []core.Announcement {
	var live []core.Announcement
	for id, r := range t.records {
		if t.Alive(now, id) {
			live = append(live, r.last)
		}
	}
	slices.SortFunc(live, func(a, b core.Announcement) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return live
}

// String returns the change's name.
func (c Change) String() string {
	return [...]string{"Ignored", "Renewed", "Joined", "Left"}[c]
}
