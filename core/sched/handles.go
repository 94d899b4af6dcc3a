package sched

import (
	"slices"
	"strings"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// madeResult records which endpoint holds a result. A handle begins with the address of the endpoint, but that does not
// identify the endpoint, since addresses are reused.
type madeResult struct {
	handle   string
	endpoint *fleet.Endpoint
	// startedAt is when the call that made the result began. The result takes up room from then on.
	startedAt core.Millis
	// expiresAt is when the endpoint drops the result by itself.
	expiresAt core.Millis
}

// addResult records a result of a stage.
func (r *request) addResult(stage int, m madeResult) {
	r.results = append(r.results, m)
	st := &r.stages[stage]
	if st.heldIn == nil {
		st.heldIn = map[core.FailureDomain]int{}
	}
	st.heldIn[m.endpoint.FailureDomain]++
	st.held++
}

func (r *request) findResult(handle string) (madeResult, bool) {
	i := slices.IndexFunc(r.results, func(m madeResult) bool { return m.handle == handle })
	if i < 0 {
		return madeResult{}, false
	}
	return r.results[i], true
}

// freeAllResults frees all results that were made for a request.
func (s *Scheduler) freeAllResults(r *request) {
	if r.attempts == 0 {
		s.totals.ResultsUnused += uint64(len(r.results))
	}
	for i := range r.stages {
		s.freeStageResults(r, i)
	}
	r.results, r.freed = nil, true
}

// freeConsumedInputs frees the results that no stage needs any more after a stage has finished.
func (s *Scheduler) freeConsumedInputs(r *request, finished int) {
	final := r.finalStages()
	for _, a := range r.stages[finished].After {
		if r.stages[a].missing == 0 && !slices.Contains(final, a) && !r.needsResults(a) {
			s.freeStageResults(r, a)
		}
	}
}

// freeStageResults frees the results of one stage.
func (s *Scheduler) freeStageResults(r *request, stage int) {
	st := &r.stages[stage]
	byHolder, expiry := map[*fleet.Endpoint][]string{}, map[*fleet.Endpoint]core.Millis{}
	var holders []*fleet.Endpoint
	for _, h := range st.handles {
		m, ok := r.findResult(h)
		if h == "" || !ok {
			continue
		}
		if byHolder[m.endpoint] == nil {
			holders = append(holders, m.endpoint)
		}
		byHolder[m.endpoint] = append(byHolder[m.endpoint], h)
		expiry[m.endpoint] = max(expiry[m.endpoint], m.expiresAt)
		if svc := s.services[st.Service]; svc != nil {
			svc.RecordResult(st.Bytes, s.now-m.startedAt)
		}
	}
	st.held, st.heldIn = 0, nil
	r.results = slices.DeleteFunc(r.results, func(m madeResult) bool { return slices.Contains(st.handles, m.handle) })
	slices.SortFunc(holders, func(a, b *fleet.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, m := range holders {
		s.freeResults(byHolder[m], m, st.Bytes*int64(len(byHolder[m])), expiry[m], order.StageKey{Key: r.Key, Stage: stage})
	}
}
