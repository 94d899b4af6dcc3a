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

// waitingFree is the release of all results at one endpoint that wait for it. At expiresAt the endpoint has dropped all of them by itself.
type waitingFree struct {
	order.Free
	expiresAt core.Millis
}

// freeResults orders an endpoint to free results, which were made for the given stages and of which the last one expires at expiresAt. A
// call that is sent at the same time may reach the endpoint first on another connection, so the room counts as taken until the endpoint
// acknowledges the release.
func (s *Scheduler) freeResults(handles []string, endpoint *fleet.Endpoint, bytes int64, expiresAt core.Millis, made ...order.StageKey) {
	for i := range s.waitingFrees {
		if waiting := &s.waitingFrees[i]; waiting.Life == endpoint.Life() && waiting.Address == endpoint.Address {
			waiting.Handles = append(waiting.Handles, handles...)
			waiting.Made = append(waiting.Made, made...)
			waiting.expiresAt = max(waiting.expiresAt, expiresAt)
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

// sendFrees sends the releases. Those for endpoints that pause, leave or are evacuated wait, since such endpoints get no calls and their
// room is not needed meanwhile, and those for endpoints that name a limit are left to sendLimitedFrees. Nothing is sent about results that
// no longer exist. The results of an endpoint that is only silent are released: it may come back, and if another one has its address, that
// one refuses the call.
func (s *Scheduler) sendFrees() {
	s.waitingFrees = slices.DeleteFunc(s.waitingFrees, func(f waitingFree) bool {
		held := s.pendingFrees[f.Number]
		e := held.endpoint
		switch {
		case s.now >= f.expiresAt || s.known(e.ID) != e:
			delete(s.pendingFrees, f.Number)
			e.FreeResults(held.bytes)
			f.Free.Lost = true
		case e.Limited() || releasesWait(e, s.now):
			return false
		}
		s.actions = append(s.actions, order.Action{Free: &f.Free})
		return true
	})
}

// releasesWait reports whether the releases for an endpoint wait.
func releasesWait(e *fleet.Endpoint, now core.Millis) bool {
	return e.Leaving() || e.Evacuated() || e.Paused(now)
}

// sendLimitedFrees sends the releases whose endpoints name a limit, are short of room and have a permit.
func (s *Scheduler) sendLimitedFrees() {
	s.waitingFrees = slices.DeleteFunc(s.waitingFrees, func(f waitingFree) bool {
		e := s.pendingFrees[f.Number].endpoint
		if !e.Limited() || releasesWait(e, s.now) {
			return false
		}
		_, _, limited := s.limits.Budget(s.now, f.Life)
		if limited && (e.FreeShare() > limitedReleaseShare || !s.limits.Take(s.now, f.Life)) {
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
