package permit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/io/keeper"
	"cyclamenford/io/loop"
	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
)

const (
	tickInterval = 10 * time.Millisecond
	// gaugeInterval is the time over which the gauges of used limits are averaged.
	gaugeInterval = 5 * core.Second
)

// Leader is the local keeper's leadership.
type Leader interface {
	// Leading returns the current term, and whether this keeper leads in it.
	Leading() (term uint64, ok bool)
	Located() keeper.Located
}

// Issuer issues permits while its keeper leads. Its methods may be called concurrently.
type Issuer struct {
	*loop.Loop
	leader Leader
	clock  core.Clock
	meter  *meter.Meter
	log    *slog.Logger

	mu sync.Mutex
	// stopped means that the issuer takes no more asks: its loop, which answers them, has ended.
	stopped bool
	// term is the term in which the issuer was last used as the leader's.
	term    uint64
	issuer  *limit.Issuer
	lastAsk uint64
	// waiters holds a channel for each call that waits for its answer. A closed channel means that none will come.
	waiters map[uint64]chan limit.Answer
	// gaugedAt is when the gauges were last updated, and gauged holds the endpoints that have one.
	gaugedAt core.Millis
	gauged   map[core.Life]uint64
}

// NewIssuer returns an issuer that is not running yet.
func NewIssuer(l Leader, clock core.Clock, m *meter.Meter, log *slog.Logger) *Issuer {
	i := &Issuer{leader: l, clock: clock, meter: m, log: log, issuer: limit.NewIssuer(), waiters: map[uint64]chan limit.Answer{}}
	i.Loop = loop.New(tickInterval, i.tick)
	return i
}

// Register registers the issuer's RPC methods on the server under Service.
func (i *Issuer) Register(s *peer.Server) error { return s.Register(Service, &calls{i}) }

// Stop ends the loop and the calls that wait for a permit.
func (i *Issuer) Stop(ctx context.Context) error {
	err := i.Loop.Stop(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	i.dropWaiters()
	return err
}

func (i *Issuer) dropWaiters() {
	for number, waiter := range i.waiters {
		close(waiter)
		delete(i.waiters, number)
	}
}

// checkLeadership reports whether this keeper leads and the issuer has not stopped. In a new term it begins with empty buckets, since the
// former leader may have issued all that the limits allow until now. The caller holds mu.
func (i *Issuer) checkLeadership() bool {
	if i.stopped {
		return false
	}
	term, ok := i.leader.Leading()
	if ok && term == i.term {
		return true
	}
	i.dropWaiters()
	if ok {
		i.term = term
		i.issuer.Restart(i.clock.Now())
		i.log.Info("issuing permits", "term", term)
	}
	return ok
}

// tick issues the permits that have become free and updates the gauges.
func (i *Issuer) tick(context.Context) {
	i.mu.Lock()
	defer i.mu.Unlock()
	leads := i.checkLeadership()
	now := i.clock.Now()
	i.issuer.Tick(now)
	i.deliver()
	if !leads {
		i.setGauges(now, 0, nil)
		return
	}
	if passed := now - i.gaugedAt; passed >= gaugeInterval {
		i.setGauges(now, passed, i.issuer.TakeIssued())
		i.gaugedAt = now
	}
}

// setGauges sets for each endpoint with a limit which part of it was used, by the permits issued in the time that has passed,
// and removes the gauges of the others.
func (i *Issuer) setGauges(now, passed core.Millis, issued map[core.Life]uint64) {
	const name = "limit_used_percent"
	for l := range i.gauged {
		if _, ok := issued[l]; !ok {
			i.meter.RemoveGauge(name, "endpoint", string(l.Endpoint))
		}
	}
	i.gauged = issued
	for l, n := range issued {
		_, perSecond, _ := i.issuer.Budget(now, l)
		allowed := perSecond * float64(passed) / float64(core.Second)
		i.meter.SetGauge(name, int64(100*float64(n)/allowed), "endpoint", string(l.Endpoint))
	}
}

// deliver passes the issuer's answers to the calls that wait for them.
func (i *Issuer) deliver() {
	for _, answer := range i.issuer.TakeAnswers() {
		if waiter, ok := i.waiters[answer.Number]; ok {
			delete(i.waiters, answer.Number)
			waiter <- answer
		}
	}
}

// Record records a reported statement of an endpoint. reportedBy names the host that received the answer.
func (i *Issuer) Record(r limit.Report, reportedBy core.HostID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.record(r, reportedBy)
}

func (i *Issuer) record(r limit.Report, reportedBy core.HostID) {
	now := i.clock.Now()
	change := i.issuer.Record(now, r.Life, r.Statement, r.Span(now))
	i.deliver()
	if change == limit.Unchanged {
		return
	}
	i.log.Info("endpoint limit", "endpoint", r.Life.Endpoint, "incarnation", r.Life.Incarnation, "change", change, "rate", r.Rate,
		"heard_age_ms", r.HeardAge, "told", reportedBy)
	i.meter.Count("endpoint_limits_total", 1, "change", string(change))
}

// Merge records the statements that the leader knows, for the case that this keeper leads next.
func (i *Issuer) Merge(reports []limit.Report) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.issuer.Merge(i.clock.Now(), reports)
}

// Reports returns everything that is known of limits, for a keeper that may lead next.
func (i *Issuer) Reports() []limit.Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Reports(i.clock.Now())
}

// Version returns a number that increases with each change of a limit.
func (i *Issuer) Version() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Version()
}

// Limited reports whether an incarnation of an endpoint names a limit.
func (i *Issuer) Limited(l core.Life) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Limited(l)
}

// Any reports whether any endpoint names a limit.
func (i *Issuer) Any() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Any()
}

// Budget returns how many permits for an endpoint are free, none while this keeper does not lead, and how many become free in
// a second.
func (i *Issuer) Budget(now core.Millis, l core.Life) (free, perSecond float64, limited bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	leads := i.checkLeadership()
	free, perSecond, limited = i.issuer.Budget(now, l)
	if !leads {
		free = 0
	}
	return free, perSecond, limited
}

// Take takes a permit for a request that this keeper itself sends or grants, and reports whether one was free.
func (i *Issuer) Take(now core.Millis, l core.Life) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.checkLeadership() && i.issuer.Take(now, l)
}
