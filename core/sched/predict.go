package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

const (
	// leastRetryAfter and mostRetryAfter bound what a refused client is told; below, it would meet the same queue, above, its deadline.
	leastRetryAfter = 100 * core.Millis(1)
	mostRetryAfter  = 5 * core.Second
	// caution is the part of the predicted waiting that is added to it for each rank, from the first, before a request is taken
	// on: the less urgent it is, the more of what arrives meanwhile goes before it.
	caution = 1.5
	// spread is the part of the predicted time by which requests commonly take longer.
	spread = 0.1
	// leastCapacity is the part of a service's capacity that is counted on for a rank, however much more urgent work arrives.
	leastCapacity = 0.1
	// spareWait is the backlog, in typical calls, up to which a service has room for work that will be late.
	spareWait = 0.8
	// leastDrain is the part of a service's capacity that a backlog is expected to shrink with, at least.
	leastDrain = 0.1
	// rateWindow is the time over which the arrival of more urgent work is averaged, in milliseconds.
	rateWindow = 3000.0
	// ranks is the number of ranks whose arrivals are told apart.
	ranks = 10
)

// flow is the arrival of pieces at a service by rank, as an average that decays.
type flow struct {
	pieces [ranks]float64
	last   core.Millis
}

func (f *flow) decay(now core.Millis) {
	passed := float64(now - f.last)
	if passed <= 0 {
		return
	}
	keep := max(0, 1-passed/rateWindow)
	for i := range f.pieces {
		f.pieces[i] *= keep
	}
	f.last = now
}

func rankOf(r *request) int { return min(ranks-1, max(0, r.Priority)) }

// arrivedPieces counts the pieces of a request that was taken on.
func (s *Scheduler) arrivedPieces(r *request) {
	for _, st := range r.stages {
		if svc := s.services[st.Service]; svc != nil && st.Pieces > 0 {
			svc.flow.decay(s.now)
			svc.flow.pieces[rankOf(r)] += float64(st.left)
		}
	}
}

// moreUrgent is the rate, in pieces a millisecond, at which work of better ranks arrives.
func (s *Scheduler) moreUrgent(svc *service, rank int) float64 {
	svc.flow.decay(s.now)
	sum := 0.0
	for i := range rank {
		sum += svc.flow.pieces[i]
	}
	return sum / rateWindow
}

// rest is the expected time from the start of a stage's call to the first byte, without waiting.
func (s *Scheduler) rest(r *request, stage int) core.Millis {
	return core.Millis(r.tail[stage]) + s.firstByte(r)
}

// callTime is the expected time of a typical call of a stage's service in milliseconds, 0 for one that is not configured.
func (s *Scheduler) callTime(name string) float64 {
	if svc, ok := s.services[name]; ok {
		return svc.CallTime()
	}
	return 0
}

// tails returns for each stage the time of its call and of the longest chain of calls after it.
func (s *Scheduler) tails(r *request) []float64 {
	tail := make([]float64, len(r.stages))
	for i := len(r.stages) - 1; i >= 0; i-- {
		after := 0.0
		for j := i + 1; j < len(r.stages); j++ {
			if r.stages[j].Pieces > 0 && slices.Contains(r.stages[j].After, i) {
				after = max(after, tail[j])
			}
		}
		tail[i] = after
		if r.stages[i].Pieces > 0 {
			tail[i] += s.callTime(r.stages[i].Service)
		}
	}
	return tail
}

func (s *Scheduler) firstByte(r *request) core.Millis {
	if svc, ok := s.services[r.Service]; ok {
		return core.Millis(svc.FirstByte())
	}
	return 0
}

// least is the shortest time in which a request that waits can still be served.
func (s *Scheduler) least(r *request) core.Millis {
	longest := s.firstByte(r) / 2
	for i := range r.stages {
		if st := &r.stages[i]; st.Pieces > 0 && st.left > 0 && !st.started {
			svc := s.services[st.Service]
			if svc != nil && svc.Pieces != nil {
				longest = max(longest, core.Millis(svc.Pieces.CallTime))
			}
		}
	}
	return longest
}

// remaining is the expected time without waiting until a request's first byte.
func (s *Scheduler) remaining(r *request) core.Millis {
	longest := 0.0
	for i := range r.stages {
		if st := &r.stages[i]; st.left > 0 {
			longest = max(longest, r.tail[i])
		}
	}
	return core.Millis(longest) + s.firstByte(r)
}

