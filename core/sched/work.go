package sched

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

// known takes a request into the scheduler's books.
func (s *Scheduler) known(r *request) {
	s.requests[r.Key] = r
	at, _ := slices.BinarySearchFunc(s.byDue, r, byDue)
	s.byDue = slices.Insert(s.byDue, at, r)
	r.count(1)
}

// forgotten takes a request out of the scheduler's books.
func (s *Scheduler) forgotten(r *request) {
	if s.requests[r.Key] != r {
		return
	}
	delete(s.requests, r.Key)
	if at, ok := slices.BinarySearchFunc(s.byDue, r, byDue); ok {
		s.byDue = slices.Delete(s.byDue, at, at+1)
	}
	r.count(-1)
}

func byDue(a, b *request) int {
	return cmp.Or(cmp.Compare(a.due, b.due), compareKeys(a.Key, b.Key))
}

// count adds a request's pieces to what its services have left to do, or takes them off.
func (r *request) count(sign int) {
	for i := range r.stages {
		if st := &r.stages[i]; st.at != nil {
			st.at.left += sign * st.left
		}
	}
}

// measure counts for each service the pieces that requests due before another one still need of it. Those in calls are left
// out: another of the service's endpoints is free long before their calls end.
func (s *Scheduler) measure(r *request) {
	for _, svc := range s.services {
		svc.before = 0
	}
	for _, x := range s.byDue {
		if x.due > r.due {
			return
		}
		if x.at != nil || x.late {
			continue
		}
		for i := range x.stages {
			if st := &x.stages[i]; st.at != nil {
				st.at.before += st.queued()
			}
		}
	}
}

// dueAt is when a request's first stage must begin for its aim, later by its rank.
func (r *request) dueAt() core.Millis {
	return r.aimAt - core.Millis(r.tail0()) + core.Millis(r.Priority)*rankWeight
}
