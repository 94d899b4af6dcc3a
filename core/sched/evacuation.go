package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

const (
	// minEvacuatedRetryAfter and maxEvacuatedRetryAfter bound the retry delays of requests whose service has endpoints in evacuated
	// failure domains only. They are spread, so that the clients do not return together.
	minEvacuatedRetryAfter = core.Second
	maxEvacuatedRetryAfter = 5 * core.Second
	// retryStride is the step from one retry delay to the next in milliseconds, modulo the range of the delays. It has no factor in
	// common with the range, and is about its golden section, so that any number of delays in a row are spread evenly.
	retryStride = 2473
)

// AwaitEndpoints says that not every endpoint may be known before a time, as for a leader without a copy of its predecessor's. Requests whose
// service has known endpoints in evacuated failure domains only wait until then.
func (s *Scheduler) AwaitEndpoints(until core.Millis) { s.heardBy = until }

// SetEvacuated replaces the set of evacuated failure domains. Their endpoints get no new work, and waiting requests whose service has no
// other endpoint are refused at once.
func (s *Scheduler) SetEvacuated(now core.Millis, domains map[core.FailureDomain]bool) {
	s.now = now
	s.evacuated = domains
	s.fleet.SetEvacuated(domains)
	for _, r := range s.sortedRequests() {
		if r.endpoint == nil && s.onlyEvacuated(r) {
			s.refuseEvacuated(r)
			s.drop(r)
		}
	}
	s.passDue = true
}

// onlyEvacuated reports whether a request without an endpoint needs a service whose endpoints, those that it may still get, are all in
// evacuated failure domains.
func (s *Scheduler) onlyEvacuated(r *request) bool {
	if len(s.evacuated) == 0 || s.now < s.heardBy {
		return false
	}
	for i := range r.stages {
		st := &r.stages[i]
		if svc := s.services[st.Service]; st.missing > 0 && svc != nil && svc.OnlyEvacuated(nil) {
			return true
		}
	}
	svc := s.services[r.Service]
	return svc != nil && svc.OnlyEvacuated(func(e *fleet.Endpoint) bool {
		return slices.Contains(r.tried, e.ID) || r.Bound && e.Version != r.Version
	})
}

// refuseEvacuated emits the refusal of a request whose service has endpoints in evacuated failure domains only.
func (s *Scheduler) refuseEvacuated(r *request) {
	s.evacuationSpread++
	spread := core.Millis(s.evacuationSpread * retryStride % uint64(maxEvacuatedRetryAfter-minEvacuatedRetryAfter+1))
	s.actions = append(s.actions, order.Action{Refuse: &order.Refusal{
		Key: r.Key, ID: r.ID, Reason: core.ReasonEvacuated, RetryAfter: minEvacuatedRetryAfter + spread, Left: r.deadlineAt - s.now,
	}})
}
