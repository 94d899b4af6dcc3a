package entry

import (
	"context"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
)

// computeContent computes the identity of the request's content, which is the same when the client sends the request again, and
// those of the parts of its prompt that other requests share: all but the last.
func (r *request) computeContent() {
	r.content = poison.NewContent(r.organisation.Name, r.body, r.httpRequest.Method, r.httpRequest.Host, r.httpRequest.RequestURI)
	parts := r.incoming.Prompt.Parts
	for _, p := range parts[:max(0, len(parts)-1)] {
		r.parts = append(r.parts, poison.NewPartContent(r.service, p.ID))
	}
}

// identity returns what the guard knows the request by.
func (r *request) identity() poison.Identity {
	return poison.Identity{Content: r.content, Parts: r.parts}
}

// markBegun records that the answer has begun at the endpoint of the present attempt.
func (r *request) markBegun() {
	if r.bodyBeganAt == 0 {
		r.bodyBeganAt = r.entry.clock.Now()
		r.entry.guard.Begun(r.identity())
	}
}

// admit asks the guard, just before sending, whether the request may be sent to its endpoint, and whether that is a trial.
func (r *request) admit(ctx context.Context, g *order.Grant) (trial bool, p *core.Problem) {
	return r.entry.guard.Admit(ctx, r.incoming.ID, r.identity(), g.Endpoint, r.end()-r.entry.clock.Now())
}

// reportOutcome reports to the guard how an attempt ended: it ends a trial, or reports a broken connection as a possible
// crash. It returns the request's standing after that.
func (r *request) reportOutcome(ctx context.Context, g *order.Grant, ending order.AttemptOutcome, trial bool) poison.Standing {
	e := r.entry
	if ending != order.Broken {
		if trial {
			e.guard.EndTrial(r.identity(), g.Endpoint, ending == order.Served || ending == order.Erred)
		}
		return poison.Clear
	}
	suspect := poison.Suspect{Request: r.incoming.ID, Organisation: r.organisation.Name, Content: r.content, Alone: trial, Parts: r.parts, Began: r.bodyBeganAt > 0, Age: e.clock.Now() - r.attemptBegan}
	target := core.Target{Life: core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}, Address: g.Address}
	if !r.mayRetry(ending) {
		// Without another attempt the client need not wait for the report.
		e.guard.ReportCut(suspect, target)
		return poison.Clear
	}
	return e.guard.ReportAndWait(ctx, target, suspect)
}
