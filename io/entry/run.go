package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/drain"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
	"cyclamenford/core/reply"
	relay "cyclamenford/io"
	"cyclamenford/io/listen"
	"cyclamenford/io/pipe"
)

const (
	// nonRepeatableMaxIdle is how long a reused connection may have been idle if it carries a request that must not be
	// repeated: if the endpoint closed the connection at that moment, the outcome would be unknown.
	nonRepeatableMaxIdle = core.Second
	// bufferedAnswerBytes limits what is read of an answer before it is forwarded. An answer that breaks off within it can
	// be replaced by that of another attempt. The buffers of many requests at once must fit into the memory of a small
	// host.
	bufferedAnswerBytes = 64 << 10
	// maxAnswerBytes limits the part of an answer beyond the buffered one.
	maxAnswerBytes = 16 << 20
)

// answer is an endpoint's answer. Its body may be only the buffered beginning of a long one.
type answer struct {
	from   core.EndpointID
	status int
	header http.Header
	body   []byte
}

// run sends the request to endpoints, one after another, until one has answered or no further attempt is allowed.
func (r *request) run(ctx context.Context, w http.ResponseWriter) {
	e := r.entry
	placing, stopPlacing := r.untilLastStart(ctx)
	defer stopPlacing()
	grant, problem := r.place(placing)
	r.sending.grantedAt = e.clock.Now()
	out := newAnswerWriter(w, e.clock, r.incoming.LastEvent)
	out.buffer = r.buffer
	for {
		if r.clientGone() {
			if grant != nil {
				r.endUnsent(grant, order.Abandoned, clientGone, gone)
			}
			r.finish(out, order.Abandoned, nil)
			return
		}
		trial := false
		// The wait for an endpoint may have been canceled for this reason.
		if stopped := r.checkShutdown(); stopped != nil {
			problem = stopped
		}
		if problem == nil && ctx.Err() != nil {
			problem = r.failureProblem(order.Unreachable)
		}
		if problem == nil {
			problem = r.recheck()
		}
		if problem == nil {
			problem = r.checkVersion(grant)
		}
		if problem == nil && r.isUnusable(grant) {
			r.endUnsent(grant, order.NotSent, endpointUnusable, again)
			grant, problem = r.placeAgain(placing, grant, order.NotSent)
			continue
		}
		if problem == nil {
			trial, problem = r.admit(placing, grant)
		}
		if problem == nil {
			var permitted bool
			why := notPermitted
			if permitted, problem = r.takePermit(placing, grant, trial); permitted {
				why = endpointUnusable
				permitted, problem = r.recheckWaited(ctx, grant)
			}
			if !permitted {
				r.reportOutcome(ctx, grant, order.NotSent, trial)
			}
			if !permitted && problem == nil {
				r.endUnsent(grant, order.NotSent, why, again)
				grant, problem = r.placeAgain(placing, grant, order.NotSent)
				continue
			}
		}
		if problem != nil {
			why := problem.Reason
			if r.mayHaveRun != "" {
				problem = r.failureProblem(r.mayHaveRun)
			}
			if grant != nil {
				r.endUnsent(grant, order.Abandoned, why, r.nextOf(out, problem))
			}
			r.finish(out, order.Abandoned, problem)
			return
		}
		r.beginAttempt(out)
		began := e.clock.Now()
		ending, done := r.attempt(ctx, grant, out)
		took := e.clock.Now() - began
		r.record.took = took
		r.recordAttempt(grant, ending, took)
		if ending == order.Served && r.bodyBeganAt > 0 {
			e.shutdown.addLength(r.route.Name, drain.Sample{Size: r.size(), First: r.bodyBeganAt - began, Total: took})
		}
		e.meter.Count("attempts_total", 1, "how", string(ending))
		standing := r.reportOutcome(ctx, grant, ending, trial)
		if ending == order.NotSent {
			// The permit expired while the connection was opened, so this does not count as an attempt.
			r.attempts--
		}
		if !notRun(ending) {
			r.mayHaveRun = ending
			placing = ctx
		}
		if done {
			r.logAttempt(grant, out, ending, r.nextOf(out, nil))
			r.finish(out, ending, nil)
			return
		}
		if !r.mayRetry(ending) || standing == poison.Convicted {
			problem = r.failureProblem(ending)
			r.logAttempt(grant, out, ending, r.nextOf(out, problem))
			r.finish(out, ending, problem)
			return
		}
		r.logAttempt(grant, out, ending, again)
		grant, problem = r.placeAgain(placing, grant, ending)
	}
}

