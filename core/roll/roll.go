package roll

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

// maxRemovals is the number of removals that are remembered for hosts that fall behind. A host that is further behind
// gets the whole roll.
const maxRemovals = 256

// Listed is one published endpoint.
type Listed struct {
	order.Endpoint
	// Leaving endpoints get no new requests.
	Leaving bool
	// Limited endpoints get only requests with a permit.
	Limited bool
	// Bounded means that the endpoint is limited by a bound of the system, so that its permits are valid for a short time.
	Bounded bool
	// Hold is the latest order to hold the endpoint back, empty if there is none.
	Hold Hold
}

// Hold orders hosts to send an endpoint nothing for some time from the receipt of the order on. An order has another number than the one before.
type Hold struct {
	Number uint64
	For    core.Millis
}

// Page contains the changes of a roll after a version, or the whole roll.
type Page struct {
	// Term is the term of the publishing scheduler. Version is the version of the roll after these changes.
	Term, Version uint64
	// Whole means that Listed contains all endpoints of the roll.
	Whole  bool
	Listed []Listed
	Gone   []core.EndpointID
}

// Roll is the versioned list of endpoints that one scheduler publishes.
type Roll struct {
	term, version uint64
	listed        map[core.EndpointID]versioned
	removals      []removal
	// truncatedAt is the version of the last removal that is no longer remembered. Older versions cannot be updated by
	// changes.
	truncatedAt uint64
}

type versioned struct {
	Listed
	version uint64
}

type removal struct {
	id      core.EndpointID
	version uint64
}

// New returns an empty roll for a scheduler's term. A scheduler that restarts within its term passes a version above
// the last one of its former roll, so that hosts fetch the whole new roll.
func New(term, version uint64) *Roll {
	return &Roll{term: term, version: version, truncatedAt: version, listed: map[core.EndpointID]versioned{}}
}

// Put adds or updates an endpoint and reports whether the roll changed.
func (r *Roll) Put(l Listed) bool {
	if current, ok := r.listed[l.ID]; ok && sameListing(current.Listed, l) {
		return false
	}
	r.version++
	r.listed[l.ID] = versioned{Listed: l, version: r.version}
	return true
}

// sameListing compares two listings. It ignores how much longer a cold endpoint stays cold, since that differs in every
// announcement.
func sameListing(a, b Listed) bool {
	if (a.Cold > 0) != (b.Cold > 0) {
		return false
	}
	a.Cold = b.Cold
	return a == b
}

// Remove removes an endpoint and reports whether it was listed.
func (r *Roll) Remove(id core.EndpointID) bool {
	if _, ok := r.listed[id]; !ok {
		return false
	}
	r.version++
	delete(r.listed, id)
	r.removals = append(r.removals, removal{id: id, version: r.version})
	if len(r.removals) > maxRemovals {
		r.truncatedAt = r.removals[0].version
		r.removals = r.removals[1:]
	}
	return true
}

// Version returns the current version, which increases by one with each change.
func (r *Roll) Version() uint64 { return r.version }

// ChangesSince returns the changes after the given version, or the whole roll if the version is of another term, too old or
// newer than this roll.
func (r *Roll) ChangesSince(term, version uint64) Page {
	p := Page{Term: r.term, Version: r.version}
	if term != r.term || version < r.truncatedAt || version > r.version {
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
	first, _ := slices.BinarySearchFunc(r.removals, version+1, func(g removal, v uint64) int { return cmp.Compare(g.version, v) })
	for _, g := range r.removals[first:] {
		if _, relisted := r.listed[g.id]; !relisted {
			p.Gone = append(p.Gone, g.id)
		}
	}
	return p
}
