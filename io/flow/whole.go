package flow

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/io/desk"
	"cyclamenford/io/dial"
)

const (
	// maxAttempts bounds the attempts of one stage.
	maxAttempts = 3
	// hedgeFactors scale a stage's 95th percentile to the time after which a second attempt starts.
	urgentHedgeFactor = 1.5
	otherHedgeFactor  = 4
	minPatience       = 50 * core.Millis(1)
	// unknownPatience is the patience with a stage of which too little is known.
	unknownPatience = core.Second
)

// attempt is how one attempt of a stage ended.
type attempt struct {
	result  dial.Result
	problem *core.Problem
	// again tells that another attempt may do better.
	again bool
	grant desk.Grant
}

// wholeRun coordinates the attempts of one stage whose answer comes whole.
type wholeRun struct {
	runner   *Runner
	progress *progress
	index    int
	content  poison.Content
	done     chan attempt
	open     int
	started  int
	avoid    []core.EndpointID
	alone    bool
}

// wholeStage runs a stage and hides endpoint failures behind further attempts within the retry budget.
func (r *Runner) wholeStage(ctx context.Context, g *progress, i int) (Answer, *core.Problem) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &wholeRun{
		runner: r, progress: g, index: i, done: make(chan attempt, maxAttempts),
		content: contentOf(g.request.Settings.Organisation, g.target, g.stages[i].Name, g.request.Body),
	}
	w.alone = r.standing(w.content) == poison.Suspected
	began := r.clock.Now()
	a := w.run(ctx)
	if a.problem != nil {
		return Answer{}, a.problem
	}
	g.times = append(g.times, StageTime{
		Name: g.stages[i].Name, Ms: r.clock.Now() - began, Attempts: w.started,
		Endpoint: a.grant.Endpoint.ID, Why: string(a.grant.Action.Order) + "/" + string(a.grant.Action.Route),
	})
	return Answer{Output: a.result.Output}, nil
}

func (w *wholeRun) run(ctx context.Context) attempt {
	w.launch(ctx, 0)
	hedge := time.NewTimer(w.patience().Duration())
	defer hedge.Stop()
	for {
		select {
		case a := <-w.done:
			w.open--
			if a.problem == nil {
				return a
			}
			if a.grant.Endpoint.ID != "" {
				w.avoid = append(w.avoid, a.grant.Endpoint.ID)
			}
			w.alone = w.alone || w.runner.standing(w.content) == poison.Suspected
			if a.again && w.mayRepeat() {
				w.launch(ctx, w.runner.desk.Backoff(w.started))
				continue
			}
			if w.open == 0 {
				return a
			}
		case <-hedge.C:
			if !w.alone && w.open == 1 && w.mayRepeat() {
				w.launch(ctx, 0)
			}
		case <-ctx.Done():
			return attempt{problem: w.ended(ctx)}
		}
	}
}

func (w *wholeRun) ended(ctx context.Context) *core.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return core.NewProblem(http.StatusGatewayTimeout, core.Failed, core.ReasonDeadlineExceeded,
			"the deadline passed in stage %s", w.progress.stages[w.index].Name)
	}
	return core.NewProblem(http.StatusGatewayTimeout, core.Failed, core.ReasonCallerGone, "the caller has gone")
}

func (w *wholeRun) mayRepeat() bool {
	return w.started < maxAttempts && w.runner.desk.MayRetry()
}

// patience is how long the first attempt may take before a second one starts beside it.
func (w *wholeRun) patience() core.Millis {
	tail := w.runner.desk.Tail(w.progress.keys[w.index])
	if tail == 0 {
		return unknownPatience
	}
	factor := core.Millis(otherHedgeFactor)
	if w.progress.request.Priority == core.Urgent {
		return max(minPatience, core.Millis(float64(tail)*urgentHedgeFactor))
	}
	return max(minPatience, tail*factor)
}

func (w *wholeRun) launch(ctx context.Context, after core.Millis) {
	w.open++
	w.started++
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
