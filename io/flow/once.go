package flow

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/ledger"
	"cyclamenford/core/plan"
	"cyclamenford/core/poison"
	"cyclamenford/core/pool"
	"cyclamenford/core/state"
	"cyclamenford/core/tree"
	"cyclamenford/io"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
	"cyclamenford/io/tries"
)

const (
	// pendingPollInterval is how often the ledger is queried while another request holds the reservation.
	pendingPollInterval = 100 * core.Millis(1)
	// finishTimeout limits how long an answer waits to be recorded in the ledger. After that the caller gets the answer
	// and it is recorded in the background. It also limits the query to an endpoint for the output of a call.
	finishTimeout = 1500 * time.Millisecond
	// maxDispatches limits the number of endpoints that are tried, each only after the previous one proved that it did
	// not run the call.
	maxDispatches = 3
)

// RunCall runs one operation of a plain service. A non-repeatable operation requires an idempotency key.
func (r *Runner) RunCall(ctx context.Context, q Request, s tree.Plain, c tree.Call, key string) (Answer, *core.Problem) {
	if c.Repeatable {
		return r.RunPipeline(ctx, q, tree.Pipeline{Name: s.Name, Stages: []tree.Stage{{Name: c.Name, Kind: core.Plain, Model: s.Name}}})
	}
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	ctx, cancel := r.untilEnd(ctx, q)
	defer cancel()
	o, problem := r.newNonRepeatableCall(q, s, c, key)
	if problem != nil {
		return Answer{}, problem
	}
	if problem := r.Broker.CheckDeadline(o.attemptFor(nil)); problem != nil {
		return Answer{}, problem
	}
	answer, problem := o.run(ctx)
	return answer, r.stopProblem(problem)
}

// nonRepeatableCall is one request for a non-repeatable call. The ledger ensures that the call runs at most once per key.
type nonRepeatableCall struct {
	runner   *Runner
	request  Request
	service  tree.Plain
	call     tree.Call
	key      ledger.Key
	issuedAt core.Millis
	bodyHash uint64
	holder   ledger.Holder
	work     poison.Identity
	stage    plan.Key
}

// newNonRepeatableCall validates the idempotency key and rejects a request that is in quarantine.
func (r *Runner) newNonRepeatableCall(q Request, s tree.Plain, c tree.Call, key string) (*nonRepeatableCall, *core.Problem) {
	if key == "" {
		return nil, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonKeyMissing,
			"%s/%s may not be repeated and needs an Idempotency-Key", s.Name, c.Name)
	}
	issuedAt, err := ledger.IssuedAt(key)
	if err != nil {
		return nil, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonBadHeader, "%v", err)
	}
	holder := r.Control.Holder()
	holder.Attempt = newAttemptID(q.ID, c.Name)
	work := poison.Identity{Content: poison.NewContent(q.TeamSettings.Organisation, q.Body, s.Name, c.Name)}
	if problem := r.CheckQuarantine(work); problem != nil {
		return nil, problem
	}
	return &nonRepeatableCall{
		runner: r, request: q, service: s, call: c, issuedAt: issuedAt, holder: holder, work: work,
		key:      ledger.Key{Organisation: q.TeamSettings.Organisation, Text: key},
		bodyHash: xxhash.Sum64String(s.Name + "/" + c.Name + "/" + string(q.Body)),
		stage:    plan.Key{Pool: s.Pool(), Name: s.Name + "/" + c.Name, Priority: q.Priority},
	}, nil
}

