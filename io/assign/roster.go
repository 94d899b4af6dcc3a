package assign

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/state"
)

// roster holds the latest announcement of each known endpoint.
type roster struct {
	// maxSilence is how long an endpoint may go without an announcement before it is removed.
	maxSilence core.Millis
	entries    map[core.EndpointID]rosterEntry
}

// rosterEntry is an announcement with the time of its arrival.
type rosterEntry struct {
	Announcement
	receivedAt core.Millis
}

// freshness tells whether an announcement is applied.
type freshness int

const (
	// stale announcements come from an ended incarnation, or arrived after a later announcement. They are ignored.
	stale freshness = iota
	// current announcements are applied.
	current
)

func newRoster(silence core.Millis) *roster {
	return &roster{maxSilence: silence, entries: map[core.EndpointID]rosterEntry{}}
}

// apply stores an announcement unless it is stale, judged by its incarnation, its sequence number and the retired
// incarnations.
//
// It also returns the endpoints that were removed because the announcing endpoint has taken over their address.
func (r *roster) apply(now core.Millis, a Announcement, retired map[core.EndpointID]state.Retirement) (freshness, []core.EndpointID) {
	endpoint := a.Endpoint
	if ended, ok := retired[endpoint.ID]; ok && ended.Incarnation >= endpoint.Incarnation && !a.Leaving {
		return stale, nil
	}
	known, ok := r.entries[endpoint.ID]
	if ok && (known.Endpoint.Incarnation > endpoint.Incarnation || known.Endpoint.Incarnation == endpoint.Incarnation && !known.precedes(a)) {
		return stale, nil
	}
	var replaced []core.EndpointID
	for id, other := range r.entries {
		if id == endpoint.ID || other.Endpoint.Address != endpoint.Address {
			continue
		}
		if other.Endpoint.Incarnation > endpoint.Incarnation {
			return stale, nil
		}
		replaced = append(replaced, id)
	}
	slices.Sort(replaced)
	for _, id := range replaced {
		delete(r.entries, id)
	}
	r.entries[endpoint.ID] = rosterEntry{Announcement: a, receivedAt: now}
	return current, replaced
}

// precedes reports whether an announcement of the same incarnation takes the place of this one. One without a version is not the endpoint's own
// if another has one, and its count says nothing: a host of an earlier release may pass on what another writer has sent.
func (e rosterEntry) precedes(a Announcement) bool {
	if (e.Endpoint.Version == "") != (a.Endpoint.Version == "") {
		return e.Endpoint.Version == ""
	}
	return e.Seq < a.Seq
}

// removeSilent removes and returns the endpoints without an announcement for longer than maxSilence.
func (r *roster) removeSilent(now core.Millis) []core.EndpointID {
	var removed []core.EndpointID
	for id, e := range r.entries {
		if now-e.receivedAt > r.maxSilence {
			removed = append(removed, id)
			delete(r.entries, id)
		}
	}
	return removed
}

// list returns the endpoints with the age of their announcements, sorted by ID.
func (r *roster) list(now core.Millis) []KnownEndpoint {
	list := make([]KnownEndpoint, 0, len(r.entries))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		list = append(list, KnownEndpoint{Announcement: e.Announcement, Age: now - e.receivedAt})
	}
	return list
}

// restore adds endpoints that an earlier leader knew, with the age of their announcements. It skips endpoints that
// have been silent for too long, have been retired or are stale otherwise, and returns the announcements that it
// added.
func (r *roster) restore(now core.Millis, list []KnownEndpoint, retired map[core.EndpointID]state.Retirement) []Announcement {
	var restored []Announcement
	for _, k := range list {
		if k.Age >= r.maxSilence {
			continue
		}
		if status, _ := r.apply(now, k.Announcement, retired); status == current {
			e := r.entries[k.Announcement.Endpoint.ID]
			e.receivedAt = now - k.Age
			r.entries[k.Announcement.Endpoint.ID] = e
			restored = append(restored, k.Announcement)
		}
	}
	return restored
}
