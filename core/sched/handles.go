package sched

import (
	"slices"
	"strings"

	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// made notes which endpoint holds a result; handles begin with the maker's address, but addresses are used again.
type made struct {
	handle string
	by     *fleet.Endpoint
}

func (r *request) note(handle string, by *fleet.Endpoint) {
	r.results = append(r.results, made{handle: handle, by: by})
}

func (r *request) maker(handle string) (*fleet.Endpoint, bool) {
	for _, m := range r.results {
		if m.handle == handle {
			return m.by, true
		}
	}
	return nil, false
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
		m, ok := r.maker(h)
		if h == "" || !ok {
			continue
		}
		if byMaker[m] == nil {
			makers = append(makers, m)
		}
		byMaker[m] = append(byMaker[m], h)
		m.GiveBack(st.Bytes)
	}
	r.results = slices.DeleteFunc(r.results, func(m made) bool { return slices.Contains(st.handles, m.handle) })
	slices.SortFunc(makers, func(a, b *fleet.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, m := range makers {
		s.out = append(s.out, order.Action{Free: &order.Free{Key: r.Key, Stage: stage, Address: m.Address, Handles: byMaker[m]}})
	}
}
