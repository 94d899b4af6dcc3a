package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// versionRetryAfter is the retry delay of a stream whose version has no endpoint: after the next announcement of one that has
// crashed and started again.
const versionRetryAfter = core.Second

// Bind restricts a request that has begun to answer to endpoints of one software version.
func (s *Scheduler) Bind(key order.Key, version string) {
	if r, ok := s.requests[key]; ok {
		r.Bound, r.Version = true, version
	}
}

// versionGone reports whether a request may only be sent to endpoints of a version that no endpoint has which it has not tried. Its
// client can come back at once to those that it has.
func (s *Scheduler) versionGone(r *request) bool {
	svc, ok := s.services[r.Service]
	return r.Bound && ok && !slices.ContainsFunc(svc.Endpoints(), func(e *fleet.Endpoint) bool {
		return e.Version == r.Version && !e.Leaving() && !slices.Contains(r.tried, e.ID)
	})
}

// refuseVersion emits the refusal of a request whose version no endpoint has.
func (s *Scheduler) refuseVersion(r *request) {
	s.actions = append(s.actions, order.Action{Refuse: &order.Refusal{
		Key: r.Key, ID: r.ID, Reason: core.ReasonVersionGone, RetryAfter: versionRetryAfter, Left: r.deadlineAt - s.now,
	}})
}
