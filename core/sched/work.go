package sched

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

// register adds a request to the scheduler and counts its pieces as work of their services.
func (s *Scheduler) register(r *request) {
	s.requests[r.Key] = r
	s.updateDue(r)
	r.addWork(1)
}

// unregister removes a request from the scheduler and from the work of its services.
func (s *Scheduler) unregister(r *request) {
	if s.requests[r.Key] != r {
		return
	}
	delete(s.requests, r.Key)
	s.updateDue(r)
	r.addWork(-1)
}

// updateDue adds a request to byDue or removes it. It must be called after a change of the request's endpoint or lateness.
func (s *Scheduler) updateDue(r *request) {
	counts := s.requests[r.Key] == r && r.endpoint == nil && !r.late
	index, listed := slices.BinarySearchFunc(s.byDue, r, compareDue)
	switch {
	case counts && !listed:
		s.byDue = slices.Insert(s.byDue, index, r)
	case !counts && listed:
		s.byDue = slices.Delete(s.byDue, index, index+1)
	}
}

// markLate excludes a request from the work that others wait for.
func (s *Scheduler) markLate(r *request) {
	r.late = true
	s.updateDue(r)
}

func compareDue(a, b *request) int {
	return cmp.Or(cmp.Compare(a.due, b.due), compareKeys(a.Key, b.Key))
}

// addWork adds the missing pieces of a request to the work of their services, or subtracts them if sign is -1.
func (r *request) addWork(sign int) {
	for i := range r.stages {
		if st := &r.stages[i]; st.service != nil {
			st.service.missing += sign * st.missing
		}
	}
}

// countAhead counts for each service the pieces of requests that are due before the given one. Pieces in calls are left
// out, because another endpoint of the service becomes free long before their calls end.
func (s *Scheduler) countAhead(r *request) {
	for _, svc := range s.services {
		svc.ahead = 0
	}
	for _, x := range s.byDue {
		if x.due > r.due {
			return
		}
		for i := range x.stages {
			if st := &x.stages[i]; st.service != nil {
				st.service.ahead += st.queued()
			}
		}
	}
}

// dueAt returns when a request's first stage must begin to meet its aim, plus priorityWeight for each less urgent
// priority.
func (r *request) dueAt() core.Millis {
	return r.aimAt - core.Millis(r.longestPath()) + core.Millis(r.Priority)*priorityWeight
}
