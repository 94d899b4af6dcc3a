package limit

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"cyclamenford/core"
)

const (
	// savedTime is the time of whose permits an endpoint's bucket can save up, and savedPermits how many it can save up on
	// top. Without savings, irregular arrivals would leave a part of the limit unused.
	savedTime    = core.Second / 2
	savedPermits = 2.0
	// minRate is the number of requests a second that an endpoint with a lower limit gets nevertheless, since only an
	// answer can say that the limit is lifted.
	minRate = 0.1
	// priorityWeight is how many milliseconds earlier a request must be due to go before one of the next more urgent
	// priority.
	priorityWeight = core.Second
	// maxRetryAfter bounds the time after which a refused client is asked to return.
	maxRetryAfter = 30 * core.Second
	// forgetAfter is the time without a permit after which a limit is forgotten, since most endpoints that get no requests have
	// ended. A host that still knows of the limit reports it when it asks for a permit.
	forgetAfter = 600 * core.Second
	// almostOne allows for rounding in the sum of many small refills.
	almostOne = 1 - 1e-9
)

// Ask is a request for the permit to send one request to an endpoint.
type Ask struct {
	// Number identifies the ask in its answer.
	Number uint64
	Life   core.Life
	// Priority orders the requests by urgency; 0 is the most urgent. Due is when the request must be sent to meet its
	// target, and Deadline the latest time at which it may be sent.
	Priority      int
	Due, Deadline core.Millis
	// Final means that the client is refused if there is no permit before the deadline.
	Final bool
}

func (a Ask) key() core.Millis { return a.Due + core.Millis(a.Priority)*priorityWeight }

// Answer answers an ask.
type Answer struct {
	Number    uint64
	Permitted bool
	// Limited is false if the endpoint names no limit, so that requests need no permit.
	Limited bool
	// RetryAfter is set without a permit: the time until a permit is expected to be free.
	RetryAfter core.Millis
	// IssuedAt is when a permit was issued.
	IssuedAt core.Millis
}

// Issuer issues the permits for requests to endpoints that name a limit. A single issuer serves all hosts, so that they
// stay within the limits together. It is not safe for concurrent use.
type Issuer struct {
	store   *Store
	buckets map[core.Life]*bucket
	answers []Answer
	version uint64
}

// bucket is the token bucket of one endpoint, with the asks that wait for its next permits.
type bucket struct {
	// named is the limit that the endpoint names, in permits per millisecond, or 0. bound is the bound that the system sets.
	// One of them is set.
	named    float64
	bound    Bound
	permits  float64
	filledAt core.Millis
	// queue is sorted by urgency.
	queue []Ask
	// returnsAt is when the client that was refused last is expected back.
	returnsAt core.Millis
	issued    uint64
	// usedAt is when the limit was learnt or the last permit issued.
	usedAt core.Millis
}

// NewIssuer returns an issuer that knows of no limits.
func NewIssuer() *Issuer { return &Issuer{store: NewStore(), buckets: map[core.Life]*bucket{}} }

// Record records the statement of an answer of an incarnation and reports how that changed what is known of it. After a
// limit is learnt or lowered, its bucket begins empty.
func (i *Issuer) Record(now core.Millis, l core.Life, x Statement, made Span) Change {
	change := i.store.Record(l, x, made)
	if change == Unchanged {
		return Unchanged
	}
	i.version++
	b, ok := i.buckets[l]
	named := 0.0
	if x.Limited {
		named = max(x.Rate, minRate) / float64(core.Second)
	}
	if !ok {
		if x.Limited {
			i.buckets[l] = &bucket{named: named, filledAt: now, usedAt: now}
		}
		return change
	}
	b.fill(now)
	if !x.Limited && b.bound == (Bound{}) {
		i.lift(l, b)
		return change
	}
	former := b.rate()
	b.named = named
	if b.rate() < former {
		b.permits = 0
	}
	i.serve(now, b)
	return change
}

// Merge records the statements that another issuer knew, as reported to this one at now.
func (i *Issuer) Merge(now core.Millis, reports []Report) {
	for _, r := range reports {
		i.Record(now, r.Life, r.Statement, r.Span(now))
	}
}

// Restart begins to issue permits in place of an earlier issuer, which may have issued all that the limits allow until
// now: all buckets begin empty. It drops the asks that wait, without an answer.
func (i *Issuer) Restart(now core.Millis) {
	for _, b := range i.buckets {
		b.permits, b.filledAt, b.queue, b.returnsAt = 0, now, nil, 0
	}
	i.answers = nil
}

// Reports returns everything that is known of limits, sorted by endpoint, for another issuer.
func (i *Issuer) Reports(now core.Millis) []Report { return i.store.Reports(now) }

// Version returns a number that increases with each change of a limit.
func (i *Issuer) Version() uint64 { return i.version }

// Limited reports whether requests to an incarnation need a permit: it names a limit at present or has a bound.
func (i *Issuer) Limited(l core.Life) bool { return i.store.Limited(l) || i.Bounded(l) }

// Any reports whether any incarnation names a limit or has a bound.
func (i *Issuer) Any() bool { return len(i.buckets) > 0 }

