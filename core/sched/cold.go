package sched

import (
	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

const (
	// missingPeriods is the number of periods without an announcement after which an endpoint counts as cold.
	missingPeriods = 1.5
	// maxColdChanges bounds the changes that are kept for the log.
	maxColdChanges = 64
)

// ColdChange is a change of whether an endpoint with a cold bound counts as cold, for the log.
type ColdChange struct {
	core.Life
	Service string
	Cold    bool
	Reason  fleet.ColdReason
	// Announced is the age of the last announcement.
	Announced core.Millis
}

// coldWatch follows which endpoints count as cold.
type coldWatch struct {
	announceEvery core.Millis
	// cold holds the endpoints that count as cold, by their incarnation.
	cold map[core.EndpointID]core.Incarnation
	// changes holds the first changes since they were last taken, and counts all of them by reason.
	changes []ColdChange
	counts  map[fleet.ColdReason]int
}

// SetAnnounceEvery sets the period at which endpoints announce themselves. Without it, missing announcements are not
// noticed.
func (s *Scheduler) SetAnnounceEvery(period core.Millis) { s.coldWatch.announceEvery = period }

// DomainReturned records that the evacuation of a failure domain has been withdrawn. Its endpoints may have become cold
// shortly before.
func (s *Scheduler) DomainReturned(now core.Millis, domain core.FailureDomain) {
	s.now = now
	s.assumeCold(fleet.DomainReturned, 0, func(e *fleet.Endpoint) bool { return e.FailureDomain == domain })
	s.passDue = true
}

// AssumeAllCold records that this scheduler has taken over from an earlier one, whose last announcements and connections it does
// not know. Endpoints count as cold until they announce otherwise or the cold time of their service has passed.
func (s *Scheduler) AssumeAllCold(now core.Millis) {
	s.now = now
	for _, name := range s.serviceNames() {
		svc := s.services[name]
		s.assumeCold(fleet.TakenOver, now+svc.ColdTime, func(e *fleet.Endpoint) bool { return e.Endpoint.Service == name })
	}
}

// EndpointFailed records that a connection to an endpoint has failed under a request that is not the scheduler's.
func (s *Scheduler) EndpointFailed(now core.Millis, l core.Life) {
	s.now = now
	if e := s.known(l.Endpoint); e != nil && e.Incarnation == l.Incarnation {
		s.assumeEndpointCold(e, fleet.ConnectionFailed, 0)
	}
}

// assumeCold makes the endpoints for which matches returns true count as cold.
func (s *Scheduler) assumeCold(why fleet.ColdReason, until core.Millis, matches func(*fleet.Endpoint) bool) {
	for _, name := range s.serviceNames() {
		for _, e := range s.services[name].Endpoints() {
			if matches(e) {
				s.assumeEndpointCold(e, why, until)
			}
		}
	}
}

// assumeEndpointCold makes an endpoint's incarnation count as cold, unless it has been removed or replaced by a later one.
func (s *Scheduler) assumeEndpointCold(e *fleet.Endpoint, why fleet.ColdReason, until core.Millis) {
	if x := s.known(e.ID); x != nil && x.Incarnation == e.Incarnation && x.AssumeCold(until) {
		s.applyBound(x, why)
	}
}

// applyBound gives the issuer of permits the present bound of an endpoint.
func (s *Scheduler) applyBound(e *fleet.Endpoint, why fleet.ColdReason) {
	bound, ok := e.ColdBound(s.now)
	if !ok {
		if e.SetBounded(false) {
			s.limits.RemoveBound(s.now, e.Life())
			s.updateLimit(e)
		}
		delete(s.coldWatch.cold, e.ID)
		return
	}
	e.SetBounded(true)
	s.limits.SetBound(s.now, e.Life(), bound)
	s.updateLimit(e)
	s.noteCold(e, why)
}

// noteCold records whether an endpoint counts as cold now, if that has changed.
func (s *Scheduler) noteCold(e *fleet.Endpoint, why fleet.ColdReason) {
	w := &s.coldWatch
	cold := e.IsCold(s.now)
	if life, was := w.cold[e.ID]; cold == (was && life == e.Incarnation) {
		return
	}
	if cold {
		w.cold[e.ID] = e.Incarnation
	} else {
		delete(w.cold, e.ID)
	}
	w.counts[why]++
	if len(w.changes) < maxColdChanges {
		w.changes = append(w.changes, ColdChange{
			Life: e.Life(), Service: e.Endpoint.Service, Cold: cold, Reason: why, Announced: e.AnnouncementAge(s.now),
		})
	}
}

// TakeColdChanges returns the first changes since the last call, at most maxColdChanges, and the number of all of them by
// reason, and clears them.
func (s *Scheduler) TakeColdChanges() ([]ColdChange, map[fleet.ColdReason]int) {
	w := &s.coldWatch
	changes, counts := w.changes, w.counts
	w.changes, w.counts = nil, map[fleet.ColdReason]int{}
	return changes, counts
}

// applyBounds gives the issuer the bounds of all endpoints, and notices those whose announcements are missing.
func (s *Scheduler) applyBounds() {
	silence := core.Millis(missingPeriods * float64(s.coldWatch.announceEvery))
	for _, svc := range s.services {
		if svc.ColdTime <= 0 || svc.ColdPerSecond <= 0 {
			if svc.wasBounded {
				s.applyServiceBounds(svc)
			}
			continue
		}
		svc.wasBounded = true
		for _, e := range svc.Endpoints() {
			if silence > 0 && e.AnnouncementAge(s.now) > silence {
				s.assumeEndpointCold(e, fleet.AnnouncementMissing, 0)
			}
		}
		s.applyServiceBounds(svc)
	}
}

func (s *Scheduler) applyServiceBounds(svc *service) {
	svc.wasBounded = svc.ColdTime > 0 && svc.ColdPerSecond > 0
	for _, e := range svc.Endpoints() {
		s.applyBound(e, fleet.Announced)
	}
}

// endpointAnnounced applies the bound of an endpoint that has been announced. former is the endpoint that was known under
// its ID before.
func (s *Scheduler) endpointAnnounced(former *fleet.Endpoint, id core.EndpointID) {
	e, ok := s.fleet.Known(id)
	if !ok {
		return
	}
	if former != nil && former != e {
		s.endBound(former)
	}
	s.applyBound(e, fleet.Announced)
}

// endBound removes the bound of an incarnation that is known no more. Requests to it still need a permit, which is refused.
func (s *Scheduler) endBound(e *fleet.Endpoint) {
	if e.SetBounded(false) {
		s.limits.RemoveBound(s.now, e.Life())
	}
	delete(s.coldWatch.cold, e.ID)
}

// known returns the endpoint that is known under an ID, or nil.
func (s *Scheduler) known(id core.EndpointID) *fleet.Endpoint {
	e, _ := s.fleet.Known(id)
	return e
}

// recordEnding records how an attempt or call ended that was sent to an endpoint at sentAt, with the given number in progress.
func (s *Scheduler) recordEnding(e *fleet.Endpoint, sentAt core.Millis, ending order.AttemptOutcome, running int) {
	e.RecordPaceEnding(s.now, sentAt, ending, running)
	if ending == order.Unreachable || ending == order.Broken {
		s.assumeEndpointCold(e, fleet.ConnectionFailed, 0)
	}
}

// takePermits takes the permits for a call with a number of pieces. With a bound, each piece counts as a request.
func (s *Scheduler) takePermits(e *fleet.Endpoint, pieces int) bool {
	if !e.Bounded() {
		return s.takePermit(e)
	}
	s.services[e.Endpoint.Service].budgetsAt = 0
	return s.limits.TakeMany(s.now, e.Life(), pieces)
}

// maxPermittedPieces returns how many pieces a call to an endpoint may have at most, given the size of a full call.
func (s *Scheduler) maxPermittedPieces(e *fleet.Endpoint, full int) int {
	if !e.Bounded() {
		return full
	}
	free, _, _ := s.limits.Budget(s.now, e.Life())
	return max(1, min(full, int(free+permitRounding)))
}

// PaceStatus counts, for one service, the endpoints that count as cold and those with a window, whose sizes add up to Sum.
type PaceStatus struct {
	Service        string
	Cold, Windowed int
	Sum            float64
}

// PaceStatus returns the state of all services with a cold bound, ordered by name.
func (s *Scheduler) PaceStatus(now core.Millis) []PaceStatus {
	var list []PaceStatus
	for _, name := range s.serviceNames() {
		svc := s.services[name]
		if svc.ColdTime <= 0 || svc.ColdPerSecond <= 0 {
			continue
		}
		x := PaceStatus{Service: name}
		for _, e := range svc.Endpoints() {
			if e.IsCold(now) {
				x.Cold++
			}
			if size, active := e.Window(); active {
				x.Windowed++
				x.Sum += size
			}
		}
		list = append(list, x)
	}
	return list
}
