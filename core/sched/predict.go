package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry time that a refused client gets. A client that came back sooner
	// would meet the same queue; later, its deadline would have passed.
	minRetryAfter = 100 * core.Millis(1)
	maxRetryAfter = 5 * core.Second
	// maxLimitRetryAfter bounds the retry time of a client whose service's endpoints all name a limit.
	maxLimitRetryAfter = 30 * core.Second
	// waitMargin is the share of the predicted waiting time that admission adds for each priority, counted from the
	// most urgent. The less urgent a request is, the more of the work that arrives meanwhile goes before it.
	waitMargin = 1.5
	// timeMargin is the share of the predicted time by which requests commonly take longer.
	timeMargin = 0.1
	// minCapacityShare is the share of a service's capacity that a prediction assumes for a priority, however much more
	// urgent work arrives.
	minCapacityShare = 0.1
	// maxLateBacklog is the backlog, in typical calls, up to which a service accepts work that will be late.
	maxLateBacklog = 0.8
	// minDrainShare is the share of a service's capacity by which a backlog is assumed to shrink at least.
	minDrainShare = 0.1
	// rateWindow is the time in milliseconds over which the arrival rate of more urgent work is averaged.
	rateWindow = 3000.0
	// priorityLevels is the number of priorities whose arrival rates are kept apart.
	priorityLevels = 10
)

// arrivalRate is a decaying average of the pieces that arrive at a service, by priority.
type arrivalRate struct {
	pieces    [priorityLevels]float64
	decayedAt core.Millis
}

func (f *arrivalRate) decay(now core.Millis) {
	passed := float64(now - f.decayedAt)
	if passed <= 0 {
		return
	}
	keep := max(0, 1-passed/rateWindow)
	for i := range f.pieces {
		f.pieces[i] *= keep
	}
	f.decayedAt = now
}

func clampedPriority(r *request) int { return min(priorityLevels-1, max(0, r.Priority)) }

// countArrival adds the pieces of an admitted request to the arrival rates of its services.
func (s *Scheduler) countArrival(r *request) {
	for _, st := range r.stages {
		if svc := s.services[st.Service]; svc != nil && st.Pieces > 0 {
			svc.arrivals.decay(s.now)
			svc.arrivals.pieces[clampedPriority(r)] += float64(st.missing)
		}
	}
}

// moreUrgentRate returns the rate, in pieces per millisecond, at which work of more urgent priorities arrives.
func (s *Scheduler) moreUrgentRate(svc *service, priority int) float64 {
	svc.arrivals.decay(s.now)
	sum := 0.0
	for i := range priority {
		sum += svc.arrivals.pieces[i]
	}
	return sum / rateWindow
}

// timeFromStage returns the expected time from the start of a stage's call to the first byte, without waiting.
func (s *Scheduler) timeFromStage(r *request, stage int) core.Millis {
	return core.Millis(r.pathTimes[stage]) + s.expectedFirstByte(r)
}

// callTime returns the expected time of a typical call of a stage's service in milliseconds, or 0 if the service is not
// configured.
func (s *Scheduler) callTime(name string) float64 {
	if svc, ok := s.services[name]; ok {
		return svc.CallTime()
	}
	return 0
}

// pathTimes returns for each stage the time of its call and of the longest chain of calls after it.
func (s *Scheduler) pathTimes(r *request) []float64 {
	times := make([]float64, len(r.stages))
	for i := len(r.stages) - 1; i >= 0; i-- {
		after := 0.0
		for j := i + 1; j < len(r.stages); j++ {
			if r.stages[j].Pieces > 0 && slices.Contains(r.stages[j].After, i) {
				after = max(after, times[j])
			}
		}
		times[i] = after
		if r.stages[i].Pieces > 0 {
			times[i] += s.callTime(r.stages[i].Service)
		}
	}
	return times
}

// expectedFirstByte returns the expected time from the grant of a request to the first byte of its answer.
func (s *Scheduler) expectedFirstByte(r *request) core.Millis {
	if svc, ok := s.services[r.Service]; ok {
		return s.predictFirstByte(svc, r)
	}
	return 0
}

// minTime returns the shortest time in which a waiting request can still be served.
func (s *Scheduler) minTime(r *request) core.Millis {
	longest := s.expectedFirstByte(r) / 2
	for i := range r.stages {
		if st := &r.stages[i]; st.Pieces > 0 && st.missing > 0 && !st.started {
			svc := s.services[st.Service]
			if svc != nil && svc.Pieces != nil {
				longest = max(longest, core.Millis(svc.Pieces.CallTime))
			}
		}
	}
	return longest
}

// expectedTime returns the expected time until a request's first byte, without waiting.
func (s *Scheduler) expectedTime(r *request) core.Millis {
	longest := 0.0
	for i := range r.stages {
		if st := &r.stages[i]; st.missing > 0 {
			longest = max(longest, r.pathTimes[i])
		}
	}
	return core.Millis(longest) + s.expectedFirstByte(r)
}