// failureProblem returns the problem for the client after the last attempt had the given ending. If the request may have
// run in an earlier attempt, the ending of that attempt decides.
func (r *request) failureProblem(ending order.AttemptOutcome) *core.Problem {
	if r.mayHaveRun != "" {
		ending = r.mayHaveRun
	}
	switch ending {
	case order.Rejected, order.Unreachable, order.GoneInput, order.OtherEndpoint, order.NotSent:
		return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonEndpointRefused,
			"no endpoint took the request").WithRetryAfter(r.notRunRetryAfter())
	case order.Late:
		reason := core.ReasonDeadlineExceeded
		if r.end() < r.deadline {
			reason = core.ReasonHostStopping
		}
		return core.NewProblem(http.StatusGatewayTimeout, core.Unknown, reason, "no answer in time")
	case order.Garbled:
		return core.NewProblem(http.StatusBadGateway, core.Unknown, core.ReasonBadAnswer, "the endpoint sent bytes that are no answer")
	}
	return core.NewProblem(http.StatusBadGateway, core.Unknown, core.ReasonConnectionLost, "the endpoint broke off")
}

// finish answers the client with a problem unless an answer has been started, reports the end of the request to the scheduler, and logs
// it once the client has read what is held for it: the endpoint is free before. It aborts the client's connection if there is no whole answer.
func (r *request) finish(out *answerWriter, ending order.AttemptOutcome, p *core.Problem) {
	e := r.entry
	r.reportEnded(ending)
	if !out.started && r.isErrorAnswerDue(p) {
		out.writeBuffered(r.errorAnswer)
		p = nil
	}
	drained, drainErr := r.drainBuffer(out)
	if drainErr != nil && ending == order.Served {
		ending = order.Abandoned
	}
	status, reason := out.status, core.Reason("")
	if p != nil {
		status, reason = p.Status, p.Reason
	}
	attrs := []any{
		"request", r.incoming.ID, "route", r.route.Name, "organisation", r.organisation.Name, "content", r.content.String(),
		"status", status, "how", ending, "reason", reason, "attempts", r.attempts, "answered_by", out.answeredBy, "events", out.events, "resumes", r.incoming.Resumes, "last_event", r.incoming.LastEvent,
		"took_ms", e.clock.Now() - r.arrived, "first_ms", out.headerDelay(r.arrived), "stopping_ms", e.shutdown.elapsed(), "connection_ended_by", listen.EndedBy(r.httpRequest.Context()), "config", e.table.Load().Config().Version,
	}
	if drained > 0 {
		attrs = append(attrs, "drain_ms", drained)
	}
	if drainErr != nil {
		attrs = append(attrs, "drain_err", drainErr)
	}
	e.log.Info("request ended", attrs...)
	e.meter.Count("requests_total", 1, "status", statusClass(status), "reason", string(reason))
	e.meter.Observe("request_ms", int64(e.clock.Now()-r.arrived))
	switch {
	case p != nil && !out.started:
		e.refuse(out.w, r.incoming.ID, p)
	case !out.finished:
		// Only a closed connection shows the client that the answer is missing or incomplete: the HTTP server completes it with status 200.
		panic(http.ErrAbortHandler)
	}
}

