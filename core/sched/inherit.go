package sched

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// claimTimeout is how long results of an earlier scheduler are kept for their requests. Within the time of an election
// the hosts find the new leader and place their requests again.
const claimTimeout = 1500 * core.Millis(1)

// reportResults reports which results of a call are in use, so that a later scheduler can reuse them.
func (s *Scheduler) reportResults(c *call, results []order.ItemResult) {
	var current *order.HeldResults
	for n, i := range c.items {
		r, ok := s.preparing(i)
		handle := results[n].Handle
		if !ok || handle == "" || r.stages[i.Stage].handles[i.Piece] != handle {
			continue
		}
		if current == nil || current.Key != i.Key || current.Stage != i.Stage {
			current = &order.HeldResults{
				Key: i.Key, Stage: i.Stage, Endpoint: c.endpoint.ID, Life: c.endpoint.Incarnation,
				Bytes: i.Bytes, Till: r.stages[i.Stage].expiresAt,
			}
			s.actions = append(s.actions, order.Action{ResultsMade: current})
		}
		current.Pieces, current.Handles = append(current.Pieces, i.Piece), append(current.Handles, handle)
	}
}

// inheritedCall is a call that an earlier scheduler started. This scheduler does not receive its results, which take up
// room until they expire.
type inheritedCall struct {
	order.RunningCall
	endpoint *fleet.Endpoint
	// ended is set once the endpoint is expected to be free again.
	ended bool
}

// Inherit takes over the results that an earlier scheduler had made and the calls that it had in progress. The results
// take up room until their requests claim them or, if these do not come back, until they are freed.
func (s *Scheduler) Inherit(now core.Millis, list []order.HeldResults, running []order.RunningCall) {
	s.now = now
	for _, c := range running {
		if e, ok := s.fleet.Endpoint(c.Endpoint, c.Life); ok && now < c.Till {
			e.BeginCall(c.Bytes)
			s.inheritedCalls = append(s.inheritedCalls, inheritedCall{RunningCall: c, endpoint: e})
		}
	}
	s.expireInheritedCalls()
	s.claimUntil = now + claimTimeout
	for _, svc := range s.services {
		if svc.Pieces != nil {
			s.unknownUntil = max(s.unknownUntil, now+svc.Pieces.Keep)
		}
	}
	for _, h := range list {
		e, ok := s.fleet.Endpoint(h.Endpoint, h.Life)
		if !ok || now+expiryMargin > h.Till {
			continue
		}
		e.AddResults(h.Bytes * int64(len(h.Handles)))
		s.inherited[h.Key] = append(s.inherited[h.Key], h)
	}
}

// expireInheritedCalls counts the calls of an earlier scheduler as ended at their expected end, and frees the room of
// their results when these expire.
func (s *Scheduler) expireInheritedCalls() {
	s.inheritedCalls = slices.DeleteFunc(s.inheritedCalls, func(c inheritedCall) bool { return s.now >= c.Till && c.releaseRoom() })
	for i := range s.inheritedCalls {
		if c := &s.inheritedCalls[i]; !c.ended && s.now >= c.EndsAt {
			c.ended = true
			c.endpoint.EndCall()
		}
	}
}

// releaseRoom frees the room of an inherited call's results and ends the call if it still counts as running. It always
// returns true.
func (c inheritedCall) releaseRoom() bool {
	if !c.ended {
		c.endpoint.EndCall()
	}
	c.endpoint.FreeResults(c.Bytes)
	return true
}

// claimResults assigns to an arriving request the results that an earlier scheduler had made for it.
func (s *Scheduler) claimResults(r *request) {
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
			st.missing--
			r.addResult(h.Stage, madeResult{handle: h.Handles[n], endpoint: e, startedAt: s.now, expiresAt: h.Till})
		}
		if st.expiresAt == 0 || h.Till < st.expiresAt {
			st.expiresAt = h.Till
		}
		h.Key = r.Key
		s.actions = append(s.actions, order.Action{ResultsMade: &h})
	}
	delete(s.inherited, r.Former)
	r.skipFinishedStages()
}

// skipFinishedStages marks the stages as done whose results exist or have already been used by the stages that needed
// them.
func (r *request) skipFinishedStages() {
	for i := len(r.stages) - 1; i >= 0; i-- {
		st := &r.stages[i]
		if st.missing > 0 && !r.needsResults(i) && r.hasConsumer(i) {
			st.missing = 0
		}
		if st.missing == 0 && st.Pieces > 0 {
			st.started = true
			r.unfinished--
		}
	}
}

// hasConsumer reports whether a stage with pieces needs the results of the given stage.
func (r *request) hasConsumer(stage int) bool {
	return slices.ContainsFunc(r.stages, func(st stageState) bool { return st.Pieces > 0 && slices.Contains(st.After, stage) })
}

// freeUnclaimed frees the results of an earlier scheduler whose requests did not come back in time.
func (s *Scheduler) freeUnclaimed() {
	if s.now < s.claimUntil || len(s.inherited) == 0 {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.inherited), compareKeys) {
		for _, h := range s.inherited[key] {
			if e, ok := s.fleet.Endpoint(h.Endpoint, h.Life); ok {
				s.freeResults(h.Handles, e, h.Bytes*int64(len(h.Handles)), h.Till)
			}
		}
	}
	clear(s.inherited)
}