// predict returns the expected time from now to the first byte.
//
// A stage starts once its inputs exist and the work ahead of it is done: the admitted work of the same or more urgent
// priorities, and the work of more urgent priorities that arrives meanwhile.
func (s *Scheduler) predict(r *request) core.Millis {
	s.countAhead(r)
	ready := make([]float64, len(r.stages))
	longest := 0.0
	for i := range r.stages {
		st := &r.stages[i]
		start := 0.0
		for _, a := range st.After {
			start = max(start, ready[a])
		}
		ready[i] = start
		if st.missing > 0 {
			svc := s.services[st.Service]
			_, wait := s.queueAhead(svc, r)
			ready[i] = max(start, wait) + s.callTime(st.Service)
		}
		longest = max(longest, ready[i])
	}
	return core.Millis(longest) + s.expectedFirstByte(r)
}

// queueAhead returns the number of pieces ahead of a request at a stage's service, and the milliseconds that they keep
// the service busy. countAhead must have run for the request before.
func (s *Scheduler) queueAhead(svc *service, r *request) (pieces int, wait float64) {
	if svc == nil || svc.Pieces == nil {
		return 0, 0
	}
	pieces = svc.ahead
	capacity := svc.Capacity(s.now)
	if capacity == 0 {
		return pieces, svc.CallTime()
	}
	return pieces, float64(pieces) / max(minCapacityShare*capacity, capacity-s.moreUrgentRate(svc, clampedPriority(r)))
}

// longestQueue returns the queue in which a request would wait longest, or an empty one if all its stages are done.
func (s *Scheduler) longestQueue(r *request) order.Queue {
	s.countAhead(r)
	var longest order.Queue
	for i := range r.stages {
		st := &r.stages[i]
		if st.missing == 0 {
			continue
		}
		pieces, wait := s.queueAhead(s.services[st.Service], r)
		if longest.Service == "" || core.Millis(wait) > longest.Wait {
			longest = order.Queue{Service: st.Service, Pieces: pieces, Wait: core.Millis(wait)}
		}
	}
	return longest
}

// longestPath returns the time of the longest chain of calls of a request.
func (r *request) longestPath() float64 {
	longest := 0.0
	for _, t := range r.pathTimes {
		longest = max(longest, t)
	}
	return longest
}

// backlogCalls returns how long a stage's service needs for all admitted work, in typical calls.
func (s *Scheduler) backlogCalls(svc *service) float64 {
	if svc == nil || svc.Pieces == nil {
		return 0
	}
	capacity := svc.Capacity(s.now)
	if capacity == 0 {
		return 0
	}
	return float64(svc.missing) / capacity / svc.CallTime()
}

// hasSpareCapacity reports whether every service that a request still needs accepts work that will be late.
func (s *Scheduler) hasSpareCapacity(r *request) bool {
	for i := range r.stages {
		if r.stages[i].missing > 0 && s.backlogCalls(s.services[r.stages[i].Service]) > maxLateBacklog {
			return false
		}
	}
	return true
}

// admit reports whether a request is admitted, and returns the predicted time behind the decision.
//
// A request that will be on time is admitted. One that will be late is admitted only while there is spare capacity,
// since it must not delay others.
func (s *Scheduler) admit(r *request) (core.Millis, bool) {
	expected := s.predict(r)
	waitTime := expected - core.Millis(r.longestPath()) - s.expectedFirstByte(r)
	cautious := expected + core.Millis(waitMargin*float64(1+clampedPriority(r))*float64(waitTime)) + core.Millis(timeMargin*float64(expected))
	if r.Former != (order.Key{}) {
		// An earlier scheduler has admitted the request, and its client has waited for the new scheduler.
		cautious = expected
	}
	if wait := s.predictLimitWait(r); wait > 0 {
		// The wait for a permit is known, so it needs no margin.
		expected = max(expected, wait+s.expectedFirstByte(r))
		cautious = max(cautious, expected)
	}
	if cautious <= r.aimAt-s.now {
		return expected, true
	}
	r.late = true
	return expected, cautious <= r.deadlineAt-s.now && s.hasSpareCapacity(r)
}

// retryAfter returns when a refused request is expected to be served if its client sends it again: once the backlog has
// drained at the rate that new arrivals leave.
func (s *Scheduler) retryAfter(r *request, expected core.Millis) core.Millis {
	wait := expected - max(0, r.aimAt-s.now)
	for i := range r.stages {
		svc := s.services[r.stages[i].Service]
		if r.stages[i].missing == 0 || svc == nil || svc.Pieces == nil {
			continue
		}
		excess := (s.backlogCalls(svc) - maxLateBacklog) * svc.CallTime()
		if capacity := svc.Capacity(s.now); excess > 0 && capacity > 0 {
			wait = max(wait, core.Millis(excess/max(minDrainShare, 1-s.moreUrgentRate(svc, priorityLevels)/capacity)))
		}
	}
	return min(maxRetryAfter, max(minRetryAfter, wait))
}
