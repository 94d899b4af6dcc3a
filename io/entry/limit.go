package entry

import (
	"context"
	"errors"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/door"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
	relay "cyclamenford/io"
	"cyclamenford/io/permit"
)

// sending says under which conditions a request is sent to its endpoint.
type sending struct {
	// grantedAt is when the grant was received.
	grantedAt core.Millis
	// onlyLimited means that every endpoint of the service that this host knows needs a permit. others are the endpoints besides
	// the granted one then.
	onlyLimited bool
	others      []core.Life
	// permitted means that the attempt has a permit.
	permitted bool
	// placedAt is when the scheduler was last asked to place the request, and sendBy when the request may be sent at the
	// latest under a permit of an endpoint with a bound, 0 without one.
	placedAt, sendBy core.Millis
	// checkedAt is when the last checks before the attempt began.
	checkedAt core.Millis
}

// sendLimit returns when the request may be sent at the latest.
func (s sending) sendLimit() core.Millis {
	end := s.checkedAt + relay.CheckedTime
	if s.sendBy > 0 {
		end = min(end, s.sendBy)
	}
	return end
}

// takePermit asks for a permit if the endpoint of a grant names a limit and the grant contains none. It reports false if
// another endpoint must be found, or returns the refusal of the request.
func (r *request) takePermit(ctx context.Context, g *order.Grant, trial bool) (bool, *core.Problem) {
	e := r.entry
	life := core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	r.sending.permitted, r.sending.sendBy = g.Permitted, 0
	if g.Permitted && r.isPermitValid(g) || !g.Permitted && !g.Bounded && !e.chooser.needsPermit(life) {
		return true, nil
	}
	if trial {
		// The trial is at this endpoint.
		r.sending.others = nil
	}
	reply, err := r.askPermit(ctx, life, g.Bounded || e.chooser.isBounded(life))
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return false, nil
	case err != nil && r.sending.onlyLimited:
		return false, r.noLeaderProblem(err)
	case err != nil:
		e.log.Info("no permit", "request", r.incoming.ID, "endpoint", g.Endpoint, "err", err)
		e.chooser.holdBack(g.Endpoint, permit.NoIssuerHold)
		return false, nil
	case reply.Permitted:
		r.sending.permitted = reply.Limited
		if !reply.Limited {
			e.chooser.recordLimit(reply.Life, limit.Unlimited(), e.clock.Now())
		}
		return r.usePermit(g, reply.Life), nil
	case r.sending.onlyLimited:
		return false, core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonEndpointsLimited,
			"all endpoints of %s name a limit", r.service).WithRetryAfter(reply.RetryAfter)
	}
	e.log.Info("no permit", "request", r.incoming.ID, "endpoint", g.Endpoint, "retry_after_ms", reply.RetryAfter)
	e.meter.Count("sent_elsewhere_total", 1, "why", "limit")
	e.chooser.holdBack(g.Endpoint, reply.RetryAfter)
	return false, nil
}

// usePermit changes a grant to the endpoint for which there is a permit. It reports false if that endpoint has left meanwhile.
func (r *request) usePermit(g *order.Grant, permitted core.Life) bool {
	if permitted.Endpoint == g.Endpoint {
		return true
	}
	choice, ok := r.entry.chooser.choosePermitted(permitted)
	if !ok {
		return false
	}
	r.endUnsent(g, order.NotSent, otherPermitted, again)
	r.entry.log.Info("permit for another endpoint", "request", r.incoming.ID, "endpoint", choice.Endpoint, "instead_of", g.Endpoint)
	r.tried = append(r.tried, choice.Endpoint)
	g.Endpoint, g.Life, g.Address, g.FailureDomain = choice.Endpoint, choice.Incarnation, choice.Address, choice.FailureDomain
	return true
}