// refuse answers a request with a problem of the relay itself and logs it.
func (e *Entry) refuse(w http.ResponseWriter, id core.RequestID, p *core.Problem) {
	e.log.Info("request refused", "request", id, "status", p.Status, "outcome", p.Outcome, "reason", p.Reason,
		"detail", p.Detail, "retry_after_ms", p.RetryAfter, "config", e.serving.applied.Load(),
		"confirmed_ms", e.clock.Now()-e.control.ConfirmedAt())
	e.dialect.SetProblemHeader(w.Header(), id, p)
	w.WriteHeader(p.Status)
}

// attempt sends the request to one endpoint. It returns how the attempt ended and whether the client has its answer.
func (r *request) attempt(ctx context.Context, g *order.Grant, out *answerWriter) (order.AttemptOutcome, bool) {
	e := r.entry
	r.bodyBeganAt, r.attemptBegan = 0, e.clock.Now()
	urgency := -1
	if r.generatesTokens {
		urgency = r.urgency()
	}
	header := e.dialect.RequestHeader(r.httpRequest.Header, relay.EndpointRequest{
		Endpoint: g.Endpoint, Organisation: r.organisation.Name, Left: r.end() - e.clock.Now(),
		Urgency: urgency, Inputs: g.Inputs, LastEvent: out.lastEvent,
	})
	endpointRequest := pipe.Request{
		Address: g.Address, Method: r.httpRequest.Method, Target: r.httpRequest.RequestURI, Host: r.httpRequest.Host, Header: header, Body: r.body,
		Name: string(r.incoming.ID),
		IsAnswer: func(resp *http.Response) bool {
			verdict := e.dialect.ParseResponse(resp.StatusCode, resp.Header)
			// Unless it is a refusal, an unnamed answer ends its connection, so that it is no earlier one.
			return verdict.ID == r.incoming.ID || verdict.IsUnnamed()
		},
		NamesNone: func(resp *http.Response) bool {
			verdict := e.dialect.ParseResponse(resp.StatusCode, resp.Header)
			return verdict.ID == "" && !verdict.IsUnnamed()
		},
	}
	if r.due() == reply.Body {
		endpointRequest.NameOf = func(resp *http.Response) string {
			return string(e.dialect.ParseResponse(resp.StatusCode, resp.Header).ID)
		}
	}
	if !r.repeatable() {
		endpointRequest.MaxIdle = nonRepeatableMaxIdle
	}
	endpointRequest.SendBy = r.sending.sendLimit()
	sentAt := e.clock.Now()
	r.logLimited(g)
	unwritten := e.buffers.Fixed()
	defer unwritten.Set(0)
	unwritten.Set(len(r.body))
	resp, err := e.pipe.Do(ctx, endpointRequest)
	if err == nil && resp.Written {
		unwritten.Set(0)
	}
	if err != nil {
		e.log.Info("endpoint failed", append(r.grantAttrs(g, r.attempts), "request_bytes", len(r.body), "err", err)...)
		return r.classifyError(ctx, err), false
	}
	defer resp.Close()
	r.record.resp = resp
	verdict := e.dialect.ParseResponse(resp.Status, resp.Header)
	if err := r.checkAnswer(verdict, resp); err != nil {
		return r.recordGarbage(g, resp, out, nil, err), false
	}
	r.recordNotice(g, verdict)
	r.recordRefusal(g, verdict)
	r.recordLimit(g, verdict.Limit, sentAt)
	r.recordLoad(g, verdict.Load)
	switch {
	case verdict.OtherEndpoint:
		return order.OtherEndpoint, false
	case verdict.NotRun && verdict.InputGone:
		return order.GoneInput, false
	case verdict.NotRun:
		return order.Rejected, false
	case !verdict.FromRunner:
		return order.Broken, false
	}
	r.reportBegan(g)
	if r.due() == reply.Events && resp.Status == http.StatusOK {
		ending := r.stream(ctx, g, resp, out)
		return ending, ending == order.Served
	}
	return r.forward(ctx, g, resp, out)
}

