package assign

import (
	"cyclamenford/core"
	"cyclamenford/core/limit"
)

// recordStageLimit records what a stage endpoint's answer to this keeper says about the rate of requests that it accepts.
func (a *Assigner) recordStageLimit(life core.Life, stated limit.Statement, sentAt core.Millis) {
	if stated.Stated {
		now := a.clock.Now()
		a.permits.Record(limit.NewReport(now, life, stated, limit.Span{SentAt: sentAt, HeardAt: now}), "")
	}
}

// mayCall reports whether this keeper may send a call of the given kind to an endpoint: its failure domain is not evacuated, and the
// call has a permit or needs none. A permit is taken now if the endpoint has named its limit since the call was decided, and one for
// each piece if it has a bound. bounded means that it had one then.
func (a *Assigner) mayCall(life core.Life, domain core.FailureDomain, permitted, bounded bool, pieces int, kind string) bool {
	if !a.maySendTo(life, domain, kind) {
		return false
	}
	if !a.permits.Limited(life) && (permitted || !bounded) {
		return true
	}
	if !a.permits.Bounded(life) {
		pieces = 1
		// An issuer that does not know the bound any more is not the one that gave the permit.
		if bounded && !permitted {
			a.log.Info("no permit", "endpoint", life.Endpoint, "kind", kind)
			return false
		}
	}
	if !permitted && !a.permits.TakeMany(a.clock.Now(), life, pieces) {
		a.log.Info("no permit", "endpoint", life.Endpoint, "kind", kind)
		return false
	}
	a.log.Info("sent to a limited endpoint", "endpoint", life.Endpoint, "incarnation", life.Incarnation, "kind", kind)
	a.meter.Count("limited_sends_total", 1, "kind", kind)
	return true
}

// publishLimits publishes in the roll which endpoints name a limit, if that has changed.
func (a *Assigner) publishLimits() {
	version := a.permits.Version()
	if version == a.publishedLimits {
		return
	}
	a.publishedLimits = version
	for _, e := range a.roster.entries {
		a.publisher.put(e.Announcement)
	}
}
