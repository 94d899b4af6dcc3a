package desk

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/core/pool"
)

// RecordLimit records what an answer of an incarnation says about the rate of requests that it accepts.
func (d *Scheduler) RecordLimit(now core.Millis, l core.Life, x limit.Statement, made limit.Span) (limit.Change, []pool.Action) {
	change := d.limits.Record(l, x, made)
	if change == limit.Unchanged {
		return change, nil
	}
	d.changedLimits[l] = true
	return change, d.applyLimit(now, l, change)
}

// mergeLimit records what another host has heard.
func (d *Scheduler) mergeLimit(now core.Millis, r limit.Report) []pool.Action {
	change := d.limits.Record(r.Life, r.Statement, r.Span(now))
	if change == limit.Unchanged {
		return nil
	}
	return d.applyLimit(now, r.Life, change)
}

func (d *Scheduler) applyLimit(now core.Millis, l core.Life, change limit.Change) []pool.Action {
	if change == limit.Lifted {
		delete(d.heldUntil, l)
	}
	return d.applyRestriction(now, l, nil)
}

// takeChangedLimits returns what the next report to the other hosts says of limits: all that this host knows, or what it has
// heard since the last report.
func (d *Scheduler) takeChangedLimits(now core.Millis, all bool) []limit.Report {
	changed := d.changedLimits
	d.changedLimits = map[core.Life]bool{}
	reports := d.limits.Reports(now)
	if all {
		return reports
	}
	return slices.DeleteFunc(reports, func(r limit.Report) bool { return !changed[r.Life] })
}

// NeedsPermit reports whether requests to an incarnation need a permit.
func (d *Scheduler) NeedsPermit(l core.Life) bool { return d.limits.Limited(l) }

// LimitReport returns the newest statement that this host received from an incarnation about its limit.
func (d *Scheduler) LimitReport(now core.Millis, l core.Life) limit.Report {
	return d.limits.Newest(now, l)
}

// PermitAnswered records the answer to the ask for a permit of a dispatched ticket. Without a permit, this host sends nothing
// to the incarnation until hold has passed.
func (d *Scheduler) PermitAnswered(now core.Millis, l core.Life, hold core.Millis) []pool.Action {
	if hold > 0 {
		d.heldUntil[l] = now + hold
	}
	return d.applyRestriction(now, l, func(p *pool.Pool) []pool.Action { return p.PermitAnswered(now, l.Endpoint) })
}

// applyRestriction gives the present restriction of an incarnation to its pools, and returns the actions of the given step at
// each of them. Without a step, the pools dispatch what can run now.
func (d *Scheduler) applyRestriction(now core.Millis, l core.Life, step func(*pool.Pool) []pool.Action) []pool.Action {
	announcement, ok := d.members.Get(l.Endpoint)
	if !ok || announcement.Life() != l {
		return nil
	}
	if step == nil {
		step = func(p *pool.Pool) []pool.Action { return p.Tick(now) }
	}
	var actions []pool.Action
	for _, model := range announcement.Models {
		p := d.poolFor(core.PoolID{Kind: announcement.Kind, Model: model})
		p.SetRestriction(now, l.Endpoint, d.restrictionOf(l))
		actions = append(actions, step(p)...)
	}
	return actions
}
