package desk

import (
	"cyclamenford/core"
	"cyclamenford/core/plan"
	"cyclamenford/core/pool"
	"cyclamenford/core/retry"
	"cyclamenford/core/tree"
)

// defaultCostMs is the expected time of a stage at an endpoint, in milliseconds, until enough runs were measured.
const defaultCostMs = 100.0

// Attempt describes one attempt of a stage that needs an endpoint.
type Attempt struct {
	Request      core.RequestID
	Organisation core.OrganisationID
	Weight       float64
	Priority     core.Priority
	// Stages lists the stage to run now, followed by the later stages of the request.
	Stages     []plan.Key
	DeadlineAt core.Millis
	Prefix     uint64
	Avoid      []core.EndpointID
	Alone      bool
	// Hedge marks a second attempt that runs in parallel to a slow first one. It is never queued.
	Hedge bool
}

// Pool returns the pool whose endpoints can run the first of the stages.
func (a Attempt) Pool() core.PoolID {
	return a.Stages[0].Pool
}

// Submit queues, dispatches or refuses an attempt and returns the ID of its ticket. The decision about the
// ticket is among the returned actions or among those of a later call.
func (d *Scheduler) Submit(now core.Millis, a Attempt) (uint64, []pool.Action) {
	d.lastTicket++
	t := pool.Ticket{
		ID: d.lastTicket, Organisation: a.Organisation, Weight: a.Weight, Priority: a.Priority, Cost: d.expectedCost(a.Stages[0]),
		StartBy: d.estimate.LatestStart(a.DeadlineAt, a.Stages), Prefix: a.Prefix, Avoid: a.Avoid, Alone: a.Alone, NoWait: a.Hedge,
	}
	return t.ID, d.poolFor(a.Pool()).Submit(now, t)
}

// expectedCost returns the median time of a stage at an endpoint in milliseconds, or the default while too little is
// measured.
func (d *Scheduler) expectedCost(k plan.Key) float64 {
	if m := d.estimate.Median(k); m > 0 {
		return float64(m)
	}
	return defaultCostMs
}

// Cancel cancels a waiting or running ticket and returns the resulting actions, such as tickets that can start now.
func (d *Scheduler) Cancel(now core.Millis, id core.PoolID, ticket uint64) []pool.Action {
	return d.poolFor(id).Cancel(now, ticket)
}

// Finish records the end of an attempt that was dispatched at startedAt, and returns the resulting actions. The run
// time of a successful attempt updates the estimate of its stage.
func (d *Scheduler) Finish(now core.Millis, a Attempt, ticket uint64, startedAt core.Millis, v pool.Result) []pool.Action {
	took := now - startedAt
	if v == pool.Succeeded {
		d.estimate.Observe(now, a.Stages[0], took)
	}
	return d.poolFor(a.Pool()).Finish(now, ticket, v)
}

// CountDemand counts a request towards the team's demand, whether or not it is admitted later.
func (d *Scheduler) CountDemand(now core.Millis, team core.TeamID) {
	d.limiter.CountDemand(now, team)
}

// Admit reserves a running request within the team's limits and credits the retry budget. If a limit is exceeded, it
// returns the time after which to retry.
func (d *Scheduler) Admit(now core.Millis, team core.TeamID, limits tree.Limits, tokens float64) (core.Millis, bool) {
	after, ok := d.limiter.Admit(now, team, limits, tokens)
	if ok {
		d.budget.CountAttempt()
	}
	return after, ok
}

// Release ends an admitted request of the team and charges the tokens that it used beyond the estimate.
func (d *Scheduler) Release(team core.TeamID, extraTokens float64) {
	d.limiter.Release(team, extraTokens)
}

// TakeRetry takes one retry from the host's budget and reports whether one was left.
func (d *Scheduler) TakeRetry() bool {
	return d.budget.TakeRetry()
}

// Backoff returns the random delay before the attempt with the given number.
func (d *Scheduler) Backoff(attempt int) core.Millis {
	return retry.Backoff(d.rng, attempt)
}

// P95 returns the 95th percentile of a stage's run time, or 0 while too few runs were measured.
func (d *Scheduler) P95(stage plan.Key) core.Millis {
	return d.estimate.Tail(stage)
}

// maxWaitFraction is the largest fraction of a request's spare time that the expected queueing may take. The rest
// covers the error of the estimate.
const maxWaitFraction = 0.35

// CheckDeadline reports, before the first stage of a request, whether the request will probably meet its deadline.
// If not, it returns the time after which to retry. It also counts the request as demand in the pool of each
// stage.
func (d *Scheduler) CheckDeadline(now core.Millis, a Attempt) (core.Millis, bool) {
	wait := core.Millis(0)
	for _, k := range a.Stages {
		p := d.poolFor(k.Pool)
		p.CountOffer(now, a.Priority, a.Organisation, a.Weight, d.expectedCost(k))
		wait += p.ExpectedWait(a.Priority, a.Organisation)
	}
	pause := d.pauseDelay(now, a)
	spare := a.DeadlineAt - now - d.estimate.Remaining(a.Stages) - pause
	if spare < 0 || wait > core.Millis(maxWaitFraction*float64(spare)) {
		return pause + max(wait, core.Second/2), false
	}
	return 0, true
}