// due returns the kind of the answer that the request is due if it succeeds.
func (r *request) due() reply.Kind {
	switch {
	case r.httpRequest.Method == http.MethodHead:
		return reply.None
	case r.route.Class == conf.Stream:
		return reply.Events
	}
	return reply.Body
}

var (
	// errUnnamed means that an answer which is no refusal does not name its request.
	errUnnamed = errors.New("the answer names no request, or several, or has several signatures")
	// errUnproven means that the status of an answer would tell the client that its request has not run, which the answer does not prove.
	errUnproven = errors.New("the answer does not prove that the request has not run")
)

// notRunStatuses are the statuses that promise clients that their request has not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkAnswer returns an error if an answer is neither a proof that the request has not run nor the endpoint's answer to it, of the kind
// that is due.
func (r *request) checkAnswer(verdict relay.EndpointResponse, resp *pipe.Response) error {
	switch {
	case verdict.NotRun:
		return nil
	case verdict.IsUnnamed():
		return errUnnamed
	case !r.repeatable() && slices.Contains(notRunStatuses, resp.Status):
		return errUnproven
	}
	return r.due().Check(resp.Head())
}

// forward reads an answer completely before it forwards any of it to the client, unless the answer is longer than
// bufferedAnswerBytes. It holds back an error answer of the endpoint if another attempt may follow.
func (r *request) forward(ctx context.Context, g *order.Grant, resp *pipe.Response, out *answerWriter) (order.AttemptOutcome, bool) {
	held := r.entry.buffers.Fixed()
	defer held.Set(0)
	read := 0
	resp.OnRead = func(n int) {
		read += n
		held.Set(read)
	}
	body, whole, err := resp.ReadUpTo(bufferedAnswerBytes)
	resp.OnRead = nil
	if errors.Is(err, pipe.ErrJoinedAnswers) {
		return r.recordGarbage(g, resp, out, nil, err), false
	}
	if err != nil {
		return r.breakOff(ctx, err), false
	}
	if resp.Status == http.StatusOK {
		r.markBegun()
	}
	if out.started {
		return order.Erred, false
	}
	a := &answer{from: g.Endpoint, status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError && r.mayRetry(order.Erred) {
		if whole {
			r.errorAnswer = a
		}
		return order.Erred, false
	}
	if whole {
		out.writeBuffered(a)
	} else if err := out.writeLong(a, resp); errors.Is(err, pipe.ErrJoinedAnswers) {
		return r.recordGarbage(g, resp, out, nil, err), false
	} else if err != nil {
		return r.breakOff(ctx, err), false
	}
	if resp.Status >= http.StatusInternalServerError {
		return order.Erred, true
	}
	return order.Served, true
}

// breakOff records the error at which the answer of the present attempt ended, and returns the ending of the attempt.
func (r *request) breakOff(ctx context.Context, err error) order.AttemptOutcome {
	r.record.err = err
	return r.classifyError(ctx, err)
}

// classifyError returns the ending of an attempt that failed with an error.
func (r *request) classifyError(ctx context.Context, err error) order.AttemptOutcome {
	switch {
	case errors.Is(err, pipe.ErrSentTooLate):
		return order.NotSent
	case pipe.NotSent(err):
		return order.Unreachable
	case r.clientGone():
		return order.Abandoned
	case ctx.Err() != nil:
		return order.Late
	}
	return order.Broken
}

// lowestUrgency is the last rank that engines accept; 0 is the most urgent.
const lowestUrgency = 9

// urgency returns the request's rank at an engine, from the priority of its organisation or else of its route.
func (r *request) urgency() int {
	return min(lowestUrgency, max(0, r.priority()))
}

// statusClass returns the class of an HTTP status, such as "5xx".
func statusClass(status int) string {
	return string(rune('0'+status/100)) + "xx"
}
