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
	"cyclamenford/io/meter"
)

// Tries is what every attempt at an endpoint needs: a grant, a trial for a suspect, and the recording of outcomes.
type Tries struct {
	Control io.Control
	Broker  *broker.Broker
	Dial    *dial.Client
	Meter   *meter.Meter
	Log     *slog.Logger
	*recorder
}

// New returns the common part of all attempts of a host.
func New(control io.Control, b *broker.Broker, client *dial.Client, m *meter.Meter, log *slog.Logger) *Tries {
	return &Tries{Control: control, Broker: b, Dial: client, Meter: m, Log: log, recorder: newRecorder(control, log)}
}

// Wait returns after the given time, or when ctx ends.
func Wait(ctx context.Context, after core.Millis) {
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

// Grant waits for an endpoint; a suspected request also waits for its trial there.
func (r *Tries) Grant(ctx context.Context, a desk.Ask, content poison.Content) (broker.Grant, *core.Problem) {
	for {
		g, problem := r.Broker.Acquire(ctx, a)
		if problem != nil || !a.Alone {
			return g, problem
		}
		if r.beginTrial(ctx, content, g.Endpoint.ID) {
			return g, nil
		}
		r.Broker.Finish(g, pool.Withdrawn)
		Wait(ctx, r.Broker.Backoff(retry.MaxAttempts))
		if r.Standing(content) == poison.Convicted || ctx.Err() != nil {
			return broker.Grant{}, Quarantined(core.NotRun)
		}
	}
}

// Settle ends an attempt that went well.
func (r *Tries) Settle(g broker.Grant, content poison.Content, alone bool) {
	r.Broker.Finish(g, pool.Succeeded)
	if alone {
		r.EndTrial(content, g.Endpoint.ID, true)
	}
}

// GiveUp ends an attempt that went wrong and says nothing more of the request.
func (r *Tries) GiveUp(g broker.Grant, content poison.Content, v pool.Verdict) {
	r.Broker.Finish(g, v)
	if g.Alone() {
		r.EndTrial(content, g.Endpoint.ID, false)
	}
}

func VerdictOf(ctx context.Context, e *dial.Error) pool.Verdict {
	if ctx.Err() != nil || e.Outcome == core.NotRun && e.Refused {
		return pool.Withdrawn
	}
	if e.Outcome == core.NotRun {
		return pool.Unreachable
	}
	return pool.Faulted
}

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

func Quarantined(outcome core.Outcome) *core.Problem {
	return core.NewProblem(http.StatusUnprocessableEntity, outcome, core.ReasonQuarantined,
		"this request has crashed the endpoints that ran it; an operator can release it")
}
