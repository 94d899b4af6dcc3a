package assign

import (
	"cyclamenford/core"
)

// recordRefusal counts a refusal of a brittle endpoint, and holds the endpoint back for all hosts.
// toldBy is the host that was refused, empty for this keeper. The caller holds mu.
func (a *Assigner) recordRefusal(now core.Millis, r Refusal, toldBy core.HostID) {
	until := a.brittle.Record(now, r.Life, r.Bears)
	a.meter.Count("brittle_refusals_total", 1)
	a.log.Info("brittle endpoint held back", "endpoint", r.Life.Endpoint, "incarnation", r.Life.Incarnation, "bears", r.Bears,
		"refusals", a.brittle.Count(now, r.Life), "hold_ms", until-now, "told", toldBy)
	a.sched.HoldEndpoint(now, r.Life, until)
	if known, ok := a.roster.entries[r.Life.Endpoint]; ok && known.Endpoint.Incarnation == r.Life.Incarnation {
		a.publisher.hold(now, r.Life, until-now)
		a.publisher.put(known.Announcement)
	}
}
