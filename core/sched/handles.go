package sched

import (
	"slices"
	"strings"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// made notes which endpoint holds a result; handles begin with the maker's address, but addresses are used again.
type made struct {
	handle string
	by     *fleet.Endpoint
	// since is when its call began, from which on it takes up room.
	since core.Millis
}

func (r *request) note(stage int, handle string, by *fleet.Endpoint, since core.Millis) {
	r.results = append(r.results, made{handle: handle, by: by, since: since})
	st := &r.stages[stage]
	if st.madeIn == nil {
		st.madeIn = map[core.FailureDomain]int{}
	}
	st.madeIn[by.FailureDomain]++
	st.made++
}

func (r *request) made(handle string) (made, bool) {
	i := slices.IndexFunc(r.results, func(m made) bool { return m.handle == handle })
	if i < 0 {
		return made{}, false
	}
	return r.results[i], true
}

// release frees all results that were made for a request.
func (s *Scheduler) release(r *request) {
	for i := range r.stages {
		s.freeStage(r, i)
	}
	r.results, r.released = nil, true
}

// freeUsed frees the results that a finished stage was the last to use.
func (s *Scheduler) freeUsed(r *request, finished int) {
	final := r.finalStages()
	for _, a := range r.stages[finished].After {
		if r.stages[a].left == 0 && !slices.Contains(final, a) && !r.needs(a) {
			s.freeStage(r, a)
		}
	}
}

// freeStage frees the results of one stage.
func (s *Scheduler) freeStage(r *request, stage int) {
	st := &r.stages[stage]
	byMaker := map[*fleet.Endpoint][]string{}
	var makers []*fleet.Endpoint
	for _, h := range st.handles {
		m, ok := r.made(h)
		if h == "" || !ok {
			continue
		}
		if byMaker[m.by] == nil {
			makers = append(makers, m.by)
		}
		byMaker[m.by] = append(byMaker[m.by], h)
		if svc := s.services[st.Service]; svc != nil {
			svc.LearnHeld(st.Bytes, s.now-m.since)
		}
	}
	st.made, st.madeIn = 0, nil
	r.results = slices.DeleteFunc(r.results, func(m made) bool { return slices.Contains(st.handles, m.handle) })
	slices.SortFunc(makers, func(a, b *fleet.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, m := range makers {
		s.free(order.Free{Key: r.Key, Stage: stage, Handles: byMaker[m]}, m, st.Bytes*int64(len(byMaker[m])))
	}
}
