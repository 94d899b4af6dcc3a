package route

import (
	"math"

	"cyclamenford/core"
)

const (
	// slowStartTime is the slow start of a new endpoint: the time until it may use all its slots.
	slowStartTime = 5 * core.Second
	// slowStartFraction is the fraction of its slots that a new endpoint may use at once.
	slowStartFraction = 0.25
	// slownessThreshold is the slowness relative to the pool's median above which an endpoint gets fewer requests.
	slownessThreshold = 2.0
	// breakerFailures is the number of consecutive failures that opens an endpoint's circuit breaker.
	breakerFailures = 3
	breakerMinOpen  = 500 * core.Millis(1)
	breakerMaxOpen  = 8 * core.Second
	slownessGain    = 0.2
)

// endpoint is one host's state for one endpoint: its last announcement, running requests, circuit breaker, observed
// slowness and the prompt prefixes that it probably caches.
type endpoint struct {
	announcement        core.Announcement
	slowStartAt         core.Millis
	ownRunning          int
	othersRunning       int
	slowness            float64
	consecutiveFailures int
	openUntil           core.Millis
	openCount           int
	probing             bool
	// awaitsPermit is set from the selection of the endpoint, if it names a limit, until its permit is answered.
	awaitsPermit bool
	restriction  Restriction
	aloneRunning int
	cacheSeq     uint64
	// prefixLastUse maps each prefix that is probably cached to the value of useCounter when it was last used.
	prefixLastUse map[uint64]uint64
	useCounter    uint64
	freeIndex     int
}

// limit returns how many requests the endpoint should run at once, from all hosts together. It is 0 while the endpoint
// is drained or paused or its breaker is open, 1 while the breaker is half-open, and otherwise the number of slots,
// reduced during slow start and for a slow endpoint.
func (e *endpoint) limit(now core.Millis) int {
	if e.restriction.Drained || now < e.restriction.PausedUntil || now < e.openUntil {
		return 0
	}
	if e.openUntil > 0 {
		return 1
	}
	l := float64(e.announcement.Slots)
	if age := now - e.slowStartAt; age < slowStartTime {
		l *= slowStartFraction + (1-slowStartFraction)*float64(age)/float64(slowStartTime)
	}
	if e.slowness > slownessThreshold {
		l /= e.slowness
	}
	return max(1, int(l))
}

// hasFreeSlot reports whether this host may send another request, given the fraction of the endpoint's slots that it
// may use.
func (e *endpoint) hasFreeSlot(now core.Millis, hostShare float64) bool {
	if e.probing || e.aloneRunning > 0 || e.awaitsPermit {
		return false
	}
	return e.ownRunning < int(math.Ceil(hostShare*float64(e.limit(now))))
}

// expectedLoad returns the endpoint's expected utilisation after one more request.
//
// It is the mean of two ratios: this host's requests to its part of the slots, which is exact, and all hosts' requests
// to all slots, which is delayed.
func (e *endpoint) expectedLoad(now core.Millis, hostShare float64) float64 {
	l := float64(e.limit(now))
	if l == 0 {
		return 1
	}
	own := float64(e.ownRunning+1) / (l * hostShare)
	all := float64(e.ownRunning+e.othersRunning+1) / l
	return (own + all) / 2
}

// applyLoadReport updates the estimate of other hosts' requests from a load report, unless the report is older than the
// last one.
func (e *endpoint) applyLoadReport(l core.Load) {
	if l.Seq <= e.announcement.Load.Seq && e.announcement.Load.Seq > 0 {
		return
	}
	e.othersRunning = max(0, l.Running+l.Queued-e.ownRunning)
}

// recordFailure counts a failure and opens the breaker after the given number of consecutive failures, or at once if a
// probe failed. The open time doubles with every opening, up to a maximum.
func (e *endpoint) recordFailure(now core.Millis, threshold int) {
	e.consecutiveFailures++
	if e.consecutiveFailures < threshold && !e.probing {
		return
	}
	wait := min(breakerMaxOpen, breakerMinOpen<<min(e.openCount, 4))
	e.openCount++
	e.openUntil = now + wait
}

// recordSuccess closes the breaker and updates the observed slowness relative to the pool. An endpoint whose breaker
// was open restarts its slow start.
func (e *endpoint) recordSuccess(now core.Millis, relativePace float64) {
	if e.openUntil > 0 {
		e.slowStartAt = now
	}
	e.consecutiveFailures, e.openUntil, e.openCount = 0, 0, 0
	e.slowness += slownessGain * (relativePace - e.slowness)
}
