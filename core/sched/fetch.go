package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

const (
	// minFetchShare is the share of the link bandwidth that a fetch of inputs gets at least. Several calls may fetch
	// from one endpoint at the same time.
	minFetchShare = 0.25
	// fetchMargin covers the round trip to the endpoint, across failure domains and with one retransmission.
	fetchMargin = 60 * core.Millis(1)
)

// estimateFetched returns when a call that begins now has certainly fetched its inputs, or 0 if that cannot be
// predicted. An idle endpoint fetches the inputs first and then computes for much longer.
func (s *Scheduler) estimateFetched(svc *service, items []order.Item) core.Millis {
	if svc.Pieces.LinkMbps <= 0 || s.now < s.unknownUntil {
		// A call of an earlier scheduler may still keep the endpoint busy, and pieces that find no room need their
		// inputs again.
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
	return s.now + fetchMargin + core.Millis(float64(bytes)*bitsPerByte/(svc.Pieces.LinkMbps*bitsPerMilli*minFetchShare))
}

// freeFetchedInputs frees the results that running calls have fetched and that no other stage needs, if the endpoints
// that hold them are short of room.
func (s *Scheduler) freeFetchedInputs() {
	for _, number := range s.sortedCallNumbers() {
		c := s.calls[number]
		if c.fetchedAt == 0 || s.now < c.fetchedAt || c.overdue {
			continue
		}
		c.fetchedAt = 0
		for _, i := range c.items {
			r, ok := s.preparing(i)
			if !ok {
				continue
			}
			r.stages[i.Stage].fetched[i.Piece] = true
			for _, a := range r.stages[i.Stage].After {
				s.freeIfFetched(r, a)
			}
		}
	}
}

// freeIfFetched frees the results of a stage once all pieces that need them are done or have fetched them, if an
// endpoint that holds some of them is short of room.
func (s *Scheduler) freeIfFetched(r *request, stage int) {
	st := &r.stages[stage]
	if st.freed || st.missing > 0 || slices.Contains(r.finalStages(), stage) || !s.holderShortOfRoom(r, stage) {
		return
	}
	for i := range r.stages {
		if slices.Contains(r.stages[i].After, stage) && !r.stages[i].allInputsFetched() {
			return
		}
	}
	st.freed, st.expiresAt = true, 0
	s.freeStageResults(r, stage)
}

// holderShortOfRoom reports whether an endpoint that holds results of a stage has too little room for the results of
// another full call.
func (s *Scheduler) holderShortOfRoom(r *request, stage int) bool {
	st := &r.stages[stage]
	svc := s.services[st.Service]
	if svc == nil || svc.Pieces == nil {
		return false
	}
	return slices.ContainsFunc(r.results, func(m madeResult) bool {
		return slices.Contains(st.handles, m.handle) && m.endpoint.FreeBytes() < int64(svc.Pieces.Batch)*st.Bytes
	})
}

// allInputsFetched reports whether each piece of a stage is done or is running with inputs that it has fetched.
func (st *stageState) allInputsFetched() bool {
	for i, h := range st.handles {
		if h == "" && !st.fetched[i] {
			return false
		}
	}
	return true
}

// hasFreedInputs reports whether results that a stage needs have been freed.
func (r *request) hasFreedInputs(stage int) bool {
	return slices.ContainsFunc(r.stages[stage].After, func(a int) bool { return r.stages[a].freed })
}
