package fleet

import (
	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/speed"
)

const (
	// typicalFill is the assumed fill of a typical call, as a share of the largest batch.
	typicalFill = 0.6
	// initialFirstByte is the assumed time to the first byte before the first observation, in milliseconds.
	initialFirstByte = 120.0
	// usableRoomShare is the share of the result space that is in use at most. The results of a call rarely fit the
	// rest exactly, and result sizes are approximate.
	usableRoomShare = 0.85
	// footprintWeight is the weight of one result in the average footprint, which thus covers about the last second of
	// a busy service.
	footprintWeight = 0.02
)

// Service holds the configuration of a service, its endpoints and the estimates that they share.
type Service struct {
	conf.Service
	// endpoints are sorted by ID.
	endpoints []*Endpoint
	holders   holders
	firstByte estimate
	// speed is learned from the endpoints that state their slowdown.
	speed  *speed.Service
	budget RetryBudget
	// footprint is the average space-time product of a result: its size times how long it is held, in byte
	// milliseconds.
	footprint estimate
	// cachedLeastSlowdown and cachedLeastUnstated are the results of leastSlowdown at the time leastSlowdownAt.
	leastSlowdownAt                          core.Millis
	cachedLeastSlowdown, cachedLeastUnstated float64
	// knownSince is when the first endpoint of the service became known.
	knownSince core.Millis
}

// Endpoints returns the service's endpoints sorted by ID. The caller must not modify the slice.
func (s *Service) Endpoints() []*Endpoint { return s.endpoints }

// FirstByteTime returns the average time from the grant of a request to the first byte of its answer, in milliseconds.
func (s *Service) FirstByteTime() float64 { return s.firstByte.value }

// CallTime returns the expected time of a typical call in milliseconds, or 0 if the service does not prepare pieces.
func (s *Service) CallTime() float64 {
	if s.Pieces == nil {
		return 0
	}
	return s.Pieces.CallTime + typicalFill*float64(s.Pieces.Batch)*s.Pieces.ItemTime
}

// Capacity returns how many pieces the usable endpoints of a stage's service can prepare per millisecond. The rate of
// an endpoint is that of full calls, or less if results are held so long that their space is the bottleneck.
func (s *Service) Capacity(now core.Millis) float64 {
	sum := 0.0
	full := s.Pieces.CallTime + float64(s.Pieces.Batch)*s.Pieces.ItemTime
	for _, e := range s.endpoints {
		if e.Usable(now) {
			rate := float64(max(1, s.Pieces.Batch)*max(1, s.Pieces.Slots)) / (full * max(minSlowdown, e.slowdownOver(now, full)))
			if s.footprint.value > 0 && s.Pieces.Room > 0 {
				rate = min(rate, usableRoomShare*float64(s.Pieces.Room)/s.footprint.value)
			}
			rate = min(rate, e.permittedPieces())
			sum += rate
		}
	}
	return sum
}

// OnlyEvacuated reports whether the service has endpoints that are not leaving, and all of them are in evacuated failure domains. Those
// for which exclude returns true do not count; exclude may be nil.
func (s *Service) OnlyEvacuated(exclude func(*Endpoint) bool) bool {
	found := false
	for _, e := range s.endpoints {
		if e.leaving || exclude != nil && exclude(e) {
			continue
		}
		if !e.evacuated {
			return false
		}
		found = true
	}
	return found
}

// RecordResult records the size of a result and how long it was held, counted from the start of its call.
func (s *Service) RecordResult(bytes int64, lifetime core.Millis) {
	s.footprint.value += footprintWeight * (float64(bytes)*float64(lifetime) - s.footprint.value)
}

// CountRequest counts the first attempt of a request in the service's retry budget.
func (s *Service) CountRequest(now core.Millis, r RetryLimits) { s.budget.CountRequest(now, r) }

// RetriesAvailable returns how many retries the service's budget allows now.
func (s *Service) RetriesAvailable(now core.Millis, r RetryLimits) int {
	return s.budget.Available(now, r)
}

// SpendRetry takes one retry from the service's budget and reports whether it was allowed.
func (s *Service) SpendRetry(now core.Millis, r RetryLimits) bool { return s.budget.Spend(now, r) }

// leastSlowdown returns the slowdown of the fastest usable endpoint, at least minSlowdown, and the same among those whose speed is not
// estimated from reports. The results are cached for one millisecond because they are needed for each endpoint.
func (s *Service) leastSlowdown(now core.Millis) (all, unstated float64) {
	if s.leastSlowdownAt == now && s.cachedLeastSlowdown > 0 {
		return s.cachedLeastSlowdown, s.cachedLeastUnstated
	}
	for _, e := range s.endpoints {
		if !e.Usable(now) {
			continue
		}
		slowdown := e.SlowdownAt(now)
		if all == 0 || slowdown < all {
			all = slowdown
		}
		if !e.hasSpeed() && (unstated == 0 || slowdown < unstated) {
			unstated = slowdown
		}
	}
	s.leastSlowdownAt, s.cachedLeastSlowdown, s.cachedLeastUnstated = now, max(minSlowdown, all), max(minSlowdown, unstated)
	return s.cachedLeastSlowdown, s.cachedLeastUnstated
}
