package assign

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/state"
)

// roster remembers the last announcement of each endpoint.
type roster struct {
	// silence is how long an endpoint may be silent before it is forgotten.
	silence core.Millis
	known   map[core.EndpointID]entry
}

type entry struct {
	Announcement
	heard core.Millis
}

// Standing says what an announcement means for the endpoint.
type standing int

const (
	// stale announcements come from an ended life, or were overtaken.
	stale standing = iota
	// current announcements are acted on.
	current
)

func newRoster(silence core.Millis) *roster {
	return &roster{silence: silence, known: map[core.EndpointID]entry{}}
}

// take orders an announcement by the endpoint's life and its sequence number, against the lives that have ended.
//
// It also returns the endpoints whose address the announcing one has taken over.
func (r *roster) take(now core.Millis, a Announcement, retired map[core.EndpointID]state.Retirement) (standing, []core.EndpointID) {
	e := a.Endpoint
	if ended, ok := retired[e.ID]; ok && ended.Incarnation >= e.Incarnation && !a.Leaving {
		return stale, nil
	}
	known, ok := r.known[e.ID]
	if ok && (known.Endpoint.Incarnation > e.Incarnation ||
		known.Endpoint.Incarnation == e.Incarnation && known.Seq >= a.Seq) {
		return stale, nil
	}
	var replaced []core.EndpointID
	for id, other := range r.known {
		if id == e.ID || other.Endpoint.Address != e.Address {
			continue
		}
		if other.Endpoint.Incarnation > e.Incarnation {
			return stale, nil
		}
		replaced = append(replaced, id)
	}
	slices.Sort(replaced)
	for _, id := range replaced {
		delete(r.known, id)
	}
	r.known[e.ID] = entry{Announcement: a, heard: now}
	return current, replaced
}

// lapsed removes and returns the endpoints that have been silent for too long.
func (r *roster) lapsed(now core.Millis) []core.EndpointID {
	var gone []core.EndpointID
	for id, e := range r.known {
		if now-e.heard > r.silence {
			gone = append(gone, id)
			delete(r.known, id)
		}
	}
	return gone
}

// list returns the endpoints with the age of their announcements, in the order of their names.
func (r *roster) list(now core.Millis) []Known {
	list := make([]Known, 0, len(r.known))
	for _, id := range slices.Sorted(maps.Keys(r.known)) {
		e := r.known[id]
		list = append(list, Known{Announcement: e.Announcement, Age: now - e.heard})
	}
	return list
}

// adopt takes the endpoints over that an earlier leader knew, as far as they have not ended since.
func (r *roster) adopt(now core.Millis, list []Known, retired map[core.EndpointID]state.Retirement) []Announcement {
	var taken []Announcement
	for _, k := range list {
		if k.Age >= r.silence {
			continue
		}
		if s, _ := r.take(now, k.Announcement, retired); s == current {
			e := r.known[k.Announcement.Endpoint.ID]
			e.heard = now - k.Age
			r.known[k.Announcement.Endpoint.ID] = e
			taken = append(taken, k.Announcement)
		}
	}
	return taken
}