// Budget returns how many permits for an incarnation are free now and how many become free in a second. If it names no
// limit, requests need no permit.
func (i *Issuer) Budget(now core.Millis, l core.Life) (free, perSecond float64, limited bool) {
	b, ok := i.buckets[l]
	if !ok {
		return 0, 0, false
	}
	return max(0, b.permitsAt(now)-float64(len(b.queue))), b.rate() * float64(core.Second), true
}

// Take takes a permit if one is free that no ask waits for. It reports true also if no permit is needed.
func (i *Issuer) Take(now core.Millis, l core.Life) bool { return i.TakeMany(now, l, 1) }

// Ask asks for a permit. TakeAnswers returns the answer at once or later, in the order of urgency. An ask that cannot be
// permitted before its deadline is refused at once.
func (i *Issuer) Ask(now core.Millis, a Ask) {
	b, ok := i.buckets[a.Life]
	if !ok {
		i.answers = append(i.answers, Answer{Number: a.Number, Permitted: true})
		return
	}
	b.fill(now)
	index, _ := slices.BinarySearchFunc(b.queue, a, func(x, y Ask) int {
		return cmp.Or(cmp.Compare(x.key(), y.key()), cmp.Compare(x.Number, y.Number))
	})
	b.queue = slices.Insert(b.queue, index, a)
	i.serve(now, b)
}

// First returns the incarnation among the given ones that has a permit first for one more ask. It prefers one that names no
// limit.
func (i *Issuer) First(now core.Millis, lives []core.Life) core.Life {
	return slices.MinFunc(lives, func(x, y core.Life) int { return cmp.Compare(i.wait(now, x), i.wait(now, y)) })
}

// wait returns the time until an incarnation has a permit for one more ask, or -1 if it names no limit.
func (i *Issuer) wait(now core.Millis, l core.Life) core.Millis {
	b, ok := i.buckets[l]
	if !ok {
		return -1
	}
	b.fill(now)
	return b.wait(len(b.queue) + 1)
}

// Tick issues the permits that have become free, and forgets the limits that are not used any more.
func (i *Issuer) Tick(now core.Millis) {
	for _, l := range sortedLives(i.buckets) {
		b := i.buckets[l]
		b.fill(now)
		if len(b.queue) == 0 && b.named > 0 && (!i.store.Limited(l) || now-b.usedAt > forgetAfter) {
			delete(i.store.entries, l)
			i.version++
			b.named = 0
			if b.bound == (Bound{}) {
				delete(i.buckets, l)
				continue
			}
		}
		i.serve(now, b)
	}
}

// TakeAnswers returns the answers since the last call and clears them.
func (i *Issuer) TakeAnswers() []Answer {
	answers := i.answers
	i.answers = nil
	return answers
}

// TakeIssued returns how many permits each limited endpoint got since the last call, and clears the counts.
func (i *Issuer) TakeIssued() map[core.Life]uint64 {
	issued := make(map[core.Life]uint64, len(i.buckets))
	for l, b := range i.buckets {
		issued[l], b.issued = b.issued, 0
	}
	return issued
}

// serve answers the first asks of a queue as long as permits are free, and refuses those whose deadline comes first.
func (i *Issuer) serve(now core.Millis, b *bucket) {
	var kept []Ask
	for _, a := range b.queue {
		wait := b.wait(len(kept) + 1)
		switch {
		case wait == 0 && len(kept) == 0:
			b.take(now)
			i.answers = append(i.answers, Answer{Number: a.Number, Permitted: true, Limited: true, IssuedAt: now})
		case now+wait > a.Deadline:
			i.answers = append(i.answers, Answer{Number: a.Number, Limited: true, RetryAfter: b.retryAfter(now, wait, a.Final)})
		default:
			kept = append(kept, a)
		}
	}
	b.queue = kept
}

// retryAfter returns when a permit is expected to be free for a refused request. Refused clients get times one permit
// apart, so that they do not return together.
func (b *bucket) retryAfter(now, wait core.Millis, final bool) core.Millis {
	if !final {
		return wait
	}
	b.returnsAt = max(b.returnsAt, now+wait)
	after := min(maxRetryAfter, b.returnsAt-now)
	b.returnsAt = min(now+maxRetryAfter, b.returnsAt+core.Millis(1/b.rate()))
	return after
}

// fill adds the permits that have become free since the last call.
func (b *bucket) fill(now core.Millis) {
	if now > b.filledAt {
		b.permits = b.permitsAt(now)
		b.filledAt = now
	}
}

// permitsAt returns the permits that are free at a time, without a change of the bucket.
func (b *bucket) permitsAt(now core.Millis) float64 {
	if now <= b.filledAt {
		return b.permits
	}
	return min(b.most(), b.permits+b.rate()*float64(now-b.filledAt))
}

func (b *bucket) take(now core.Millis) {
	b.permits--
	b.issued++
	b.usedAt = now
}

// wait returns the time until n permits are free.
func (b *bucket) wait(n int) core.Millis {
	lacking := float64(n) - b.permits
	if lacking <= 1-almostOne {
		return 0
	}
	return core.Millis(math.Ceil(lacking / b.rate()))
}

func sortedLives[V any](m map[core.Life]V) []core.Life {
	return slices.SortedFunc(maps.Keys(m), func(x, y core.Life) int {
		return cmp.Or(cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.Incarnation, y.Incarnation))
	})
}
