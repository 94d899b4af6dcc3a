package assign

import (
	"cyclamenford/core"
	"cyclamenford/core/notice"
	relay "cyclamenford/io"
)

// applyNotice applies a notice and a load report that an endpoint sent to a host in an answer. Leaving applies to all hosts, a pause
// only to the host that received it.
func (a *Assigner) applyNotice(now core.Millis, e RequestEvent) {
	a.applyLoad(now, e.Life, e.Load)
	if e.Notice.Leaving {
		a.markLeaving(now, e.Life, e.Key.Host)
	}
	if e.Notice.Pause > 0 {
		a.sched.PauseForHost(now, e.Key.Host, e.Life, e.Notice.PauseEnd(now))
	}
}

// markLeaving stops new requests to an endpoint's incarnation immediately and commits its retirement in the
// background, as when the endpoint announces that it leaves. reportedBy is the host that received the notice, empty
// for this keeper.
func (a *Assigner) markLeaving(now core.Millis, l core.Life, reportedBy core.HostID) {
	known, ok := a.roster.entries[l.Endpoint]
	if !ok || known.Endpoint.Incarnation != l.Incarnation || known.Leaving {
		return
	}
	a.log.Info("endpoint leaves, by an answer", "endpoint", l.Endpoint, "incarnation", l.Incarnation, "told", reportedBy)
	known.Leaving = true
	a.roster.entries[l.Endpoint] = known
	a.sched.SetEndpoint(now, known.Endpoint, true)
	a.publisher.put(known.Announcement)
	a.Go(func() {
		if err := a.commitRetirement(known.Announcement); err != nil {
			// Its next announcement or answer repeats it.
			a.log.Warn("cannot commit that an endpoint leaves", "endpoint", l.Endpoint, "err", err)
		}
	})
}

// applyStageNotice applies the notice in an endpoint's answer to a call of this keeper.
func (a *Assigner) applyStageNotice(life core.Life, v relay.EndpointResponse) {
	if v.HeaderError != "" && a.headerWarnings.Allow(a.clock.Now(), string(life.Endpoint)) {
		a.log.Warn("answer's header ignored", "endpoint", life.Endpoint, "err", v.HeaderError)
	}
	if v.Notice.Empty() && !v.Load.Stated && !v.LacksRoom() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.checkLeadership() && a.suspendedAt == 0 {
		return
	}
	now := a.clock.Now()
	a.applyLoad(now, life, v.Load)
	if v.Notice.Leaving {
		a.markLeaving(now, life, "")
	}
	a.pauseStageEndpoint(now, life, v.Notice)
	if v.LacksRoom() {
		a.recordRefusal(now, Refusal{Life: life, Bears: v.Brittle.Bears}, "")
	}
}

// pauseStageEndpoint pauses an endpoint for all callers if the notice asks for a pause.
func (a *Assigner) pauseStageEndpoint(now core.Millis, l core.Life, n notice.Notice) {
	if n.Pause <= 0 {
		return
	}
	a.log.Info("endpoint told of itself", "endpoint", l.Endpoint, "incarnation", l.Incarnation, "pause_ms", n.Pause)
	a.meter.Count("endpoint_pauses_total", 1)
	a.sched.PauseEndpoint(now, l, n.PauseEnd(now))
}
