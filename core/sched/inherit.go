package sched

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// claimTime is how long results of an earlier scheduler wait for their requests: hosts find a new leader within an election
// and place their requests anew.
const claimTime = 1500 * core.Millis(1)

// noteMade tells which results of a call are in use now, so that a later scheduler can go on from them.
func (s *Scheduler) noteMade(c *call, results []order.ItemResult) {
	var last *order.Held
	for n, i := range c.items {
		r, ok := s.requests[i.Key]
		handle := results[n].Handle
		if !ok || handle == "" || r.stages[i.Stage].handles[i.Piece] != handle {
			continue
		}
		if last == nil || last.Key != i.Key || last.Stage != i.Stage {
			last = &order.Held{
				Key: i.Key, Stage: i.Stage, Endpoint: c.at.ID, Life: c.at.Incarnation,
				Bytes: i.Bytes, Till: r.stages[i.Stage].keptTill,
			}
			s.out = append(s.out, order.Action{Made: last})
		}
		last.Pieces, last.Handles = append(last.Pieces, i.Piece), append(last.Handles, handle)
	}
}

// foreign is a call of an earlier scheduler: nobody here is told of its results, which take up room until they end.
type foreign struct {
	order.Running
	at *fleet.Endpoint
	// over tells that its endpoint is free again.
	over bool
}

// Inherit takes over the results that an earlier scheduler had made, and its calls in progress. The results take up room until
// their requests arrive again or, if these do not, are freed.
func (s *Scheduler) Inherit(now core.Millis, list []order.Held, running []order.Running) {
	s.now = now
	for _, c := range running {
		if e, ok := s.fleet.Endpoint(c.Endpoint, c.Life); ok && now < c.Till {
			e.BeginCall(c.Bytes)
			s.foreign = append(s.foreign, foreign{Running: c, at: e})
		}
	}
	s.endForeign()
	s.claimTill = now + claimTime
	for _, svc := range s.services {
		if svc.Pieces != nil {
			s.unknownTill = max(s.unknownTill, now+svc.Pieces.Keep)
		}
	}
	for _, h := range list {
		e, ok := s.fleet.Endpoint(h.Endpoint, h.Life)
		if !ok || now+expiryMargin > h.Till {
			continue
		}
		e.Hold(h.Bytes * int64(len(h.Handles)))
		s.inherited[h.Key] = append(s.inherited[h.Key], h)
	}
}

// endForeign counts an earlier scheduler's calls as over, and later their results as ended.
func (s *Scheduler) endForeign() {
	s.foreign = slices.DeleteFunc(s.foreign, func(c foreign) bool { return s.now >= c.Till && c.giveBack() })
	for i := range s.foreign {
		if c := &s.foreign[i]; !c.over && s.now >= c.EndsAt {
			c.over = true
			c.at.EndCall()
		}
	}
}

// giveBack ends a call's results.
func (c foreign) giveBack() bool {
	if !c.over {
		c.at.EndCall()
	}
	c.at.GiveBack(c.Bytes)
	return true
}

// claim gives an arriving request the results that an earlier scheduler had made for it.
func (s *Scheduler) claim(r *request) {
	list := s.inherited[r.Former]
	if len(list) == 0 {
		return
	}
	for _, h := range list {
		e, ok := s.fleet.Endpoint(h.Endpoint, h.Life)
		if !ok || h.Stage >= len(r.stages) {
			continue
		}
		st := &r.stages[h.Stage]
		for n, piece := range h.Pieces {
			if piece >= len(st.handles) || st.handles[piece] != "" {
				continue
			}
			st.handles[piece] = h.Handles[n]
			st.left--
			r.note(h.Stage, h.Handles[n], e, s.now)
		}
		if st.keptTill == 0 || h.Till < st.keptTill {
			st.keptTill = h.Till
		}
		h.Key = r.Key
		s.out = append(s.out, order.Action{Made: &h})
	}
	delete(s.inherited, r.Former)
	r.skipUsed()
}

// skipUsed counts the stages as done whose results are there or have served the stages that needed them.
func (r *request) skipUsed() {
	for i := len(r.stages) - 1; i >= 0; i-- {
		st := &r.stages[i]
		if st.left > 0 && !r.needs(i) && r.followed(i) {
			st.left = 0
		}
		if st.left == 0 && st.Pieces > 0 {
			st.started = true
			r.unfinished--
		}
	}
}

// followed reports whether a stage with pieces needs another one's results.
func (r *request) followed(stage int) bool {
	return slices.ContainsFunc(r.stages, func(st stageState) bool { return st.Pieces > 0 && slices.Contains(st.After, stage) })
}

// freeUnclaimed frees the results of an earlier scheduler whose requests have not come back.
func (s *Scheduler) freeUnclaimed() {
	if s.now < s.claimTill || len(s.inherited) == 0 {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.inherited), compareKeys) {
		for _, h := range s.inherited[key] {
			if e, ok := s.fleet.Endpoint(h.Endpoint, h.Life); ok {
				s.free(order.Free{Handles: h.Handles}, e, h.Bytes*int64(len(h.Handles)))
			}
		}
	}
	clear(s.inherited)
}
