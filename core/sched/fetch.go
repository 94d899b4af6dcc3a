package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

const (
	// fetchShare is the part of the link's bandwidth with which inputs are fetched at least: several calls fetch from one maker.
	fetchShare = 0.25
	// fetchMargin is the time for the way to the endpoint, between failure domains and back, with a retransmission.
	fetchMargin = 60 * core.Millis(1)
)

// fetchedAt returns when a call that begins now has fetched its inputs, 0 if that cannot be told. An idle endpoint fetches them
// at once, and then works far longer.
func (s *Scheduler) fetchedAt(svc *service, items []order.Item) core.Millis {
	if svc.Pieces.LinkMbps <= 0 || s.now < s.unknownTill {
		// A former scheduler's call may still keep the endpoint busy, and pieces that find no room need their inputs again.
		return 0
	}
	bytes := int64(0)
	for _, i := range items {
		if r, ok := s.requests[i.Key]; ok {
			for _, a := range r.stages[i.Stage].After {
				bytes += int64(r.stages[a].Pieces) * r.stages[a].Bytes
			}
		}
	}
	if bytes == 0 {
		return 0
	}
	const bitsPerByte, bitsPerMilli = 8, 1000
	return s.now + fetchMargin + core.Millis(float64(bytes)*bitsPerByte/(svc.Pieces.LinkMbps*bitsPerMilli*fetchShare))
}

// freeFetched gives up the results that running calls have fetched and nobody else needs, where their makers are short of room.
func (s *Scheduler) freeFetched() {
	for _, number := range s.callNumbers() {
		c := s.calls[number]
		if c.fetchedAt == 0 || s.now < c.fetchedAt || c.overdue {
			continue
		}
		c.fetchedAt = 0
		for _, i := range c.items {
			r, ok := s.requests[i.Key]
			if !ok {
				continue
			}
			r.stages[i.Stage].fetched[i.Piece] = true
			for _, a := range r.stages[i.Stage].After {
				s.freeInputs(r, a)
			}
		}
	}
}

// freeInputs gives up the results of a stage if all pieces that need them are done or have fetched them.
func (s *Scheduler) freeInputs(r *request, stage int) {
	st := &r.stages[stage]
	if st.given || st.left > 0 || slices.Contains(r.finalStages(), stage) || !s.shortOfRoom(r, stage) {
		return
	}
	for i := range r.stages {
		if slices.Contains(r.stages[i].After, stage) && !r.stages[i].allFetched() {
			return
		}
	}
	st.given, st.keptTill = true, 0
	s.freeStage(r, stage)
}

// shortOfRoom reports whether an endpoint that holds a stage's results lacks the room for another full call's results.
func (s *Scheduler) shortOfRoom(r *request, stage int) bool {
	st := &r.stages[stage]
	svc := s.services[st.Service]
	if svc == nil || svc.Pieces == nil {
		return false
	}
	return slices.ContainsFunc(r.results, func(m made) bool {
		return slices.Contains(st.handles, m.handle) && m.by.Room() < int64(svc.Pieces.Batch)*st.Bytes
	})
}

// allFetched reports whether each piece of a stage is done or works on inputs that it has fetched.
func (st *stageState) allFetched() bool {
	for i, h := range st.handles {
		if h == "" && !st.fetched[i] {
			return false
		}
	}
	return true
}

// inputsGiven reports whether results that a stage needs have been given up.
func (r *request) inputsGiven(stage int) bool {
	return slices.ContainsFunc(r.stages[stage].After, func(a int) bool { return r.stages[a].given })
}
