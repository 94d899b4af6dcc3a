package member

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

// LeaseTTL is how long an announcement holds after it left its endpoint.
const LeaseTTL = 3 * core.Second

// tombstoneTTL is how long a finished incarnation is remembered, so that a late renewal cannot revive it.
const tombstoneTTL = 10 * 60 * core.Second

// Change says what an announcement did to the table.
type Change uint8

// The changes that an announcement can make.
const (
	// Ignored means that the announcement was older than what is known.
	Ignored Change = iota
	// Renewed means that a known incarnation goes on.
	Renewed
	// Joined means that a new endpoint or incarnation is alive.
	Joined
	// Left means that the incarnation has said goodbye.
	Left
)

type record struct {
	last    core.Announcement
	renewed core.Millis
	lapsed  bool
	start   start
}

// Table is what one host knows of the endpoints.
type Table struct {
	records map[core.EndpointID]*record
}

// New returns an empty table.
func New() *Table {
	return &Table{records: map[core.EndpointID]*record{}}
}

// Announce takes in an announcement that left its endpoint at least age milliseconds ago. One that was held back for longer than
// its lease is ignored: its endpoint may have said goodbye since, to a host that is out of reach.
func (t *Table) Announce(now core.Millis, a core.Announcement, age core.Millis) Change {
	r, ok := t.records[a.ID]
	if ok && !newer(a, r.last) {
		return Ignored
	}
	if ok && r.last.Goodbye && a.Incarnation == r.last.Incarnation {
		return Ignored
	}
	var began start
	if ok && a.Incarnation == r.last.Incarnation {
		began = r.start
	}
	age = max(age, 0)
	age += began.delay(now, now-age-a.UptimeMs, a.UptimeMs)
	if ok {
		r.start = began
	}
	if age >= LeaseTTL && !a.Goodbye {
		return Ignored
	}
	fresh := !ok || r.lapsed || a.Incarnation > r.last.Incarnation
	t.records[a.ID] = &record{last: a, renewed: now - age, start: began}
	switch {
	case a.Goodbye:
		return Left
	case fresh:
		return Joined
	}
	return Renewed
}

func newer(a, b core.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Goodbye != b.Goodbye {
		return a.Goodbye
	}
	return a.Seq > b.Seq
}

// Expire ends the leases that ran out and returns the endpoints that lost theirs.
func (t *Table) Expire(now core.Millis) []core.EndpointID {
	var lapsed []core.EndpointID
	for id, r := range t.records {
		if !r.lapsed && !r.last.Goodbye && now-r.renewed >= LeaseTTL {
			r.lapsed = true
			lapsed = append(lapsed, id)
		}
		if now-r.renewed >= tombstoneTTL {
			delete(t.records, id)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// Alive reports whether the endpoint's lease holds now.
func (t *Table) Alive(now core.Millis, id core.EndpointID) bool {
	r, ok := t.records[id]
	return ok && !r.last.Goodbye && now-r.renewed < LeaseTTL
}

// Get returns the last announcement of an endpoint, alive or not.
func (t *Table) Get(id core.EndpointID) (core.Announcement, bool) {
	r, ok := t.records[id]
	if !ok {
		return core.Announcement{}, false
	}
	return r.last, true
}

// Live returns the last announcement of every endpoint that is alive, ordered by name.
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
