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

// recordFailure releases the grant of a failed attempt, reports a crash against the request if one occurred, and
// returns the result with the problem for the caller and whether a retry is allowed.
func (r *Runner) recordFailure(ctx context.Context, g *progress, grant broker.Grant, work poison.Identity, sent tries.Sent, err error) attemptResult {
	var e *dial.Error
	if !errors.As(err, &e) {
		e = &dial.Error{Outcome: core.Failed, Reason: core.ReasonEndpointFailed, Err: err}
	}
	if e.Outcome != core.NotRun {
		g.markMayHaveRun()
	}
	if r.FinishFailed(ctx, g.request.ID, g.request.TeamSettings.Organisation, grant, work, sent, e) == poison.Convicted {
		if p := r.CheckQuarantine(work); p != nil {
			p.Outcome = core.Failed
			return attemptResult{grant: grant, problem: p}
		}
	}
	return attemptResult{grant: grant, problem: tries.ProblemOf(e), retryable: ctx.Err() == nil}
}