// predict returns the expected time from now to the first byte.
//
// A stage starts once its inputs are there and the work that goes before has been done: what has been taken on of
// the same or better ranks, and what arrives of better ranks meanwhile.
func (s *Scheduler) predict(r *request) core.Millis {
	s.measure(r)
	ready := make([]float64, len(r.stages))
	longest := 0.0
	for i := range r.stages {
		st := &r.stages[i]
		start := 0.0
		for _, a := range st.After {
			start = max(start, ready[a])
		}
		ready[i] = start
		if st.left > 0 {
			svc := s.services[st.Service]
			_, wait := s.queueBefore(svc, r)
			ready[i] = max(start, wait) + s.callTime(st.Service)
		}
		longest = max(longest, ready[i])
	}
	return core.Millis(longest) + s.firstByte(r)
}

// queueBefore returns the pieces that go before those of the request measured last at a stage's service, and the
// milliseconds that they keep it busy.
func (s *Scheduler) queueBefore(svc *service, r *request) (pieces int, wait float64) {
	if svc == nil || svc.Pieces == nil {
		return 0, 0
	}
	pieces = svc.before
	capacity := svc.Capacity(s.now)
	if capacity == 0 {
		return pieces, svc.CallTime()
	}
	return pieces, float64(pieces) / max(leastCapacity*capacity, capacity-s.moreUrgent(svc, rankOf(r)))
}

// longestQueue returns the queue at which a request would wait longest, or none when no stage is left to be done.
func (s *Scheduler) longestQueue(r *request) order.Queue {
	s.measure(r)
	var longest order.Queue
	for i := range r.stages {
		st := &r.stages[i]
		if st.left == 0 {
			continue
		}
		pieces, wait := s.queueBefore(s.services[st.Service], r)
		if longest.Service == "" || core.Millis(wait) > longest.Wait {
			longest = order.Queue{Service: st.Service, Pieces: pieces, Wait: core.Millis(wait)}
		}
	}
	return longest
}

// tail0 is the time of the longest chain of calls of a request.
func (r *request) tail0() float64 {
	longest := 0.0
	for _, t := range r.tail {
		longest = max(longest, t)
	}
	return longest
}

// backlog is the time, in typical calls, in which a stage's service could do all that has been taken on.
func (s *Scheduler) backlog(svc *service) float64 {
	if svc == nil || svc.Pieces == nil {
		return 0
	}
	capacity := svc.Capacity(s.now)
	if capacity == 0 {
		return 0
	}
	return float64(svc.left) / capacity / svc.CallTime()
}

// hasSpare reports whether every service that a request still needs has room for work that will be late.
func (s *Scheduler) hasSpare(r *request) bool {
	for i := range r.stages {
		if r.stages[i].left > 0 && s.backlog(s.services[r.stages[i].Service]) > spareWait {
			return false
		}
	}
	return true
}

// admit reports whether a request is taken on, and the predicted time that decided.
//
// One that will be on time is; one that will be late is while there is room, since it must not delay the others.
func (s *Scheduler) admit(r *request) (core.Millis, bool) {
	expected := s.predict(r)
	waiting := expected - core.Millis(r.tail0()) - s.firstByte(r)
	careful := expected + core.Millis(caution*float64(1+rankOf(r))*float64(waiting)) + core.Millis(spread*float64(expected))
	if r.Former != (order.Key{}) {
		// A former scheduler has taken it on, and its client has waited for the new one.
		careful = expected
	}
	if careful <= r.aimAt-s.now {
		return expected, true
	}
	r.late = true
	return expected, careful <= r.deadlineAt-s.now && s.hasSpare(r)
}

// retryAfter is when a refused request is expected to be served if it comes again: once the backlog is gone at the rate
// that arrivals leave.
func (s *Scheduler) retryAfter(r *request, expected core.Millis) core.Millis {
	wait := expected - max(0, r.aimAt-s.now)
	for i := range r.stages {
		svc := s.services[r.stages[i].Service]
		if r.stages[i].left == 0 || svc == nil || svc.Pieces == nil {
			continue
		}
		over := (s.backlog(svc) - spareWait) * svc.CallTime()
		if capacity := svc.Capacity(s.now); over > 0 && capacity > 0 {
			wait = max(wait, core.Millis(over/max(leastDrain, 1-s.moreUrgent(svc, ranks)/capacity)))
		}
	}
	return min(mostRetryAfter, max(leastRetryAfter, wait))
}
