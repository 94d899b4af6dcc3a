package entry

import (
	"math/rand/v2"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/notice"
	"cyclamenford/core/order"
	relay "cyclamenford/io"
	"cyclamenford/io/assign"
)

// retrySpread is the part of a pause over which the retries of the refused requests are spread, so that they do not all
// arrive when the pause ends.
const retrySpread = 0.25

// recordNotice applies the notice in an answer, that its endpoint is leaving or pauses: on this host at once, and on the
// others by way of the scheduler.
func (r *request) recordNotice(g *order.Grant, verdict relay.EndpointResponse) {
	e := r.entry
	if verdict.HeaderError != "" && e.headerWarnings.Allow(e.clock.Now(), string(g.Endpoint)) {
		e.log.Warn("answer's header ignored", "request", r.incoming.ID, "endpoint", g.Endpoint, "err", verdict.HeaderError)
	}
	life := core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	if verdict.Notice.Empty() || !e.chooser.applyNotice(life, verdict.Notice) {
		return
	}
	e.log.Info("endpoint told of itself", "request", r.incoming.ID, "endpoint", g.Endpoint, "incarnation", g.Life,
		"leaving", verdict.Notice.Leaving, "pause_ms", verdict.Notice.Pause)
	if verdict.Notice.Leaving {
		e.meter.Count("endpoints_leaving_by_answer_total", 1)
	}
	if verdict.Notice.Pause > 0 {
		e.meter.Count("endpoint_pauses_total", 1)
	}
	e.events.addNotice(e.options.Host, life, verdict.Notice)
}

// isUnusable reports whether the endpoint of a grant must not be used now, because its failure domain is evacuated or its answers have
// told this host that it is leaving or pauses. The scheduler may not have known that when it chose the endpoint.
func (r *request) isUnusable(g *order.Grant) bool {
	if r.isEvacuated(g) {
		return true
	}
	n := r.entry.chooser.activeNotice(core.Life{Endpoint: g.Endpoint, Incarnation: g.Life})
	if n.Empty() {
		return false
	}
	r.entry.log.Info("endpoint not used", "request", r.incoming.ID, "endpoint", g.Endpoint, "leaving", n.Leaving, "pause_left_ms", n.Pause)
	return true
}

// replacementArgs returns the arguments of the call that returns an unused grant, tells why, and requests another endpoint.
func (r *request) replacementArgs(g *order.Grant) assign.AgainArgs {
	life := core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	return assign.AgainArgs{
		Key: r.key, How: order.NotSent, Service: r.service, Continuation: r.continuation(),
		Notice: &assign.RequestEvent{Key: r.key, Life: life, Notice: r.entry.chooser.activeNotice(life)},
	}
}

// pausedProblem returns the refusal of a request all of whose endpoints pause. The client should retry after the first
// pause has ended.
func (r *request) pausedProblem(pauseLeft core.Millis) *core.Problem {
	extra := core.Millis(rand.Float64() * retrySpread * float64(pauseLeft))
	return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonEndpointsPause,
		"all endpoints of %s pause for %d ms", r.service, pauseLeft).WithRetryAfter(pauseLeft + extra)
}

// applyNotice records a notice of an endpoint incarnation and reports whether it changed anything.
func (c *endpointChooser) applyNotice(life core.Life, n notice.Notice) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.RecordNotice(c.clock.Now(), life, n)
}

// activeNotice returns the notice that forbids requests to an endpoint incarnation now; it is empty if there is none.
func (c *endpointChooser) activeNotice(life core.Life) notice.Notice {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.ActiveNotice(c.clock.Now(), life)
}

// pauseLeft returns the time until the first pause of a service's endpoints ends, or 0 if an endpoint does not pause or
// none is in use.
func (c *endpointChooser) pauseLeft(service string) core.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.UntilPauseEnds(c.clock.Now(), service)
}
