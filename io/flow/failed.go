package flow

import (
	"context"
	"errors"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/poison"
	"cyclamenford/core/pool"
	"cyclamenford/core/retry"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
)

// grant waits for an endpoint; a suspected request also waits for its trial there.
func (r *Runner) grant(ctx context.Context, a desk.Ask, content poison.Content) (broker.Grant, *core.Problem) {
	for {
		g, problem := r.broker.Acquire(ctx, a)
		if problem != nil || !a.Alone {
			return g, problem
		}
		if r.beginTrial(ctx, content, g.Endpoint.ID) {
			return g, nil
		}
		r.broker.Finish(g, pool.Withdrawn)
		wait(ctx, r.broker.Backoff(retry.MaxAttempts))
		if r.standing(content) == poison.Convicted || ctx.Err() != nil {
			return broker.Grant{}, quarantined(core.NotRun)
		}
	}
}

// settle ends an attempt that went well.
func (r *Runner) settle(g broker.Grant, content poison.Content, alone bool) {
	r.broker.Finish(g, pool.Succeeded)
	if alone {
		r.endTrial(content, g.Endpoint.ID, true)
	}
}

// failed ends an attempt that went wrong, and says whether another may do better.
func (r *Runner) failed(ctx context.Context, g *progress, grant broker.Grant, content poison.Content, alone bool, err error) attempt {
	var e *dial.Error
	if !errors.As(err, &e) {
		e = &dial.Error{Outcome: core.Failed, Reason: core.ReasonEndpointFailed, Err: err}
	}
	if e.Outcome != core.NotRun {
		g.markRan()
	}
	r.broker.Finish(grant, verdictOf(ctx, e))
	if ctx.Err() != nil {
		if alone {
			r.endTrial(content, grant.Endpoint.ID, false)
		}
		return attempt{grant: grant, problem: problemOf(e)}
	}
	if e.Broken && r.blame(ctx, g.request, content, grant.Endpoint) == poison.Convicted {
		return attempt{grant: grant, problem: quarantined(core.Failed)}
	}
	if alone {
		r.endTrial(content, grant.Endpoint.ID, false)
	}
	return attempt{grant: grant, problem: problemOf(e), again: true}
}

func verdictOf(ctx context.Context, e *dial.Error) pool.Verdict {
	if ctx.Err() != nil || e.Outcome == core.NotRun && e.Refused {
		return pool.Withdrawn
	}
	if e.Outcome == core.NotRun {
		return pool.Unreachable
	}
	return pool.Faulted
}

func problemOf(e *dial.Error) *core.Problem {
	outcome := e.Outcome
	if outcome == core.Unknown {
		outcome = core.Failed
	}
	status := http.StatusBadGateway
	if outcome == core.NotRun {
		status = http.StatusServiceUnavailable
	}
	return core.NewProblem(status, outcome, e.Reason, "endpoint: %v", e.Err).WithRetryAfter(core.Second)
}

func quarantined(outcome core.Outcome) *core.Problem {
	return core.NewProblem(http.StatusUnprocessableEntity, outcome, core.ReasonQuarantined,
		"this request has crashed the endpoints that ran it; an operator can release it")
}
