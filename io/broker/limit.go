package broker

import (
	"cyclamenford/core"
	"cyclamenford/core/limit"
)

// RecordLimit records what a response says about the rate of requests that its endpoint accepts. sentAge is the time since the
// request was sent.
func (b *Broker) RecordLimit(l core.Life, stated limit.Statement, sentAge core.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	change, actions := b.scheduler.RecordLimit(now, l, stated, limit.Span{SentAt: now - sentAge, HeardAt: now})
	b.deliver(actions)
	if change == limit.Unchanged {
		return
	}
	b.log.Info("endpoint limit", "endpoint", l.Endpoint, "incarnation", l.Incarnation, "change", change, "rate", stated.Rate,
		"sent_age_ms", sentAge)
	b.meter.Count("endpoint_limits_total", 1, "change", string(change))
}

// NeedsPermit reports whether requests to an incarnation of an endpoint need a permit.
func (b *Broker) NeedsPermit(l core.Life) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.NeedsPermit(l)
}

// LimitReport returns what this host has heard of the limit of an incarnation.
func (b *Broker) LimitReport(l core.Life) limit.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.LimitReport(b.clock.Now(), l)
}

// PermitAnswered records the answer to the ask for a permit of a granted attempt. Without a permit, no attempt is granted the
// incarnation until hold has passed.
func (b *Broker) PermitAnswered(l core.Life, hold core.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliver(b.scheduler.PermitAnswered(b.clock.Now(), l, hold))
}
