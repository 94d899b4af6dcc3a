package assign

import (
	"cyclamenford/core"
	"cyclamenford/core/sched"
)

// activityInterval is the time between two lines that sum up the scheduler's work.
const activityInterval = core.Second

// activity follows how far the assigner is behind and what its scheduler has done since the last summary.
type activity struct {
	tickedAt, loggedAt core.Millis
	// delay is how late the last tick was, and longestDelay the latest since the last summary. Whatever waits for the
	// processor waits as long.
	delay, longestDelay core.Millis
	former              sched.Totals
}

// recordTick records a tick, which was due one interval after the former one.
func (x *activity) recordTick(now core.Millis) {
	if x.tickedAt > 0 {
		x.delay = max(0, now-x.tickedAt-core.Millis(tickInterval.Milliseconds()))
		x.longestDelay = max(x.longestDelay, x.delay)
	}
	x.tickedAt = now
}

// logActivity sums up the last second, unless the scheduler had nothing to do.
func (a *Assigner) logActivity(now core.Millis) {
	x := &a.activity
	if now-x.loggedAt < activityInterval {
		return
	}
	t := a.sched.Totals()
	requests, pieces := a.sched.Backlog()
	if t != x.former || requests > 0 {
		a.log.Info("scheduler activity", "delay_ms", x.longestDelay, "waiting_requests", requests, "waiting_pieces", pieces,
			"granted", t.Granted-x.former.Granted, "refused", t.Refused-x.former.Refused,
			"results", t.ResultsMade-x.former.ResultsMade, "unused", t.ResultsUnused-x.former.ResultsUnused,
			"no_room", t.NoRoom-x.former.NoRoom, "releases", t.Releases-x.former.Releases, "dispatches", t.Dispatches-x.former.Dispatches)
	}
	a.meter.Observe("assign_delay_ms", int64(x.longestDelay))
	a.meter.Count("assign_results_unused_total", int64(t.ResultsUnused-x.former.ResultsUnused))
	x.loggedAt, x.longestDelay, x.former = now, 0, t
}
