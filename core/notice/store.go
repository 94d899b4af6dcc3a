package notice

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
)

const (
	// maxEntries limits the incarnations that are remembered. An endpoint that is leaving has ended long before that
	// many others have left.
	maxEntries = 4096
	// evictionDivisor sets the part of the entries that is evicted at once, one in evictionDivisor, so that not every
	// new entry has to sort them all.
	evictionDivisor = 8
)

// Notice is what an endpoint says about its own availability in one answer.
type Notice struct {
	// Leaving means that this incarnation of the endpoint accepts no new requests.
	Leaving bool
	// Pause is how long the host that got the answer must send no requests to the endpoint; 0 means no pause.
	Pause core.Millis
}

// Empty reports whether the answer contained no notice.
func (n Notice) Empty() bool { return n == Notice{} }

// PauseEnd returns the first time at which the pause is over, if the answer was received at now. A clock reading is
// rounded down, so that the answer may have arrived up to a millisecond later.
func (n Notice) PauseEnd(now core.Millis) core.Millis { return now + n.Pause + 1 }

// Store stores the notices that one host received, by incarnation of the endpoint.
type Store struct {
	entries map[core.Life]entry
}

type entry struct {
	leaving bool
	// pauseUntil is the end of the longest pause.
	pauseUntil core.Millis
	updatedAt  core.Millis
}

// New returns an empty store of notices.
func New() *Store { return &Store{entries: map[core.Life]entry{}} }

// Record records the notice in an answer of an incarnation and reports whether it changed anything. The longest of
// several pauses applies, and a leave notice is never withdrawn.
func (s *Store) Record(now core.Millis, l core.Life, n Notice) bool {
	previous, ok := s.entries[l]
	next := entry{leaving: previous.leaving || n.Leaving, pauseUntil: previous.pauseUntil, updatedAt: now}
	if n.Pause > 0 {
		next.pauseUntil = max(previous.pauseUntil, n.PauseEnd(now))
	}
	if n.Empty() || next.leaving == previous.leaving && next.pauseUntil == previous.pauseUntil {
		return false
	}
	if !ok && len(s.entries) >= maxEntries {
		s.evict(now)
	}
	s.entries[l] = next
	return true
}

// Leaving reports whether an incarnation has announced in an answer that it is leaving.
func (s *Store) Leaving(l core.Life) bool { return s.entries[l].leaving }

// PausedUntil returns the end of the longest pause of an incarnation, which may be in the past, or 0 if there was none.
func (s *Store) PausedUntil(l core.Life) core.Millis { return s.entries[l].pauseUntil }

// Usable reports whether this host may send a request to an incarnation now.
func (s *Store) Usable(now core.Millis, l core.Life) bool {
	current := s.entries[l]
	return !current.leaving && now >= current.pauseUntil
}

// evict removes the entries of pauses that have ended and, if the limit is still reached, the oldest entries.
func (s *Store) evict(now core.Millis) {
	maps.DeleteFunc(s.entries, func(_ core.Life, e entry) bool { return !e.leaving && now >= e.pauseUntil })
	if len(s.entries) < maxEntries {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(s.entries), func(x, y core.Life) int {
		return cmp.Or(cmp.Compare(s.entries[x].updatedAt, s.entries[y].updatedAt), cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	for _, l := range byAge[:maxEntries/evictionDivisor] {
		delete(s.entries, l)
	}
}
