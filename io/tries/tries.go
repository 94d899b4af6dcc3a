package tries

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/poison"
	"cyclamenford/core/pool"
	"cyclamenford/core/retry"
	"cyclamenford/io"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
	"cyclamenford/io/guard"
	"cyclamenford/io/meter"
	"cyclamenford/io/permit"
	"cyclamenford/io/record"
)

// suspectAfter is the number of crashes after which a request runs only in trials. It is low because endpoints are
// few, while a trial costs an innocent request only one slower run.
const suspectAfter = 1

// Attempts provides what every attempt at an endpoint needs: grants, trials of suspected requests and the recording of
// outcomes.
type Attempts struct {
	Control io.Control
	Broker  *broker.Broker
	Dial    *dial.Client
	Permits *permit.Client
	Meter   *meter.Meter
	Log     *slog.Logger
	clock   core.Clock
	*guard.Guard
	*record.Recorder
}

// New returns the shared steps of all attempts of a host. Their guard probes endpoints with client.
func New(control io.Control, b *broker.Broker, client *dial.Client, permits *permit.Client, clock core.Clock, m *meter.Meter, log *slog.Logger) *Attempts {
	recorder := record.New(control, log)
	g := guard.New(guard.Options{CrashThreshold: suspectAfter, QuarantineStatus: http.StatusUnprocessableEntity}, control, newProbe(client), recorder, clock, m, log)
	return &Attempts{Control: control, Broker: b, Dial: client, Permits: permits, Meter: m, Log: log, clock: clock, Guard: g, Recorder: recorder}
}

// Sleep blocks for the given time or until ctx ends.
func Sleep(ctx context.Context, after core.Millis) {
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

// Acquire waits until a request is granted an endpoint. For a suspected request it also begins a trial at that
// endpoint. A request in quarantine is refused, even if it was quarantined while it waited.
func (r *Attempts) Acquire(ctx context.Context, a desk.Attempt, work poison.Identity) (broker.Grant, *core.Problem) {
	for {
		if problem := r.CheckQuarantine(work); problem != nil {
			return broker.Grant{}, problem
		}
		a.Alone = r.Standing(work) == poison.Suspected
		g, problem := r.Broker.Acquire(ctx, a)
		if problem != nil {
			return g, problem
		}
		trial, problem := r.Admit(ctx, a.Request, work, g.Endpoint.ID, 0)
		usable := r.Broker.Usable(g)
		sendable := problem == nil && usable && (a.Alone || !trial)
		if sendable && r.takePermit(ctx, a, g) && r.Broker.Usable(g) {
			return g, nil
		}
		if trial {
			// The request became suspected while it waited, so its endpoint may be running other requests of this
			// host, or the endpoint has since reported that it leaves or pauses, or its limit allows no request now.
			r.EndTrial(work, g.Endpoint.ID, false)
		}
		r.Broker.Finish(g, pool.Inconclusive)
		if problem != nil && (problem.Reason == core.ReasonQuarantined || ctx.Err() != nil) {
			return broker.Grant{}, problem
		}
		if usable && !sendable {
			Sleep(ctx, r.Broker.Backoff(retry.MaxAttempts))
		}
	}
}

// takePermit reports whether an attempt may be sent to its endpoint: the endpoint names no limit, or the attempt has a permit.
// Without a permit, the endpoint is not granted again before one is expected to be free.
func (r *Attempts) takePermit(ctx context.Context, a desk.Attempt, g broker.Grant) bool {
	life := g.Endpoint.Life()
	if !r.Broker.NeedsPermit(life) {
		return true
	}
	permitted, hold := r.Permits.Ask(ctx, life, a.Request, int(a.Priority), 0)
	r.Broker.PermitAnswered(life, hold)
	if !permitted {
		r.Meter.Count("sent_elsewhere_total", 1, "why", "limit")
	}
	return permitted
}

// FinishSucceeded returns the grant of a successful attempt and ends its trial, if any, as passed.
func (r *Attempts) FinishSucceeded(g broker.Grant, work poison.Identity) {
	r.Broker.Finish(g, pool.Succeeded)
	r.Begun(work)
	if g.Alone() {
		r.EndTrial(work, g.Endpoint.ID, true)
	}
}

// Sent is what an attempt's host has observed of it: when it was sent, and whether a part of its answer had arrived.
type Sent struct {
	At    core.Millis
	Began bool
}

// FinishFailed returns the grant of a failed attempt and ends its trial, if any. If the connection broke, it reports a
// possible crash against the request. It returns the request's standing after a broken connection, and Clear
// otherwise.
func (r *Attempts) FinishFailed(ctx context.Context, id core.RequestID, org core.OrganisationID, g broker.Grant, work poison.Identity, sent Sent, e *dial.Error) poison.Standing {
	r.Broker.Finish(g, ResultOf(ctx, e))
	if e.ConnectionLost && ctx.Err() == nil {
		return r.ReportAndWait(ctx, g.Endpoint.Target(), poison.Suspect{
			Request: id, Organisation: org, Content: work.Content, Parts: work.Parts, Alone: g.Alone(), Began: sent.Began, Age: r.clock.Now() - sent.At,
		})
	}
	if g.Alone() {
		r.EndTrial(work, g.Endpoint.ID, false)
	}
	return poison.Clear
}

// FinishInconclusive returns the grant of an attempt that shows nothing about the request, with the given verdict.
// It ends the attempt's trial, if any, without clearing the request.
func (r *Attempts) FinishInconclusive(g broker.Grant, work poison.Identity, v pool.Result) {
	r.Broker.Finish(g, v)
	if g.Alone() {
		r.EndTrial(work, g.Endpoint.ID, false)
	}
}

// ResultOf returns what a failed attempt shows about its endpoint.
func ResultOf(ctx context.Context, e *dial.Error) pool.Result {
	if ctx.Err() != nil || e.Outcome == core.NotRun && e.Refused {
		return pool.Inconclusive
	}
	if e.Outcome == core.NotRun {
		return pool.Unreachable
	}
	return pool.Failed
}

// ProblemOf returns the problem that is reported to the client when an attempt's error ends the request.
func ProblemOf(e *dial.Error) *core.Problem {
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
