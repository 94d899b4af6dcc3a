package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// pendingFree is the room taken by freed results until their endpoint acknowledges the release.
type pendingFree struct {
	endpoint *fleet.Endpoint
	bytes    int64
}

// waitingFree is the release of all results at one endpoint that wait for it. At expiresAt the endpoint has dropped them by itself.
type waitingFree struct {
	order.Free
	expiresAt core.Millis
}

// freeResults orders an endpoint to free results, which were made for the given stages. A call that is sent at the same time may
// reach the endpoint first on another connection, so the room counts as taken until the endpoint acknowledges the release.
func (s *Scheduler) freeResults(handles []string, endpoint *fleet.Endpoint, bytes int64, made ...order.StageKey) {
	expiresAt := s.now
	if svc := s.services[endpoint.Service]; svc != nil && svc.Pieces != nil {
		expiresAt += svc.Pieces.Keep
	}
	for i := range s.waitingFrees {
		if waiting := &s.waitingFrees[i]; waiting.Life == endpoint.Life() && waiting.Address == endpoint.Address {
			waiting.Handles = append(waiting.Handles, handles...)
			waiting.Made = append(waiting.Made, made...)
			waiting.expiresAt = expiresAt
			total := s.pendingFrees[waiting.Number]
			total.bytes += bytes
			s.pendingFrees[waiting.Number] = total
			return
		}
	}
	s.lastFree++
	s.pendingFrees[s.lastFree] = pendingFree{endpoint: endpoint, bytes: bytes}
	s.waitingFrees = append(s.waitingFrees, waitingFree{
		Free:      order.Free{Number: s.lastFree, Life: endpoint.Life(), Address: endpoint.Address, FailureDomain: endpoint.FailureDomain, Handles: slices.Clone(handles), Made: made},
		expiresAt: expiresAt,
	})
}

// sendFrees sends the releases, except those for endpoints that pause, are evacuated or name a limit. The last two are left to sendLimitedFrees.
func (s *Scheduler) sendFrees() {
	s.waitingFrees = slices.DeleteFunc(s.waitingFrees, func(f waitingFree) bool {
		e := s.pendingFrees[f.Number].endpoint
		if e.Limited() || e.Evacuated() || e.Paused(s.now) {
			return false
		}
		s.actions = append(s.actions, order.Action{Free: &f.Free})
		return true
	})
}

// sendLimitedFrees sends the releases whose endpoints name a limit, are short of room and have a permit. The others, and those
// for evacuated endpoints, are dropped once their results have expired.
func (s *Scheduler) sendLimitedFrees() {
	s.waitingFrees = slices.DeleteFunc(s.waitingFrees, func(f waitingFree) bool {
		held := s.pendingFrees[f.Number]
		e := held.endpoint
		if !e.Limited() && !e.Evacuated() {
			return false
		}
		if s.now >= f.expiresAt {
			delete(s.pendingFrees, f.Number)
			e.FreeResults(held.bytes)
			return true
		}
		_, _, limited := s.limits.Budget(s.now, f.Life)
		if e.Evacuated() || e.Paused(s.now) || limited && (e.FreeShare() > limitedReleaseShare || !s.limits.Take(s.now, f.Life)) {
			return false
		}
		f.Free.Permitted, f.Free.Bounded = limited, e.HasColdBound()
		s.actions = append(s.actions, order.Action{Free: &f.Free})
		return true
	})
}

// ResultsFreed records that an endpoint has freed results, or that the release could not be delivered.
func (s *Scheduler) ResultsFreed(now core.Millis, number uint64) {
	s.now = now
	f, ok := s.pendingFrees[number]
	if !ok {
		return
	}
	delete(s.pendingFrees, number)
	f.endpoint.FreeResults(f.bytes)
	s.passDue = true
}