// run reserves the idempotency key and runs the call, or returns the result of an earlier request with the same key.
func (o *nonRepeatableCall) run(ctx context.Context) (Answer, *core.Problem) {
	reply, err := o.runner.Control.Propose(ctx, state.Command{Reserve: &state.Reserve{
		Key: o.key, IssuedAt: o.issuedAt, BodyHash: o.bodyHash, Holder: o.holder,
	}})
	if err != nil {
		o.release()
		return Answer{}, core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoQuorum,
			"the call could not be reserved").WithRetryAfter(core.Second)
	}
	if reply.Result != state.Accepted {
		return Answer{}, core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoServingLease,
			"%s", reply.Detail).WithRetryAfter(core.Second)
	}
	switch reply.Verdict {
	case ledger.Granted:
		return o.dispatch(ctx)
	case ledger.Pending:
		return o.awaitReservationHolder(ctx)
	case ledger.Answered:
		return o.recordedAnswer(ctx, *reply.Entry)
	case ledger.KeyReused:
		return Answer{}, core.NewProblem(http.StatusUnprocessableEntity, core.NotRun, core.ReasonKeyReused,
			"the key was used for another call")
	case ledger.Expired:
		return Answer{}, core.NewProblem(http.StatusGone, core.Unknown, core.ReasonKeyExpired,
			"the key is older than %d ms; whether its call ran is no longer known", ledger.Retention)
	}
	return Answer{}, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonBadHeader,
		"the key was issued in the future")
}

// dispatch sends the reserved call to an endpoint. It tries another endpoint only with proof that the first did not run
// the call.
func (o *nonRepeatableCall) dispatch(ctx context.Context) (Answer, *core.Problem) {
	r := o.runner
	var avoid []core.EndpointID
	for try := 1; ; try++ {
		g, problem := r.Acquire(ctx, o.attemptFor(avoid), o.work)
		if problem != nil {
			o.release()
			return Answer{}, problem
		}
		if !r.Control.Serving() {
			r.FinishInconclusive(g, o.work, pool.Inconclusive)
			o.release()
			return Answer{}, core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoServingLease,
				"this host has lost its serving lease").WithRetryAfter(core.Second)
		}
		answer, e := o.send(ctx, g)
		if e == nil || e.Outcome != core.NotRun {
			return o.finish(ctx, g, answer, e)
		}
		r.FinishInconclusive(g, o.work, tries.ResultOf(ctx, e))
		avoid = append(avoid, g.Endpoint.ID)
		if try >= maxDispatches || !r.Broker.TakeRetry() {
			o.release()
			return Answer{}, tries.ProblemOf(e)
		}
	}
}

// attemptFor describes an attempt of the call to the scheduler, excluding the endpoints in avoid.
func (o *nonRepeatableCall) attemptFor(avoid []core.EndpointID) desk.Attempt {
	q := o.request
	return desk.Attempt{
		Request: q.ID, Organisation: q.TeamSettings.Organisation, Weight: q.TeamSettings.Weight, Priority: q.Priority,
		Stages: []plan.Key{o.stage}, DeadlineAt: q.DeadlineAt, Avoid: avoid,
	}
}

// send runs the call at the granted endpoint. An error without a known outcome counts as Unknown.
func (o *nonRepeatableCall) send(ctx context.Context, g broker.Grant) (dial.Result, *dial.Error) {
	r := o.runner
	ctx, span := r.trace.StartSpan(ctx, "attempt", "endpoint", string(g.Endpoint.ID))
	defer span.End()
	run := dial.Run{
		RequestID: o.request.ID, AttemptID: o.holder.Attempt, Kind: core.Plain, Model: o.service.Name,
		Call: o.call.Name, Input: o.request.Body, DeadlineMs: o.request.DeadlineAt - r.clock.Now(),
		Priority: g.Action.EnginePriority(o.request.Priority), IdempotencyKey: o.endpointIdempotencyKey(),
	}
	result, err := r.Dial.Call(ctx, g.Endpoint.Target(), run, false)
	if err == nil {
		return result, nil
	}
	var e *dial.Error
	if !errors.As(err, &e) {
		e = &dial.Error{Outcome: core.Unknown, Reason: core.ReasonConnectionLost, Err: err}
	}
	return dial.Result{}, e
}

// endpointIdempotencyKey returns the idempotency key sent to endpoints. It is unique across organisations.
func (o *nonRepeatableCall) endpointIdempotencyKey() string {
	return string(o.key.Organisation) + "/" + o.key.Text
}

