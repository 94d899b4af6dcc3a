package sched

import (
	"cmp"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// homeWeight is the share of the read time of a prompt's shared parts by which their home engine is preferred to other
// engines that do not hold them either. It is about how often the home engine holds them without the scheduler having a
// record of it.
const homeWeight = 0.5

// grantWaiting grants endpoints to the waiting requests of a service, the most urgent first, while endpoints are free.
func (s *Scheduler) grantWaiting(svc *service) {
	if len(svc.waiting) == 0 {
		return
	}
	remaining := core.Millis(svc.FirstByteTime())
	slices.SortStableFunc(svc.waiting, func(a, b *request) int {
		return cmp.Compare(s.schedulingKey(a, remaining), s.schedulingKey(b, remaining))
	})
	var unplaced, paused, limited, gone, incomplete []*request
	for _, r := range svc.waiting {
		e, cost := s.chooseEndpoint(svc, r)
		if e == nil {
			switch s.waitingRefusal(svc, r, len(unplaced), remaining) {
			case core.ReasonVersionGone:
				gone = append(gone, r)
			case core.ReasonEndpointsPause:
				paused = append(paused, r)
			case core.ReasonEndpointsLimited:
				limited = append(limited, r)
			default:
				unplaced = append(unplaced, r)
			}
			continue
		}
		if !r.holdsInputs(r.finalStages()) {
			incomplete = append(incomplete, r)
			continue
		}
		s.grant(r, e, cost)
	}
	svc.waiting = unplaced
	for _, r := range incomplete {
		s.withhold(r, order.Withheld{Inputs: r.finalStages()})
	}
	for _, r := range gone {
		s.refuseVersion(r)
		s.drop(r)
	}
	for _, r := range limited {
		s.refuseLimited(svc, r)
		s.drop(r)
	}
	for _, r := range paused {
		s.actions = append(s.actions, order.Action{Refuse: &order.Refusal{
			Key: r.Key, ID: r.ID, Reason: core.ReasonEndpointsPause, RetryAfter: s.firstPauseEnd(svc, r) - s.now, Left: r.deadlineAt - s.now,
		}})
		s.drop(r)
	}
}

// waitingRefusal returns why a request is refused for which no endpoint is free, after the given number of others that wait, or
// no reason if it waits. remaining is the expected time from its grant to the first byte.
func (s *Scheduler) waitingRefusal(svc *service, r *request, ahead int, remaining core.Millis) core.Reason {
	if s.versionGone(r) {
		return core.ReasonVersionGone
	}
	// Refuses the request if it cannot be served even when the first pause ends.
	if pauseEnd := s.firstPauseEnd(svc, r); pauseEnd > 0 && pauseEnd+remaining > r.deadlineAt {
		return core.ReasonEndpointsPause
	}
	if s.exceedsLimit(svc, r, ahead, remaining) {
		return core.ReasonEndpointsLimited
	}
	return ""
}

// chooseEndpoint returns the endpoint with the lowest expected cost to start the request, and that cost in
// milliseconds. It returns nil if no endpoint can take the request.
func (s *Scheduler) chooseEndpoint(svc *service, r *request) (*fleet.Endpoint, float64) {
	var best *fleet.Endpoint
	var lowest float64
	shared := r.chain.SharedTokens()
	sharedCached := shared == 0
	for _, e := range svc.Endpoints() {
		if !s.canTake(e, r) {
			continue
		}
		cached := e.CachedTokens(r.chain)
		sharedCached = sharedCached || cached >= shared
		cost := s.startCost(e, r, cached)
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil || sharedCached {
		return best, lowest
	}
	home := svc.PreferredEngine(s.now, r.chain)
	if home == nil || home == best || !s.canTake(home, r) {
		return best, lowest
	}
	cost := s.startCost(home, r, home.CachedTokens(r.chain))
	if cost-homeWeight*home.ReadTime(s.now, shared) < lowest {
		return home, cost
	}
	return best, lowest
}

// canTake reports whether an endpoint can be granted to a request now.
func (s *Scheduler) canTake(e *fleet.Endpoint, r *request) bool {
	return e.Usable(s.now) && s.pausedUntil(e, r) == 0 && !slices.Contains(r.tried, e.ID) && e.Fits(r.Prompt) && s.fitsKnown(e, r.Prompt) && s.permitFree(e) &&
		(!r.Bound || e.Version == r.Version)
}

// startCost returns the expected cost in milliseconds to start a request at an endpoint that has cached a number of its
// prompt tokens.
func (s *Scheduler) startCost(e *fleet.Endpoint, r *request, cached int) float64 {
	return e.StartCost(s.now, r.Prompt, cached, r.FailureDomain) + r.crossDomainCost(e)
}

// crossDomainCost returns the penalty in milliseconds for the results that the endpoint would fetch from another
// failure domain.
func (r *request) crossDomainCost(e *fleet.Endpoint) float64 {
	var bytes int64
	for _, i := range r.finalStages() {
		bytes += r.crossDomainBytes(i, e)
	}
	return crossDomainWeight * float64(bytes) / megabyte
}

// grant assigns an endpoint to a request and emits the grant. cost is the predicted time to the first byte.
func (s *Scheduler) grant(r *request, e *fleet.Endpoint, cost float64) {
	load, cached := e.AddRequest(r.Prompt, r.chain)
	r.endpoint, r.load, r.grantedAt, r.firstByteSeen = e, load, s.now, false
	s.updateDue(r)
	r.attempts++
	r.tried = append(r.tried, e.ID)
	s.actions = append(s.actions, order.Action{Grant: &order.Grant{
		Permitted: s.takePermit(e), Bounded: e.Bounded(), Key: r.Key, ID: r.ID, Endpoint: e.ID, Life: e.Incarnation, Version: e.Version, Address: e.Address, FailureDomain: e.FailureDomain, Inputs: r.inputHandles(r.finalStages()),
		Attempt: r.attempts, Waited: s.now - r.arrivedAt, Expected: core.Millis(cost), Cached: cached,
	}})
	s.recordRuns(r)
}

// leaveEndpoint releases the load that a request occupies at its endpoint.
func (r *request) leaveEndpoint() {
	if r.endpoint == nil {
		return
	}
	r.endpoint.RemoveRequest(r.load, r.firstByteSeen)
	r.endpoint, r.firstByteSeen = nil, false
}

// findCacheDomain returns the failure domain of the engine that has cached most of the request's prompt, or none.
func (s *Scheduler) findCacheDomain(r *request) core.FailureDomain {
	svc, ok := s.services[r.Service]
	if !ok || svc.Engine == nil || len(r.Prompt.Parts) == 0 {
		return ""
	}
	if e := svc.MostCached(s.now, r.chain); e != nil {
		return e.FailureDomain
	}
	return ""
}
