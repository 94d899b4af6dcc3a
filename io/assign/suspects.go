package assign

import (
	"context"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
	"cyclamenford/core/sched"
)

// suspectsInterval is how often the scheduler receives the suspects again, even without a change of the replicated state.
// Convictions expire without such a change.
const suspectsInterval = core.Second

// updateSuspects gives the scheduler the requests that are suspected or convicted of crashing endpoints.
func (a *Assigner) updateSuspects() {
	now, unix := a.clock.Now(), a.clock.Unix()
	a.suspectsUpdatedAt = now
	suspects := map[poison.Content]sched.Suspicion{}
	for content, e := range a.leader.Image().Poison {
		suspects[content] = sched.Suspicion{Standing: e.StandingAt(unix), RetryAfter: e.RetryAfter(unix)}
	}
	a.sched.SetSuspects(now, suspects)
}

// Cut records requests whose connection to an endpoint broke, until the endpoint's announcements show whether it has
// ended.
func (c *calls) Cut(args CutArgs, reply *CutReply) error {
	a := c.assigner
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Located = a.leader.Located()
	if !a.checkLeadership() {
		reply.Leading = false
		return nil
	}
	now := a.clock.Now()
	a.pendingCuts.Add(poison.Cut{Life: args.On.Life, Address: args.On.Address, At: now, Suspects: args.Suspects})
	// The announcement of a later incarnation may have arrived before the cut was reported.
	if known, ok := a.roster.entries[args.On.Endpoint]; ok && known.Endpoint.Incarnation > args.On.Incarnation {
		a.resolveCuts(now, known.Announcement)
	}
	return nil
}

// resolveCuts reports to the guard the cuts for which an announcement shows whether the endpoint has ended. The end
// of an endpoint that had announced that it leaves does not count as a crash.
func (a *Assigner) resolveCuts(now core.Millis, announcement Announcement) {
	life := core.Life{Endpoint: announcement.Endpoint.ID, Incarnation: announcement.Endpoint.Incarnation}
	ended, alive := a.pendingCuts.Settle(now, life, announcement.Endpoint.Address)
	retired := a.leader.Image().Retired
	for _, cut := range ended {
		retirement, ok := retired[cut.Life.Endpoint]
		announcedLeaving := ok && retirement.Incarnation >= cut.Life.Incarnation
		a.log.Info("cut settled", "endpoint", cut.Life.Endpoint, "suspects", len(cut.Suspects), "ended", true, "leaving", announcedLeaving,
			"age_ms", now-cut.At, "by", life.Endpoint)
		if announcedLeaving {
			a.guard.EndTrials(cut.Life, cut.Suspects)
			continue
		}
		a.guard.RecordCrash(cut.Life, cut.Suspects, cut.At)
	}
	for _, cut := range alive {
		a.log.Debug("cut settled", "endpoint", cut.Life.Endpoint, "suspects", len(cut.Suspects), "ended", false, "age_ms", now-cut.At)
		a.guard.EndTrials(cut.Life, cut.Suspects)
	}
}

// dropExpiredCuts drops the cuts whose endpoints have not announced themselves in time, without counting a crash.
func (a *Assigner) dropExpiredCuts(now core.Millis) {
	for _, cut := range a.pendingCuts.TakeExpired(now) {
		a.log.Info("cut not settled: no announcement of its endpoint arrived in time", "endpoint", cut.Life.Endpoint, "suspects", len(cut.Suspects))
		a.guard.EndTrials(cut.Life, cut.Suspects)
	}
}

// beginTrial begins a trial if a call runs a suspect's pieces alone. It reports false if they must not run now.
func (a *Assigner) beginTrial(c order.Call) bool {
	if !c.Alone {
		return true
	}
	_, problem := a.guard.Admit(context.Background(), c.Owners[0].ID, poison.Identity{Content: c.Owners[0].Content}, c.Endpoint, maxCallTime(c))
	return problem == nil
}

// reportOutcome reports to the guard the end of a stage call. A broken call counts against all requests whose pieces
// it ran. Any other end completes the trial if the call was one.
func (a *Assigner) reportOutcome(c order.Call, outcome order.AttemptOutcome) {
	switch {
	case outcome == order.Broken:
		target := core.Target{Life: core.Life{Endpoint: c.Endpoint, Incarnation: c.Life}, Address: c.Address}
		suspects := make([]poison.Suspect, 0, len(c.Owners))
		for _, owner := range c.Owners {
			suspects = append(suspects, poison.Suspect{Request: owner.ID, Organisation: owner.Organisation, Content: owner.Content, Alone: c.Alone})
		}
		a.guard.ReportAndWait(context.Background(), target, suspects...)
	case c.Alone:
		a.guard.EndTrial(poison.Identity{Content: c.Owners[0].Content}, c.Endpoint, outcome == order.Served || outcome == order.Erred)
	}
}
