package sched

import "cyclamenford/core"

const (
	// typicalFill is the part of a full call that a call is planned with.
	typicalFill = 0.6
	// leastRetryAfter and mostRetryAfter bound what a refused client is told; below, it would meet the same queue, above, its deadline.
	leastRetryAfter = 100 * core.Millis(1)
	mostRetryAfter  = 5 * core.Second
)

// callTime is the expected time of a typical call of a stage's service.
func (svc *service) callTime() float64 {
	if svc == nil || svc.Pieces == nil {
		return 0
	}
	return svc.Pieces.CallTime + typicalFill*float64(svc.Pieces.Batch)*svc.Pieces.ItemTime
}

// rest is the expected time from the start of a stage's call to the first byte.
func (s *Scheduler) rest(r *request, stage int) core.Millis {
	longest := 0.0
	var follow func(i int) float64
	follow = func(i int) float64 {
		own, after := s.services[r.stages[i].Service].callTime(), 0.0
		for j := i + 1; j < len(r.stages); j++ {
			if r.stages[j].Pieces > 0 && containsInt(r.stages[j].After, i) {
				after = max(after, follow(j))
			}
		}
		return own + after
	}
	longest = follow(stage)
	return core.Millis(longest) + s.firstByte(r)
}

func containsInt(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

func (s *Scheduler) firstByte(r *request) core.Millis {
	if svc, ok := s.services[r.Service]; ok {
		return core.Millis(svc.first.value)
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

// predict returns the expected time from now to the first byte, counting only the work that goes before the request's own.
func (s *Scheduler) predict(r *request) core.Millis {
	total := make([]float64, len(r.stages))
	longest := 0.0
	for i := range r.stages {
		st := &r.stages[i]
		start := 0.0
		for _, a := range st.After {
			start = max(start, total[a])
		}
		total[i] = start
		if st.Pieces > 0 {
			total[i] += s.stageWait(r, i) + s.services[st.Service].callTime()
		}
		longest = max(longest, total[i])
	}
	return core.Millis(longest) + s.firstByte(r)
}

// stageWait is how long the pieces that go before a request's own will keep the endpoints of a stage busy.
func (s *Scheduler) stageWait(r *request, stage int) float64 {
	svc, ok := s.services[r.stages[stage].Service]
	if !ok || svc.Pieces == nil {
		return 0
	}
	own := s.rank(r, s.rest(r, stage))
	ahead := 0
	for _, g := range svc.groups {
		if s.rank(g.request, s.rest(g.request, g.stage)) <= own {
			ahead += len(g.pieces)
		}
	}
	usable := 0
	for _, e := range svc.endpoints {
		if e.usable(s.now) {
			usable++
		}
	}
	if usable == 0 {
		return svc.callTime()
	}
	full := svc.Pieces.CallTime + float64(svc.Pieces.Batch)*svc.Pieces.ItemTime
	return float64(ahead) * full / float64(max(1, svc.Pieces.Batch)*usable*max(1, svc.Pieces.Slots))
}

// retryAfter is when a refused request is expected to be served if it comes again.
func (s *Scheduler) retryAfter(r *request, expected core.Millis) core.Millis {
	wait := expected - max(0, r.deadlineAt-s.now)
	return min(mostRetryAfter, max(leastRetryAfter, wait))
}
