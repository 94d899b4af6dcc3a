package broker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/member"
	"cyclamenford/core/notice"
	"cyclamenford/core/plan"
	"cyclamenford/core/pool"
	"cyclamenford/io"
	"cyclamenford/io/loop"
	"cyclamenford/io/meter"
)

const tickInterval = 10 * time.Millisecond

// Broker is the concurrency-safe front of a host's endpoint scheduler. Its loop applies timeouts and new settings.
type Broker struct {
	*loop.Loop
	clock   core.Clock
	control io.Control
	meter   *meter.Meter
	log     *slog.Logger

	mu        sync.Mutex
	scheduler *desk.Scheduler
	waiting   map[uint64]chan pool.Action
	revision  uint64
}

// New returns a Broker for a host in the given failure domain.
func New(domain core.FailureDomain, control io.Control, clock core.Clock, m *meter.Meter, log *slog.Logger) *Broker {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	b := &Broker{
		clock: clock, control: control, meter: m, log: log,
		scheduler: desk.New(control.Holder().Host, domain, rng), waiting: map[uint64]chan pool.Action{},
	}
	b.Loop = loop.New(tickInterval, func(context.Context) { b.tick() })
	return b
}

// tick applies changed settings and drains to the scheduler, expires leases and timeouts, and delivers the resulting
// decisions.
func (b *Broker) tick() {
	image := b.control.Image()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if image.Revision != b.revision {
		b.revision = image.Revision
		b.scheduler.SetPolicy(now, desk.PolicyOf(image.Tree, image.Drained, image.EvacuatedDomains()))
	}
	expired, actions := b.scheduler.Tick(now)
	for _, id := range expired {
		b.log.Warn("endpoint lease expired", "endpoint", id)
	}
	b.deliver(actions)
}

// deliver sends each decision to the request that waits for it. Decisions of cancelled requests are dropped.
func (b *Broker) deliver(actions []pool.Action) {
	for _, a := range actions {
		answer, ok := b.waiting[a.Ticket]
		if !ok {
			continue
		}
		delete(b.waiting, a.Ticket)
		answer <- a
	}
}

// Announce applies an announcement that its endpoint sent age milliseconds ago, and returns how it changed the
// endpoint's state.
func (b *Broker) Announce(a core.Announcement, age core.Millis) member.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	change, actions := b.scheduler.Announce(b.clock.Now(), a, age)
	b.deliver(actions)
	return change
}

// ApplyNotice applies a notice (leaving or pausing) that an endpoint's response contained for one of its incarnations. It
// returns the goodbye announcement to forward to other hosts, or nil if there is none.
func (b *Broker) ApplyNotice(l core.Life, n notice.Notice) *core.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.scheduler.ApplyNotice(b.clock.Now(), l, n)
	if h.Changed {
		b.log.Info("endpoint told of itself", "endpoint", l.Endpoint, "incarnation", l.Incarnation,
			"leaving", n.Leaving, "pause_ms", n.Pause)
		if n.Leaving {
			b.meter.Count("endpoints_leaving_by_answer_total", 1)
		}
		if n.Pause > 0 {
			b.meter.Count("endpoint_pauses_total", 1)
		}
	}
	b.deliver(h.Actions)
	return h.Goodbye
}

// Usable reports whether this host may send a request to the endpoint of a grant now.
func (b *Broker) Usable(g Grant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.Usable(b.clock.Now(), g.Endpoint.Life())
}

// Endpoint returns the last announcement of an endpoint, or false if its lease has expired.
func (b *Broker) Endpoint(id core.EndpointID) (core.Announcement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.Endpoint(b.clock.Now(), id)
}

// Endpoints returns the last announcement of every endpoint with a valid lease.
func (b *Broker) Endpoints() []core.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.Endpoints(b.clock.Now())
}

// Depths returns the number of waiting and running requests in each pool of this host.
func (b *Broker) Depths() []desk.Depth {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.Depths()
}

// DecisionsFor returns the scheduling decisions about a request that this host still keeps.
func (b *Broker) DecisionsFor(id core.RequestID) []desk.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.DecisionsFor(id)
}

// NextReport returns the report of this host's demand and usage for the other hosts.
func (b *Broker) NextReport() desk.HostReport {
	h := b.control.Holder()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.NextReport(b.clock.Now(), h.Host, h.Incarnation)
}

// ApplyReport applies the report of another host's demand and usage.
func (b *Broker) ApplyReport(s desk.HostReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliver(b.scheduler.ApplyReport(b.clock.Now(), s))
}

// Backoff returns the delay, with full jitter, before the attempt with the given number.
func (b *Broker) Backoff(attempt int) core.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.Backoff(attempt)
}

// P95 returns the 95th percentile of a stage's run time, or 0 if there are too few samples.
func (b *Broker) P95(stage plan.Key) core.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.P95(stage)
}

// CheckDeadline returns a problem with outcome NotRun if the request is unlikely to finish before its deadline, otherwise nil.
// Unless the deadline has already passed, it also counts the request as demand for the pools of its stages.
func (b *Broker) CheckDeadline(a desk.Attempt) *core.Problem {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if now >= a.DeadlineAt {
		return core.NewProblem(http.StatusGatewayTimeout, core.NotRun, core.ReasonDeadlineExceeded,
			"the deadline passed before the first stage")
	}
	after, ok := b.scheduler.CheckDeadline(now, a)
	if ok {
		return nil
	}
	return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonDeadlineInfeasible,
		"the stages and their queues would take longer than the %d ms that are left", a.DeadlineAt-now).WithRetryAfter(after)
}
