package member

import "cyclamenford/core"

const (
	// maxDriftRate is the maximum relative drift between two monotonic clocks.
	maxDriftRate = 0.001
	// maxStartJitter is the network jitter between two announcements: if the start times that they imply differ by no
	// more, neither was delayed.
	maxStartJitter = 300 * core.Millis(1)
	// minSpacing is the minimum time between the arrivals of two such announcements, since delayed ones arrive together.
	minSpacing = 500 * core.Millis(1)
)

// startEstimate is a host's estimate, on its own clock, of when an endpoint's incarnation started.
type startEstimate struct {
	known bool
	// earliestImplied is the start implied by the announcement with the least delay, which is the earliest one.
	earliestImplied core.Millis
	// lastImplied is the start implied by the last announcement, and lastArrival is when that announcement arrived.
	lastImplied, lastArrival core.Millis
}

// transitDelay updates the estimate with the start that an announcement implies by its uptime, and returns how much
// longer than the fastest announcement this one was in transit. If the endpoint's monotonic clock stopped, as on a
// suspended machine, two announcements agree on a later start, which then replaces the estimate. Without an uptime it
// returns 0.
func (s *startEstimate) transitDelay(now, implied, uptime core.Millis) core.Millis {
	if uptime <= 0 {
		return 0
	}
	earliest := s.earliestImplied + core.Millis(maxDriftRate*float64(now-s.lastArrival))
	agrees := s.known && now-s.lastArrival >= minSpacing && max(implied-s.lastImplied, s.lastImplied-implied) <= maxStartJitter
	if !s.known || implied < earliest || agrees {
		earliest = implied
	}
	*s = startEstimate{known: true, earliestImplied: earliest, lastImplied: implied, lastArrival: now}
	return implied - earliest
}
