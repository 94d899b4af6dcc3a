package entry

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/permit"
)

// isPermitValid reports whether the permit in a grant may still be used.
//
// With a bound, the permit's age counts from its issue: the scheduler had the request for the stated time, and the host asked
// it before that, so that the permit is not older than this. The clocks of the two need not agree.
func (r *request) isPermitValid(g *order.Grant) bool {
	now := r.entry.clock.Now()
	if !g.Bounded {
		return now-r.sending.grantedAt < permit.Validity
	}
	return r.setIssued(now, r.sending.placedAt+g.Waited)
}

// hasExpired reports whether a permit that was asked for at askedAt arrived too late to be used. It is asked for again.
func (r *request) hasExpired(askedAt core.Millis, reply permit.TakeReply) bool {
	r.sending.sendBy = 0
	return reply.Bounded && !r.setIssued(r.entry.clock.Now(), askedAt+reply.Waited)
}

// setIssued sets until when the request may be sent under a permit of an endpoint with a bound, and reports whether the permit
// is valid.
func (r *request) setIssued(now, issuedAt core.Millis) bool {
	r.sending.sendBy = issuedAt + permit.BoundSendLimit
	if now-issuedAt < permit.BoundValidity {
		return true
	}
	r.entry.log.Info("permit expired", "request", r.incoming.ID, "age_ms", now-issuedAt)
	r.entry.meter.Count("permits_expired_total", 1)
	return false
}

// isBounded reports whether requests to an endpoint incarnation need a permit because of a bound.
func (c *endpointChooser) isBounded(life core.Life) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.Bounded(life)
}

// reportFailed tells the scheduler that a connection to an endpoint with a bound has failed under a plain request, since the
// endpoint may be cold.
func (r *request) reportFailed(g *order.Grant, ending order.AttemptOutcome) {
	life := core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	if (ending == order.Unreachable || ending == order.Broken) && r.entry.chooser.isBounded(life) {
		r.entry.events.addFailed(r.entry.options.Host, life, ending)
	}
}
