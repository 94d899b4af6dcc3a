package limit

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
)

const (
	// maxEntries limits the incarnations that are remembered. Few of thousands of endpoints name a limit at the same time.
	maxEntries = 4096
	// evictionDivisor sets the part of the entries that is evicted at once, one in evictionDivisor, so that not every
	// new entry has to sort them all.
	evictionDivisor = 8
)

// Change is how a statement changed what is known of an endpoint.
type Change string

// The changes. Unchanged also covers statements that are ignored because a newer one is known.
const (
	Unchanged Change = ""
	Learnt    Change = "Learnt"
	Changed   Change = "Changed"
	Lifted    Change = "Lifted"
)

// Store stores the limits that incarnations of endpoints have named. A new incarnation has none.
type Store struct {
	entries map[core.Life]entry
}

// entry is the newest statement of an incarnation. An entry without a limit is kept so that older statements, which
// arrive later, do not restore a limit that was lifted.
type entry struct {
	Statement
	Span
}

// Span is the time in which an answer was made: after its request was sent and before the answer was heard.
type Span struct{ SentAt, HeardAt core.Millis }

// NewStore returns a store without limits.
func NewStore() *Store { return &Store{entries: map[core.Life]entry{}} }

// Record records the statement of an answer of an incarnation and reports how that changed what is known of it.
//
// Answers overtake each other. If it is unknown which of two answers was made last, the lower limit applies.
func (s *Store) Record(l core.Life, x Statement, made Span) Change {
	current, known := s.entries[l]
	switch {
	case !x.Stated, !known && !x.Limited, known && made.HeardAt < current.SentAt:
		return Unchanged
	case known && made.SentAt < current.HeardAt && !x.lowerThan(current.Statement):
		return Unchanged
	case !known && len(s.entries) >= maxEntries:
		s.evict()
	}
	s.entries[l] = entry{Statement: x, Span: made}
	switch {
	case x.Limited && !current.Limited:
		return Learnt
	case !x.Limited && current.Limited:
		return Lifted
	case x.Rate != current.Rate:
		return Changed
	}
	return Unchanged
}

// lowerThan reports whether a statement allows less than another one.
func (x Statement) lowerThan(y Statement) bool {
	return x.Limited && (!y.Limited || x.Rate < y.Rate)
}

// Limited reports whether an incarnation names a limit at present.
func (s *Store) Limited(l core.Life) bool { return s.entries[l].Limited }

// Newest returns the newest statement of an incarnation as a report to another process. It states nothing if the
// incarnation has never named a limit.
func (s *Store) Newest(now core.Millis, l core.Life) Report {
	current, ok := s.entries[l]
	if !ok {
		return Report{Life: l}
	}
	return Report{Life: l, Statement: current.Statement, SentAge: now - current.SentAt, HeardAge: now - current.HeardAt}
}

// Reports returns the newest statements of all incarnations, sorted by endpoint, as reports to another process.
func (s *Store) Reports(now core.Millis) []Report {
	var list []Report
	for _, l := range sortedLives(s.entries) {
		list = append(list, s.Newest(now, l))
	}
	return list
}

// Report passes a statement to another process. It carries ages, because the clocks of two processes differ.
type Report struct {
	Life core.Life
	Statement
	SentAge, HeardAge core.Millis
}

// NewReport returns the report of an answer.
func NewReport(now core.Millis, l core.Life, x Statement, made Span) Report {
	return Report{Life: l, Statement: x, SentAge: now - made.SentAt, HeardAge: now - made.HeardAt}
}

// Span returns when the reported answer was made, on the clock of the process that received the report at now.
func (r Report) Span(now core.Millis) Span {
	return Span{SentAt: now - r.SentAge, HeardAt: now - r.HeardAge}
}

// evict removes the entries without a limit and, if too many are left, those that were heard first.
func (s *Store) evict() {
	maps.DeleteFunc(s.entries, func(_ core.Life, e entry) bool { return !e.Limited })
	if len(s.entries) < maxEntries {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(s.entries), func(x, y core.Life) int {
		return cmp.Or(cmp.Compare(s.entries[x].HeardAt, s.entries[y].HeardAt), cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	for _, l := range byAge[:maxEntries/evictionDivisor] {
		delete(s.entries, l)
	}
}
