package flow

import (
	"context"
	"errors"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
	"cyclamenford/io/tries"
)

// failed ends an attempt that went wrong, and says whether another may do better.
func (r *Runner) failed(ctx context.Context, g *progress, grant broker.Grant, content poison.Content, alone bool, err error) attempt {
	var e *dial.Error
	if !errors.As(err, &e) {
		e = &dial.Error{Outcome: core.Failed, Reason: core.ReasonEndpointFailed, Err: err}
	}
	if e.Outcome != core.NotRun {
		g.markRan()
	}
	r.Broker.Finish(grant, tries.VerdictOf(ctx, e))
	if ctx.Err() != nil {
		if alone {
			r.EndTrial(content, grant.Endpoint.ID, false)
		}
		return attempt{grant: grant, problem: tries.ProblemOf(e)}
	}
	if e.Broken && r.Blame(ctx, g.request.ID, g.request.Settings.Organisation, content, grant.Endpoint) == poison.Convicted {
		return attempt{grant: grant, problem: tries.Quarantined(core.Failed)}
	}
	if alone {
		r.EndTrial(content, grant.Endpoint.ID, false)
	}
	return attempt{grant: grant, problem: tries.ProblemOf(e), again: true}
}
