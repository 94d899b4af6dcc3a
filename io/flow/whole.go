package flow

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/core/retry"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
)

// attempt is how one attempt of a stage ended.
type attempt struct {
	result  dial.Result
	problem *core.Problem
	// again tells that another attempt may do better.
	again bool
	grant broker.Grant
}

// wholeRun coordinates the attempts of one stage whose answer comes whole.
type wholeRun struct {
	runner   *Runner
	progress *progress
	index    int
	content  poison.Content
	done     chan attempt
	attempts retry.Attempts
	avoid    []core.EndpointID
	alone    bool
}

// wholeStage runs a stage and hides endpoint failures behind further attempts within the retry budget.
func (r *Runner) wholeStage(ctx context.Context, g *progress, i int) (Answer, *core.Problem) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &wholeRun{
		runner: r, progress: g, index: i, done: make(chan attempt, retry.MaxAttempts),
		content: contentOf(g.request.Settings.Organisation, g.target, g.stages[i].Name, g.request.Body),
	}
	w.alone = r.standing(w.content) == poison.Suspected
	began := r.clock.Now()
	a := w.run(ctx)
	if a.problem != nil {
		return Answer{}, a.problem
	}
	g.times = append(g.times, StageTime{
		Name: g.stages[i].Name, Ms: r.clock.Now() - began, Attempts: w.attempts.Started(),
		Endpoint: a.grant.Endpoint.ID, Why: string(a.grant.Action.Order) + "/" + string(a.grant.Action.Route),
	})
	return Answer{Output: a.result.Output}, nil
}

func (w *wholeRun) run(ctx context.Context) attempt {
	w.launch(ctx, 0)
	tail := w.runner.broker.Tail(w.progress.keys[w.index])
	hedge := time.NewTimer(retry.Patience(w.progress.request.Priority, tail).Duration())
	defer hedge.Stop()
	for {
		select {
		case a := <-w.done:
			if a.problem == nil {
				return a
			}
			w.learn(a)
			switch w.attempts.Failed(a.again, w.runner.broker.MayRetry) {
			case retry.GiveUp:
				return a
			case retry.Launch:
				w.launch(ctx, w.runner.broker.Backoff(w.attempts.Started()))
			}
		case <-hedge.C:
			if !w.alone && w.attempts.Hedge(w.runner.broker.MayRetry) {
				w.launch(ctx, 0)
			}
		case <-ctx.Done():
			return attempt{problem: w.ended(ctx)}
		}
	}
}

// learn notes what a failed attempt says about the next one.
func (w *wholeRun) learn(a attempt) {
	if a.grant.Endpoint.ID != "" {
		w.avoid = append(w.avoid, a.grant.Endpoint.ID)
	}
	w.alone = w.alone || w.runner.standing(w.content) == poison.Suspected
}

func (w *wholeRun) ended(ctx context.Context) *core.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return core.NewProblem(http.StatusGatewayTimeout, core.Failed, core.ReasonDeadlineExceeded,
			"the deadline passed in stage %s", w.progress.stages[w.index].Name)
	}
	return core.NewProblem(http.StatusGatewayTimeout, core.Failed, core.ReasonCallerGone, "the caller has gone")
}

func (w *wholeRun) launch(ctx context.Context, after core.Millis) {
	w.attempts.Start()
	avoid, alone := w.avoid, w.alone
	go func() {
		wait(ctx, after)
		w.done <- w.attempt(ctx, avoid, alone)
	}()
}

func wait(ctx context.Context, after core.Millis) {
	if after <= 0 {
		return
	}
	t := time.NewTimer(after.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (w *wholeRun) attempt(ctx context.Context, avoid []core.EndpointID, alone bool) attempt {
	r := w.runner
	g, problem := r.grant(ctx, r.ask(w.progress, w.index, avoid, alone), w.content)
	if problem != nil {
		return attempt{problem: problem}
	}
	ctx, span := r.trace.Span(ctx, "attempt", "endpoint", string(g.Endpoint.ID))
	defer span.End()
	run := r.run(w.progress, w.index)
	result, err := r.dial.Call(ctx, g.Endpoint.Address, run, true)
	if err == nil {
		w.progress.markRan()
		r.settle(g, w.content, alone)
		return attempt{result: result, grant: g}
	}
	return r.failed(ctx, w.progress, g, w.content, alone, err)
}
