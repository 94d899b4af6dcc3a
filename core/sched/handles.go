package sched

import (
	"slices"
	"strings"
)

// made notes which endpoint holds a result; handles begin with the maker's address, but addresses are used again.
type made struct {
	handle string
	by     *endpoint
}

func (r *request) note(handle string, by *endpoint) {
	r.results = append(r.results, made{handle: handle, by: by})
}

func (r *request) maker(handle string) (*endpoint, bool) {
	for _, m := range r.results {
		if m.handle == handle {
			return m.by, true
		}
	}
	return nil, false
}

// release frees all results that were made for a request.
func (s *Scheduler) release(r *request) {
	byMaker := map[*endpoint][]string{}
	var makers []*endpoint
	for i := range r.stages {
		st := &r.stages[i]
		for _, h := range st.handles {
			if m, ok := r.maker(h); ok && h != "" {
				if byMaker[m] == nil {
					makers = append(makers, m)
				}
				byMaker[m] = append(byMaker[m], h)
				m.bytes -= st.Bytes
			}
		}
	}
	slices.SortFunc(makers, func(a, b *endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, m := range makers {
		s.out = append(s.out, Action{Free: &Free{Address: m.Address, Handles: byMaker[m]}})
	}
	r.results, r.released = nil, true
}
