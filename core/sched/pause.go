package sched

import (
	"maps"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
)

// pauseKey identifies an entry host and an incarnation of an endpoint that has asked this host for a pause.
type pauseKey struct {
	host     core.HostID
	endpoint core.Life
}

// PauseForHost records that an endpoint accepts no requests from a host until the given time.
func (s *Scheduler) PauseForHost(now core.Millis, host core.HostID, endpoint core.Life, until core.Millis) {
	s.now = now
	key := pauseKey{host: host, endpoint: endpoint}
	s.pauses[key] = max(s.pauses[key], until)
}

// HoldEndpoint holds an endpoint back, whatever its service, until the given time: it gets neither requests nor calls of stages, and then fewer at
// once than it had.
func (s *Scheduler) HoldEndpoint(now core.Millis, endpoint core.Life, until core.Millis) {
	s.now = now
	if e := s.known(endpoint.Endpoint); e != nil && e.Incarnation == endpoint.Incarnation {
		e.HoldBack(now, until)
	}
}

// PauseEndpoint records that a stage's endpoint accepts no calls until the given time. Only the scheduler sends calls to
// it, so the pause applies to all hosts.
func (s *Scheduler) PauseEndpoint(now core.Millis, endpoint core.Life, until core.Millis) {
	s.now = now
	if e, ok := s.fleet.Endpoint(endpoint.Endpoint, endpoint.Incarnation); ok {
		e.PauseUntil(until)
	}
}

// pausedUntil returns when the endpoint's pause for the host of a request ends, or 0 if there is none at present.
func (s *Scheduler) pausedUntil(e *fleet.Endpoint, r *request) core.Millis {
	if len(s.pauses) == 0 {
		return 0
	}
	until := s.pauses[pauseKey{host: r.Key.Host, endpoint: core.Life{Endpoint: e.ID, Incarnation: e.Incarnation}}]
	if until <= s.now {
		return 0
	}
	return until
}

// firstPauseEnd returns when the first endpoint's pause for the host of a request ends. It returns 0 if an endpoint has
// no pause, or if no endpoint is left that is not leaving.
func (s *Scheduler) firstPauseEnd(svc *service, r *request) core.Millis {
	earliest := core.Millis(0)
	for _, e := range svc.Endpoints() {
		if e.Leaving() {
			continue
		}
		until := s.pausedUntil(e, r)
		if until == 0 {
			return 0
		}
		if earliest == 0 || until < earliest {
			earliest = until
		}
	}
	return earliest
}

// removeExpiredPauses removes the pauses that have ended.
func (s *Scheduler) removeExpiredPauses() {
	maps.DeleteFunc(s.pauses, func(_ pauseKey, until core.Millis) bool { return until <= s.now })
}
