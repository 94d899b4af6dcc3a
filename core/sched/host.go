package sched

import "cyclamenford/core"

// HostStarted records the start of an entry host's incarnation and drops the requests of its earlier ones. Their clients
// have lost their connections, and the results prepared for them would otherwise take up room until their deadlines.
func (s *Scheduler) HostStarted(now core.Millis, host core.HostID, life core.Incarnation) {
	s.now = now
	if s.recordIncarnation(host, life) {
		s.passDue = true
	}
}

// HostLost drops the waiting requests of a host. Requests that run at an endpoint continue, since the host may only be
// partitioned from the scheduler.
func (s *Scheduler) HostLost(now core.Millis, host core.HostID) {
	s.now = now
	s.stopAwaiting(host)
	if s.dropMatching(func(r *request) bool { return r.Key.Host == host && r.endpoint == nil }) {
		s.passDue = true
	}
}

// recordIncarnation stores the newest incarnation of a host and reports whether it dropped requests of earlier ones.
func (s *Scheduler) recordIncarnation(host core.HostID, life core.Incarnation) bool {
	if s.incarnations[host] >= life {
		return false
	}
	s.incarnations[host] = life
	s.endFormerLives(host, life)
	return s.dropMatching(func(r *request) bool { return r.Key.Host == host && r.Key.Life < life })
}

// dropMatching drops all requests for which lost returns true, refuses those that wait, and reports whether there were
// any.
func (s *Scheduler) dropMatching(matches func(*request) bool) bool {
	found := false
	for _, r := range s.sortedRequests() {
		if !matches(r) {
			continue
		}
		found = true
		if r.endpoint == nil {
			s.refuse(r, core.ReasonHostLost, 0)
		}
		s.drop(r)
	}
	return found
}
