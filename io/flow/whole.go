package flow

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/poison"
	"cyclamenford/core/retry"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
	"cyclamenford/io/tries"
)

// attemptResult is the result of one attempt of a stage.
type attemptResult struct {
	result  dial.Result
	problem *core.Problem
	// retryable is true if another attempt may succeed.
	retryable bool
	grant     broker.Grant
}

// unaryRun coordinates the attempts of a stage whose answer is not streamed.
type unaryRun struct {
	runner   *Runner
	progress *progress
	index    int
	work     poison.Identity
	done     chan attemptResult
	// granted receives a value whenever an attempt is granted an endpoint.
	granted   chan struct{}
	attempts  retry.Attempts
	avoid     []core.EndpointID
	suspected bool
}

// runUnaryStage runs a stage whose answer is not streamed. It retries after endpoint failures within the retry budget.
func (r *Runner) runUnaryStage(ctx context.Context, g *progress, i int) (Answer, *core.Problem) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &unaryRun{
		runner: r, progress: g, index: i, done: make(chan attemptResult, retry.MaxAttempts),
		granted: make(chan struct{}, retry.MaxAttempts),
		work:    g.identity(i),
	}
	w.suspected = r.Standing(w.work) == poison.Suspected
	began := r.clock.Now()
	a := w.run(ctx)
	if a.problem != nil {
		return Answer{}, a.problem
	}
	g.stageTimes = append(g.stageTimes, StageTime{
		Name: g.stages[i].Name, Ms: r.clock.Now() - began, Attempts: w.attempts.Started(),
		Endpoint: a.grant.Endpoint.ID, Why: string(a.grant.Action.OrderRule) + "/" + string(a.grant.Action.RouteRule),
	})
	return Answer{Output: a.result.Output}, nil
}

// run starts the attempts, including retries and a hedge, and returns the first success or the last failure.
func (w *unaryRun) run(ctx context.Context) attemptResult {
	w.launch(ctx, 0, false)
	var slow <-chan time.Time
	for {
		select {
		case <-w.granted:
			if slow == nil {
				slow = time.After(w.hedgeDelay().Duration())
			}
		case a := <-w.done:
			if a.problem == nil {
				return a
			}
			w.recordFailedAttempt(a)
			switch w.attempts.RecordFailure(a.retryable, w.runner.Broker.TakeRetry) {
			case retry.Fail:
				return a
			case retry.Retry:
				w.launch(ctx, w.runner.Broker.Backoff(w.attempts.Started()), false)
			}
		case <-slow:
			if !w.suspected && w.attempts.Hedge(w.runner.Broker.TakeRetry) {
				w.launch(ctx, 0, true)
			}
		case <-ctx.Done():
			return attemptResult{problem: w.contextProblem(ctx)}
		}
	}
}

// hedgeDelay returns how long the first attempt may run after its dispatch before a hedge is started.
func (w *unaryRun) hedgeDelay() core.Millis {
	tail := w.runner.Broker.P95(w.progress.keys[w.index])
	return retry.HedgeDelay(w.progress.request.Priority, tail)
}

// recordFailedAttempt excludes the endpoint of a failed attempt from the next ones, and disables hedges if the request
// is now suspected of crashing endpoints.
func (w *unaryRun) recordFailedAttempt(a attemptResult) {
	if a.grant.Endpoint.ID != "" {
		w.avoid = append(w.avoid, a.grant.Endpoint.ID)
	}
	w.suspected = w.suspected || w.runner.Standing(w.work) == poison.Suspected
}

// contextProblem returns the problem for a stage whose context ended: the deadline has passed or the caller has
// disconnected.
func (w *unaryRun) contextProblem(ctx context.Context) *core.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return core.NewProblem(http.StatusGatewayTimeout, core.Failed, core.ReasonDeadlineExceeded,
			"the deadline passed in stage %s", w.progress.stages[w.index].Name)
	}
	return core.NewProblem(http.StatusGatewayTimeout, core.Failed, core.ReasonCallerGone, "the caller has gone")
}

// launch starts an attempt in the background after a delay. Its result is sent to w.done.
func (w *unaryRun) launch(ctx context.Context, after core.Millis, hedge bool) {
	w.attempts.Start()
	a := w.runner.attemptFor(w.progress, w.index, w.avoid)
	a.Hedge = hedge
	go func() {
		tries.Sleep(ctx, after)
		w.done <- w.attempt(ctx, a)
	}()
}

// attempt waits for an endpoint and runs the stage there once.
func (w *unaryRun) attempt(ctx context.Context, a desk.Attempt) attemptResult {
	r := w.runner
	g, problem := r.Acquire(ctx, a, w.work)
	if problem != nil {
		return attemptResult{problem: problem}
	}
	w.granted <- struct{}{}
	ctx, span := r.trace.StartSpan(ctx, "attempt", "endpoint", string(g.Endpoint.ID))
	defer span.End()
	run := r.newRun(w.progress, w.index, g)
	sent := tries.Sent{At: r.clock.Now()}
	result, err := r.Dial.Call(ctx, g.Endpoint.Target(), run, true)
	if err == nil {
		w.progress.markMayHaveRun()
		r.FinishSucceeded(g, w.work)
		return attemptResult{result: result, grant: g}
	}
	return r.recordFailure(ctx, w.progress, g, w.work, sent, err)
}
