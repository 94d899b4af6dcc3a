package roll

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

// goneKept is the number of removals that are remembered for hosts that fall behind; one further behind gets the whole roll.
const goneKept = 256

// Listed is one published endpoint.
type Listed struct {
	order.Endpoint
	// Leaving endpoints get nothing new.
	Leaving bool
}

// Page is what has changed of a roll after a version.
type Page struct {
	// Term is that of the scheduler that publishes, and Version the roll's after these changes.
	Term, Version uint64
	// Whole tells that Listed are all endpoints of the roll.
	Whole  bool
	Listed []Listed
	Gone   []core.EndpointID
}

// Roll is the published endpoints of one scheduler.
type Roll struct {
	term, version uint64
	listed        map[core.EndpointID]stamped
	gone          []removal
	// forgotten is the version of the last removal that is no longer remembered.
	forgotten uint64
}

type stamped struct {
	Listed
	version uint64
}

type removal struct {
	id      core.EndpointID
	version uint64
}

// New returns the empty roll of a scheduler's term. A scheduler that begins anew in its term passes a version above the last
// one of its former roll, so that hosts take the new roll whole.
func New(term, version uint64) *Roll {
	return &Roll{term: term, version: version, forgotten: version, listed: map[core.EndpointID]stamped{}}
}

// Put publishes an endpoint and reports whether that is news.
func (r *Roll) Put(l Listed) bool {
	if known, ok := r.listed[l.ID]; ok && same(known.Listed, l) {
		return false
	}
	r.version++
	r.listed[l.ID] = stamped{Listed: l, version: r.version}
	return true
}

// same compares two announcements; how much longer an endpoint is slow after its start changes with each one.
func same(a, b Listed) bool {
	if (a.Cold > 0) != (b.Cold > 0) {
		return false
	}
	a.Cold = b.Cold
	return a == b
}

// Remove takes an endpoint off the roll and reports whether that is news.
func (r *Roll) Remove(id core.EndpointID) bool {
	if _, ok := r.listed[id]; !ok {
		return false
	}
	r.version++
	delete(r.listed, id)
	r.gone = append(r.gone, removal{id: id, version: r.version})
	if len(r.gone) > goneKept {
		r.forgotten = r.gone[0].version
		r.gone = r.gone[1:]
	}
	return true
}

// Version returns the number of changes so far.
func (r *Roll) Version() uint64 { return r.version }

// Since returns what has changed since a version that a host has of a term's roll.
func (r *Roll) Since(term, version uint64) Page {
	p := Page{Term: r.term, Version: r.version}
	if term != r.term || version < r.forgotten || version > r.version {
		p.Whole, version = true, 0
	}
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		if l := r.listed[id]; l.version > version {
			p.Listed = append(p.Listed, l.Listed)
		}
	}
	if p.Whole {
		return p
	}
	first, _ := slices.BinarySearchFunc(r.gone, version+1, func(g removal, v uint64) int { return cmp.Compare(g.version, v) })
	for _, g := range r.gone[first:] {
		if _, back := r.listed[g.id]; !back {
			p.Gone = append(p.Gone, g.id)
		}
	}
	return p
}
