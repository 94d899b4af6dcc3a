package desk

import (
	"context"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/plan"
	"cyclamenford/core/pool"
	"cyclamenford/core/retry"
	"cyclamenford/core/tree"
)

// defaultCost is the expected time at an endpoint, in milliseconds, before anything was observed.
const defaultCost = 100.0

// Ask describes an attempt that needs an endpoint.
type Ask struct {
	Request      core.RequestID
	Organisation core.OrganisationID
	Weight       float64
	Priority     core.Priority
	// Stages are the present stage and those that follow it.
	Stages     []plan.Key
	DeadlineAt core.Millis
	Prefix     uint64
	Avoid      []core.EndpointID
	Alone      bool
}

// Grant is the right to run one attempt at an endpoint; it must be returned by Finish.
type Grant struct {
	Endpoint core.Announcement
	Action   pool.Action
	ask      Ask
	began    core.Millis
	cost     float64
}

// Acquire waits for an endpoint, or returns a problem with outcome NotRun.
func (d *Desk) Acquire(ctx context.Context, a Ask) (Grant, *core.Problem) {
	id, answer, cost := d.arrive(a)
	select {
	case action := <-answer:
		return d.granted(a, action, cost)
	case <-ctx.Done():
		d.cancelTicket(a.Stages[0].Pool, id)
		return Grant{}, core.NewProblem(http.StatusGatewayTimeout, core.NotRun, core.ReasonCallerGone,
			"the request ended while it waited for an endpoint")
	}
}

func (d *Desk) arrive(a Ask) (uint64, chan pool.Action, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.nextID++
	answer := make(chan pool.Action, 1)
	d.waiting[d.nextID] = answer
	cost := float64(d.estimate.Median(a.Stages[0]))
	if cost == 0 {
		cost = defaultCost
	}
	t := pool.Ticket{
		ID: d.nextID, Organisation: a.Organisation, Weight: a.Weight, Priority: a.Priority, Cost: cost,
		StartBy: d.estimate.StartBy(a.DeadlineAt, a.Stages), Prefix: a.Prefix, Avoid: a.Avoid, Alone: a.Alone,
	}
	d.deliver(d.pool(a.Stages[0].Pool).Arrive(now, t))
	return d.nextID, answer, cost
}

func (d *Desk) granted(a Ask, action pool.Action, cost float64) (Grant, *core.Problem) {
	d.remember(a, action)
	if !action.Dispatched() {
		d.meter.Count("refused_total", 1, "reason", string(action.Reason), "priority", a.Priority.String())
		return Grant{}, refusal(a.Stages[0].Pool, action)
	}
	endpoint, alive := d.Endpoint(action.Endpoint)
	g := Grant{Endpoint: endpoint, Action: action, ask: a, began: d.clock.Now(), cost: cost}
	if !alive {
		d.Finish(g, pool.Withdrawn)
		return Grant{}, core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoEndpoint,
			"the endpoint has left").WithRetryAfter(core.Second)
	}
	d.meter.Observe("queue_wait_ms", int64(action.Waited), "priority", a.Priority.String())
	d.meter.Count("dispatched_total", 1, "order", string(action.Order), "route", string(action.Route))
	return g, nil
}

func (d *Desk) remember(a Ask, action pool.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.diary.add(Decision{
		Request: a.Request, Stage: a.Stages[0].Name, Endpoint: action.Endpoint,
		Order: string(action.Order), Route: string(action.Route), Reason: action.Reason,
		WaitedMs: action.Waited, AtUnixMs: d.clock.Unix(),
	})
}

func refusal(id core.PoolID, action pool.Action) *core.Problem {
	status := http.StatusServiceUnavailable
	if action.Reason == core.ReasonQueueFull {
		status = http.StatusTooManyRequests
	}
	return core.NewProblem(status, core.NotRun, action.Reason,
		"the request was not started: %s", id).WithRetryAfter(action.RetryAfter)
}

// Finish returns a grant and tells how its attempt ended.
func (d *Desk) Finish(g Grant, v pool.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	took := now - g.began
	stage := g.ask.Stages[0]
	if v == pool.Succeeded {
		d.estimate.Observe(now, stage, took)
	}
	d.ledger.serve(stage.Pool, g.ask, max(float64(took), 1))
	d.meter.Count("stage_cost_ms", int64(took), "stage", stage.Name)
	d.deliver(d.pool(stage.Pool).Finish(now, g.Action.Ticket, v))
}

func (d *Desk) cancelTicket(id core.PoolID, ticket uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, ticket)
	d.deliver(d.pool(id).Cancel(d.clock.Now(), ticket))
}

// deliver hands each action to the request that waits for it.
func (d *Desk) deliver(actions []pool.Action) {
	for _, a := range actions {
		answer, ok := d.waiting[a.Ticket]
		if !ok {
			continue
		}
		delete(d.waiting, a.Ticket)
		answer <- a
	}
}

// Admit asks for a place within the team's limits.
func (d *Desk) Admit(team core.TeamID, limits tree.Limits, tokens float64) *core.Problem {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.First()
	after, ok := d.limiter.Admit(d.clock.Now(), team, limits, tokens)
	if ok {
		return nil
	}
	return core.NewProblem(http.StatusTooManyRequests, core.NotRun, core.ReasonLimitExceeded,
		"team %s is at its limit", team).WithRetryAfter(after)
}

// Release returns a place within the team's limits.
func (d *Desk) Release(team core.TeamID, extraTokens float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Release(team, extraTokens)
}

// MayRetry spends one retry of the budget if one is left.
func (d *Desk) MayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.budget.Spend()
	if ok {
		d.meter.Count("retries_total", 1)
	} else {
		d.meter.Count("retries_denied_total", 1)
	}
	return ok
}

// Backoff returns the wait before an attempt.
func (d *Desk) Backoff(attempt int) core.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return retry.Backoff(d.rng, attempt)
}

// Tail returns the time that 95 of 100 runs of a stage stay under, 0 while too little is known.
func (d *Desk) Tail(stage plan.Key) core.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.estimate.Tail(stage)
}

// Reserve returns the time to reserve for the stages that follow.
func (d *Desk) Reserve(stages []plan.Key) core.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.estimate.Remaining(stages)
}

// Alone reports whether the attempt runs apart as a suspect.
func (g Grant) Alone() bool {
	return g.ask.Alone
}
