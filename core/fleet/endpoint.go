package fleet

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/speed"
)

const (
	// observationWeight is the weight of a new observation in an estimate, which thus follows about the last ten.
	observationWeight = 0.1
	// initialBackoff is the backoff after a first failure. It doubles with each further failure in a row, up to
	// maxBackoff.
	initialBackoff = 250 * core.Millis(1)
	maxBackoff     = 4 * core.Second
	// rejectedBackoff is the backoff after an endpoint rejected a request for lack of a slot: about the time until a
	// slot is free.
	rejectedBackoff = 20 * core.Millis(1)
	// SlowFactor is the slowdown, relative to the fastest endpoint of the service, above which an endpoint is only probed.
	SlowFactor = 2.0
	// slowProbeInterval is the time between probes of a slow endpoint. It is long because calls there take far longer
	// than elsewhere.
	slowProbeInterval = 3 * core.Second
	// fullBackoff is the backoff of a stage's endpoint that has no room for results. Results are released within about
	// one call.
	fullBackoff = 200 * core.Millis(1)
	// minSlowdown is the lowest slowdown that counts for an endpoint. It limits the effect of a single very short call.
	minSlowdown = 0.3
)

// estimate is an exponential moving average.
type estimate struct{ value float64 }

func (e *estimate) add(v float64) {
	e.value += observationWeight * (v - e.value)
}

// Endpoint is an announced endpoint with its current load and what the scheduler has observed of it.
type Endpoint struct {
	order.Endpoint
	service *Service
	// idHash is the hash of the endpoint's ID.
	idHash  uint64
	leaving bool
	// evacuated means that the operator has ordered that nothing more is sent to the endpoint's failure domain.
	evacuated bool
	coldUntil core.Millis
	// calls is the number of calls in progress and resultBytes the space that results take up. Both are used only for
	// endpoints of stages.
	calls       int
	resultBytes int64
	// running is the number of granted requests, unreadTokens the sum of their prompt tokens that are still to be read,
	// and heldTokens the sum of all their tokens, output included.
	running      int
	unreadTokens int
	heldTokens   int
	cache        *promptCache
	// inheritedTokens is the part of heldTokens that belongs to requests which an earlier scheduler granted.
	inheritedTokens int
	// slowdown is the ratio of observed to expected call time. speed is what the endpoint states of its slowdown. failureRate is the share of failed attempts.
	slowdown estimate
	speed    speed.Endpoint
	// silent means that the endpoint has answered and has not stated a slowdown.
	silent       bool
	failureRate  estimate
	backoff      core.Millis
	backoffUntil core.Millis
	// pausedUntil is when the pause that the endpoint requested ends.
	pausedUntil core.Millis
	// limited means that the endpoint names a limit, and limit is the number of requests per second that it allows.
	limited bool
	limit   float64
	// probeAt is the earliest time at which a slow endpoint is probed again.
	probeAt core.Millis
	cold    coldState
	paced   paced
}

// Life returns the endpoint's incarnation.
func (e *Endpoint) Life() core.Life { return core.Life{Endpoint: e.ID, Incarnation: e.Incarnation} }

// Leaving reports whether this incarnation of the endpoint gets no new work.
func (e *Endpoint) Leaving() bool { return e.leaving }

// PauseUntil stops new work for the endpoint until the given time, at the endpoint's request.
func (e *Endpoint) PauseUntil(till core.Millis) { e.pausedUntil = max(e.pausedUntil, till) }

// Paused reports whether a pause that the endpoint requested is in effect.
func (e *Endpoint) Paused(now core.Millis) bool { return now < e.pausedUntil }

// Evacuated reports whether the failure domain of the endpoint is evacuated.
func (e *Endpoint) Evacuated() bool { return e.evacuated }

// SetLimit sets the limit that the endpoint names, in requests per second.
func (e *Endpoint) SetLimit(limited bool, perSecond float64) { e.limited, e.limit = limited, perSecond }

// Limited reports whether the endpoint names a limit.
func (e *Endpoint) Limited() bool { return e.limited }

// RecordFailure records an attempt that did not succeed and starts a backoff, which grows with each failure in a row. An
// attempt that was rejected, abandoned or lacked an input is no failure and leads only to rejectedBackoff.
func (e *Endpoint) RecordFailure(now core.Millis, ending order.AttemptOutcome) {
	if ending == order.OtherEndpoint {
		e.leaving = true
	}
	if ending == order.Rejected || ending == order.Abandoned || ending == order.GoneInput {
		e.backoffUntil = max(e.backoffUntil, now+rejectedBackoff)
		return
	}
	e.failureRate.add(1)
	e.backoff = min(maxBackoff, max(initialBackoff, e.backoff*2))
	e.backoffUntil = now + e.backoff
}

func (e *Endpoint) recordSuccess() {
	e.failureRate.add(0)
	e.backoff = 0
}

// Slow reports whether the endpoint exceeds the allowed slowdown relative to the fastest endpoint of its service.
func (e *Endpoint) Slow(now core.Millis) bool {
	return e.SlowdownAt(now) > e.slowBound(now)
}
