package broker

import (
	"context"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/pool"
	"cyclamenford/core/tree"
	"cyclamenford/io/loop"
)

// maxAdmitWait is the longest wait for a team's rate limit. It takes about as long as a few round trips, so waiting
// costs a caller less than a refusal and a retry.
const maxAdmitWait = 50 * core.Millis(1)

// Grant is the permission to run one attempt at an endpoint. It must be returned with Finish.
type Grant struct {
	Endpoint  core.Announcement
	Action    pool.Action
	attempt   desk.Attempt
	startedAt core.Millis
}

// Alone reports whether the attempt is a trial: the request is suspected of crashing endpoints and runs at its endpoint
// without other requests of this host.
func (g Grant) Alone() bool {
	return g.attempt.Alone
}

// Acquire waits until the scheduler grants an endpoint. It returns a problem with outcome NotRun if the request is
// refused or ctx ends.
func (b *Broker) Acquire(ctx context.Context, a desk.Attempt) (Grant, *core.Problem) {
	for {
		id, answer := b.enqueue(a)
		select {
		case action := <-answer:
			if !action.Dispatched() {
				return Grant{}, b.recordRefusal(a, action)
			}
			if g, ok := b.newGrant(a, action); ok {
				return g, nil
			}
			// The endpoint has left since the decision. If its lease has expired, the next tick removes it from its pool.
			loop.Sleep(ctx, tickInterval)
		case <-ctx.Done():
			b.cancelWait(a, id)
			return Grant{}, core.NewProblem(http.StatusGatewayTimeout, core.NotRun, core.ReasonCallerGone,
				"the request ended while it waited for an endpoint")
		}
	}
}

// enqueue submits an attempt to the scheduler. It returns the ticket number and the channel that receives the decision.
func (b *Broker) enqueue(a desk.Attempt) (uint64, chan pool.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answer := make(chan pool.Action, 1)
	id, actions := b.scheduler.Submit(b.clock.Now(), a)
	b.waiting[id] = answer
	b.deliver(actions)
	return id, answer
}

// recordRefusal logs and counts a refused attempt and returns the problem for the caller.
func (b *Broker) recordRefusal(a desk.Attempt, action pool.Action) *core.Problem {
	b.recordDecision(a, action)
	b.log.Info("refused", "request", a.Request, "pool", a.Pool().String(), "reason", action.Reason, "retry_after_ms", action.RetryAfter)
	b.meter.Count("refused_total", 1, "reason", string(action.Reason), "priority", a.Priority.String())
	return refusalProblem(a.Pool(), action)
}

// newGrant returns the grant for a dispatched ticket. It returns false if the endpoint's lease has expired in the
// meantime.
func (b *Broker) newGrant(a desk.Attempt, action pool.Action) (Grant, bool) {
	endpoint, alive := b.recordDecision(a, action)
	g := Grant{Endpoint: endpoint, Action: action, attempt: a, startedAt: b.clock.Now()}
	if !alive {
		b.log.Info("endpoint not used", "request", a.Request, "endpoint", action.Endpoint)
		b.Finish(g, pool.Inconclusive)
		return Grant{}, false
	}
	b.log.Info("granted", "request", a.Request, "endpoint", endpoint.ID, "incarnation", endpoint.Incarnation, "announcement", endpoint.Seq,
		"order", action.OrderRule, "route", action.RouteRule, "waited_ms", action.Waited, "alone", a.Alone)
	b.meter.Observe("queue_wait_ms", int64(action.Waited), "priority", a.Priority.String())
	b.meter.Count("dispatched_total", 1, "order", string(action.OrderRule), "route", string(action.RouteRule))
	return g, true
}

// recordDecision stores the decision for Explain and returns the chosen endpoint, or false if its lease has expired.
func (b *Broker) recordDecision(a desk.Attempt, action pool.Action) (core.Announcement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.RecordDecision(b.clock.Unix(), a, action)
	return b.scheduler.Endpoint(b.clock.Now(), action.Endpoint)
}

// refusalProblem converts a refusal of the scheduler into a problem for the caller.
func refusalProblem(id core.PoolID, action pool.Action) *core.Problem {
	status := http.StatusServiceUnavailable
	if action.Reason == core.ReasonQueueFull {
		status = http.StatusTooManyRequests
	}
	return core.NewProblem(status, core.NotRun, action.Reason,
		"the request was not started: %s", id).WithRetryAfter(action.RetryAfter)
}

// Finish releases a grant and reports the result of its attempt to the scheduler.
func (b *Broker) Finish(g Grant, v pool.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.meter.Count("stage_cost_ms", int64(now-g.startedAt), "stage", g.attempt.Stages[0].Name)
	b.deliver(b.scheduler.Finish(now, g.attempt, g.Action.Ticket, g.startedAt, v))
}

// cancelWait removes a waiting attempt from the queue.
func (b *Broker) cancelWait(a desk.Attempt, ticket uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, ticket)
	b.deliver(b.scheduler.Cancel(b.clock.Now(), a.Pool(), ticket))
}

// Admit counts a request as demand of its team and checks it against the team's limits. If the limit allows it after at
// most maxAdmitWait, Admit waits; otherwise it returns a problem. An admitted request must be returned with Release.
func (b *Broker) Admit(ctx context.Context, team core.TeamID, limits tree.Limits, tokens float64) *core.Problem {
	b.countDemand(team)
	after, ok := b.tryAdmit(team, limits, tokens)
	if !ok && after <= maxAdmitWait {
		loop.Sleep(ctx, after.Duration())
		after, ok = b.tryAdmit(team, limits, tokens)
	}
	if ok {
		return nil
	}
	return core.NewProblem(http.StatusTooManyRequests, core.NotRun, core.ReasonLimitExceeded,
		"team %s is at its limit", team).WithRetryAfter(after)
}

func (b *Broker) countDemand(team core.TeamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.CountDemand(b.clock.Now(), team)
}

func (b *Broker) tryAdmit(team core.TeamID, limits tree.Limits, tokens float64) (core.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.Admit(b.clock.Now(), team, limits, tokens)
}

// Release ends an admitted request for the team's limits and counts extraTokens against its token limit.
func (b *Broker) Release(team core.TeamID, extraTokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.Release(team, extraTokens)
}

// TakeRetry takes one retry from the retry budget and reports whether one was left.
func (b *Broker) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.scheduler.TakeRetry()
	if ok {
		b.meter.Count("retries_total", 1)
	} else {
		b.meter.Count("retries_denied_total", 1)
	}
	return ok
}