// askPermit asks the leading keeper for a permit. If the leader is lost meanwhile, it asks the next one, as long as there
// is time.
func (r *request) askPermit(ctx context.Context, life core.Life, bounded bool) (permit.TakeReply, error) {
	e := r.entry
	for {
		now := e.clock.Now()
		answerTime := e.chooser.callTime(r.service)
		args := permit.TakeArgs{
			Report: e.chooser.limitReport(life), Host: e.options.Host, Request: r.incoming.ID, Priority: r.priority(),
			Aim: r.arrived + r.route.Aim - now - answerTime, Left: r.end() - now - answerTime, Others: r.sending.others, Wait: r.sending.onlyLimited, Bounded: bounded,
		}
		leader := e.control.LeaderAddress()
		callCtx, cancel := context.WithCancel(ctx)
		remove := e.calls.add(leader, cancel)
		reply, err := permit.Take(callCtx, e.peers, leader, args)
		remove()
		cancel()
		if err == nil && reply.Permitted && r.hasExpired(now, reply) && ctx.Err() == nil && e.clock.Now() < r.end() {
			continue
		}
		if err == nil || !args.Wait || !r.waitForLeader(ctx, leader) {
			return reply, err
		}
	}
}

// priority returns the rank of the request's organisation or, if it has none, of its route.
func (r *request) priority() int {
	if r.organisation.Priority != nil {
		return *r.organisation.Priority
	}
	return r.route.Priority
}

// recordLimit records what an answer says about the rate of requests that its endpoint accepts, and tells the scheduler
// what is new to it.
func (r *request) recordLimit(g *order.Grant, stated limit.Statement, sentAt core.Millis) {
	e := r.entry
	if !stated.Stated {
		return
	}
	life := core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	change := e.chooser.recordLimit(life, stated, sentAt)
	if change == limit.Unchanged && (stated.Limited || !r.sending.permitted) {
		return
	}
	e.events.addLimit(life, stated, limit.Span{SentAt: sentAt, HeardAt: e.clock.Now()})
	if change == limit.Unchanged {
		return
	}
	e.log.Info("endpoint limit", "request", r.incoming.ID, "endpoint", g.Endpoint, "incarnation", g.Life,
		"change", change, "rate", stated.Rate, "sent_age_ms", e.clock.Now()-sentAt)
	e.meter.Count("endpoint_limits_total", 1, "change", string(change))
}

// logLimited logs and counts a request that is about to be sent to an endpoint that names a limit.
func (r *request) logLimited(g *order.Grant) {
	e := r.entry
	if !r.sending.permitted {
		return
	}
	if r.sending.sendBy > 0 {
		// All requests to the service have a permit, so that a line for each would say nothing.
		e.meter.Count("limited_sends_total", 1, "kind", "bounded")
		return
	}
	e.log.Info("sent to a limited endpoint", "request", r.incoming.ID, "endpoint", g.Endpoint, "incarnation", g.Life, "attempt", r.attempts)
	e.meter.Count("limited_sends_total", 1, "kind", "request")
}

// recordLimit records a statement of an endpoint incarnation and returns how it changed what is known of it.
func (c *endpointChooser) recordLimit(life core.Life, stated limit.Statement, sentAt core.Millis) limit.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.RecordLimit(life, stated, limit.Span{SentAt: sentAt, HeardAt: c.clock.Now()})
}

// needsPermit reports whether requests to an endpoint incarnation need a permit.
func (c *endpointChooser) needsPermit(life core.Life) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.NeedsPermit(life)
}

// limitReport returns what this host has heard of the limit of an endpoint incarnation.
func (c *endpointChooser) limitReport(life core.Life) limit.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.LimitReport(c.clock.Now(), life)
}

// choosePermitted chooses the endpoint for which there is a permit. It reports false if it is not in use any more.
func (c *endpointChooser) choosePermitted(life core.Life) (door.Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.SelectPermitted(c.clock.Now(), life)
}

// holdBack avoids an endpoint without a free permit for a time, while another one can be used.
func (c *endpointChooser) holdBack(id core.EndpointID, span core.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.door.HoldBack(c.clock.Now(), id, span)
}

// callTime returns the usual time of a service's answer to a plain request.
func (c *endpointChooser) callTime(service string) core.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.CallTime(service)
}
