package door

import (
	"math"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/roll"
)

const (
	// halfLife is the time in which the weight of an observation halves. It is short enough that an avoided endpoint is
	// tried again soon, and long enough that a host of a large deployment, which sees one endpoint only every few
	// seconds, still uses what it observed there.
	halfLife = 6 * core.Second
	// observationWeight is the weight of a new observation. It is large because a host of a large deployment sees one
	// endpoint only every few seconds.
	observationWeight = 0.5
	// initialBackoff is the backoff after a first failure. It doubles with each further failure in a row, up to
	// maxBackoff.
	initialBackoff = 250 * core.Millis(1)
	maxBackoff     = 4 * core.Second
	// fullBackoff is the backoff after an endpoint rejected a request for lack of a slot: about one call, the time
	// until a slot is free.
	fullBackoff = 20 * core.Millis(1)
)

// decayingAverage is a moving average of sparse observations that decays to zero while there are none.
type decayingAverage struct {
	value     float64
	updatedAt core.Millis
}

func (d decayingAverage) valueAt(now core.Millis) float64 {
	return d.value * math.Exp2(-float64(now-d.updatedAt)/float64(halfLife))
}

func (d *decayingAverage) add(now core.Millis, sample float64) {
	current := d.valueAt(now)
	d.value, d.updatedAt = current+observationWeight*(sample-current), now
}

// endpoint is a published endpoint with what this host has observed of it.
type endpoint struct {
	roll.Listed
	// term is the term of the last roll that listed the endpoint. keepUntil is set while the roll of a later term omits
	// it.
	term      uint64
	keepUntil core.Millis
	coldUntil core.Millis
	// running is the number of this host's requests at the endpoint.
	running int
	// excessLatency is the call time above the service's usual one, as a multiple of it. failureRate is the share of
	// failed attempts.
	excessLatency, failureRate decayingAverage
	// backoffUntil is when the backoff after a failure ends. backoff is its length, which grows with each failure in a
	// row.
	backoffUntil, backoff core.Millis
	reported              reported
	// heldUntil is when the next permit of an endpoint that names a limit is expected to be free.
	heldUntil core.Millis
	paced     paced
}

func (e *endpoint) life() core.Life {
	return core.Life{Endpoint: e.ID, Incarnation: e.Incarnation}
}

// weight returns the endpoint's relative probability of being selected.
func (e *endpoint) weight(now core.Millis, s *service) float64 {
	slow := e.relativeSlowdown(now, s) + e.excessLatency.valueAt(now) + e.loadShare(now)
	if now < e.coldUntil {
		slow += coldPenalty
	}
	return max(minWeight, math.Pow(1-e.failureRate.valueAt(now), failureExponent)/math.Pow(slow, latencyExponent))
}

func (e *endpoint) observe(now core.Millis, ending order.AttemptOutcome, took core.Millis, s *service) {
	switch ending {
	case order.Served:
		// What the endpoint states of its slowdown is no excess.
		stated := e.relativeSlowdown(now, s)
		s.callTime += callTimeWeight * (float64(took)/stated - s.callTime)
		e.excessLatency.add(now, max(0, float64(took)/stated/max(1, s.callTime)-1))
		e.failureRate.add(now, 0)
		e.backoff = 0
	case order.Erred:
		// The endpoint answered, so it is up, and the request itself may be the cause of the failure.
		e.failureRate.add(now, 1)
		e.backoff = 0
	case order.Rejected:
		e.backoffUntil = max(e.backoffUntil, now+fullBackoff)
	case order.OtherEndpoint:
		e.Leaving = true
	case order.Abandoned, order.GoneInput, order.NotSent:
	default:
		e.failureRate.add(now, 1)
		e.backoff = min(maxBackoff, max(initialBackoff, e.backoff*2))
		e.backoffUntil = now + e.backoff
	}
}
