package sched

import "cyclamenford/core"

// HostBegan notes a life of an entry host and forgets the requests of its earlier ones: their clients have lost their
// connections, and what was prepared for them would only take room from others until their deadlines.
func (s *Scheduler) HostBegan(now core.Millis, host core.HostID, life core.Incarnation) {
	s.now = now
	if s.noteLife(host, life) {
		s.pump()
	}
}

// HostLost forgets the requests of a host that wait here. Those at an endpoint go on, since the host may only be cut off.
func (s *Scheduler) HostLost(now core.Millis, host core.HostID) {
	s.now = now
	if s.forget(func(r *request) bool { return r.Key.Host == host && r.at == nil }) {
		s.pump()
	}
}

// noteLife reports whether a life was new and had requests of earlier ones to forget.
func (s *Scheduler) noteLife(host core.HostID, life core.Incarnation) bool {
	if s.lives[host] >= life {
		return false
	}
	s.lives[host] = life
	return s.forget(func(r *request) bool { return r.Key.Host == host && r.Key.Life < life })
}

// forget drops the requests of lost hosts and reports whether there were any.
func (s *Scheduler) forget(lost func(*request) bool) bool {
	found := false
	for _, r := range s.ordered() {
		if !lost(r) {
			continue
		}
		found = true
		if r.at == nil {
			s.refuse(r, core.ReasonHostLost, 0)
		}
		s.drop(r)
	}
	return found
}