// finish records the outcome of the call in the ledger and returns the answer. If the outcome is unknown, it first
// queries the endpoint.
func (o *nonRepeatableCall) finish(ctx context.Context, g broker.Grant, result dial.Result, e *dial.Error) (Answer, *core.Problem) {
	r := o.runner
	a := ledger.Answer{Outcome: core.Completed, Status: http.StatusOK, Endpoint: g.Endpoint.ID, Body: result.Output}
	if e != nil {
		a = ledger.Answer{Outcome: e.Outcome, Reason: e.Reason, Status: http.StatusBadGateway, Endpoint: g.Endpoint.ID}
		r.FinishFailed(ctx, o.request.ID, o.key.Organisation, g, o.work, tries.Sent{}, e)
	} else {
		r.FinishSucceeded(g, o.work)
	}
	if a.Outcome == core.Unknown {
		if body, ran := r.fetchOutput(ctx, g.Endpoint.Target(), o.endpointIdempotencyKey()); ran {
			a = ledger.Answer{Outcome: core.Completed, Status: http.StatusOK, Endpoint: g.Endpoint.ID, Body: body}
		}
	}
	o.recordAnswer(ctx, a)
	return answerOf(a)
}

// recordAnswer commits the answer to the ledger. If that takes too long, the recorder commits it in the background.
func (o *nonRepeatableCall) recordAnswer(ctx context.Context, a ledger.Answer) {
	c := state.Command{Finish: &state.Finish{Key: o.key, Holder: o.holder, Answer: a}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if _, err := o.runner.Control.Propose(ctx, c); err != nil {
		o.runner.Record(c)
	}
}

// release frees the reservation so that the key can be used again. It may only be called if no endpoint ran the call.
func (o *nonRepeatableCall) release() {
	o.runner.Record(state.Command{Release: &state.Release{Key: o.key, Holder: o.holder}})
}

// awaitReservationHolder waits for the answer of the request that holds the reservation. If the reservation was
// released in the meantime, it runs the call itself.
func (o *nonRepeatableCall) awaitReservationHolder(ctx context.Context) (Answer, *core.Problem) {
	for {
		tries.Sleep(ctx, pendingPollInterval)
		answer, err := o.runner.Control.Query(ctx, io.Query{Call: &o.key})
		if err == nil && answer.Call == nil {
			return o.run(ctx)
		}
		if err == nil && answer.Call.Phase != ledger.Reserved {
			return o.recordedAnswer(ctx, *answer.Call)
		}
		if ctx.Err() != nil {
			return Answer{}, core.NewProblem(http.StatusConflict, core.Unknown, core.ReasonDeadlineExceeded,
				"the first attempt of this call has not ended yet").WithRetryAfter(core.Second)
		}
	}
}

// recordedAnswer returns the answer recorded in the ledger. If its outcome is unknown, it first queries the endpoints
// that may have run the call.
func (o *nonRepeatableCall) recordedAnswer(ctx context.Context, e ledger.Entry) (Answer, *core.Problem) {
	if e.Answer.Outcome != core.Unknown {
		return answerOf(e.Answer)
	}
	for _, endpoint := range o.runner.Broker.Endpoints() {
		if !endpoint.Serves(o.service.Pool()) {
			continue
		}
		body, ran := o.runner.fetchOutput(ctx, endpoint.Target(), o.endpointIdempotencyKey())
		if !ran {
			continue
		}
		a := ledger.Answer{Outcome: core.Completed, Status: http.StatusOK, Endpoint: endpoint.ID, Body: body}
		o.runner.Record(state.Command{Resolve: &state.Resolve{Key: o.key, Answer: a}})
		return answerOf(a)
	}
	return answerOf(e.Answer)
}

// answerOf converts an answer of the ledger into an answer or a problem for the caller.
func answerOf(a ledger.Answer) (Answer, *core.Problem) {
	switch a.Outcome {
	case core.Completed:
		return Answer{Output: a.Body}, nil
	case core.Failed:
		return Answer{}, core.NewProblem(http.StatusBadGateway, core.Failed, a.Reason, "the call ran and failed")
	}
	return Answer{}, core.NewProblem(http.StatusInternalServerError, core.Unknown, a.Reason,
		"the call may have run; it will not be run again")
}

// fetchOutput asks an endpoint for the output of a call by its idempotency key. It returns false if the endpoint did
// not run the call or did not answer, so false does not prove that the call did not run.
func (r *Runner) fetchOutput(ctx context.Context, on core.Target, key string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	return r.Dial.FetchOutput(ctx, on, key)
}
