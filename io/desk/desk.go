package desk

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/member"
	"cyclamenford/core/plan"
	"cyclamenford/core/pool"
	"cyclamenford/core/quota"
	"cyclamenford/core/retry"
	"cyclamenford/core/state"
	"cyclamenford/core/tree"
	"cyclamenford/io"
	"cyclamenford/io/meter"
)

const tickEvery = 10 * time.Millisecond

// Desk holds the decisions of one host.
type Desk struct {
	clock   core.Clock
	control io.Control
	meter   *meter.Meter
	log     *slog.Logger
	domain  core.FailureDomain
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	members  *member.Table
	pools    map[core.PoolID]*pool.Pool
	estimate *plan.Estimator
	limiter  *quota.Limiter
	budget   *retry.Budget
	waiting  map[uint64]chan pool.Action
	nextID   uint64
	image    state.Image
	shares   [core.PriorityCount]float64
	ledger   exchange
	diary    diary
}

// New returns a desk for a host in the given failure domain.
func New(domain core.FailureDomain, control io.Control, clock core.Clock, m *meter.Meter, log *slog.Logger) *Desk {
	return &Desk{
		clock: clock, control: control, meter: m, log: log, domain: domain,
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), members: member.New(),
		pools: map[core.PoolID]*pool.Pool{}, estimate: plan.New(), limiter: quota.New(), budget: retry.New(),
		waiting: map[uint64]chan pool.Action{}, image: state.EmptyImage(), ledger: newExchange(),
	}
}

// Start lets time pass for the decisions and follows the settings.
func (d *Desk) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Go(func() { d.run(ctx) })
	return nil
}

// Stop ends the passing of time.
func (d *Desk) Stop(context.Context) error {
	d.cancel()
	d.wg.Wait()
	return nil
}

func (d *Desk) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick()
		}
	}
}

func (d *Desk) tick() {
	image := d.control.Image()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if image.Revision != d.image.Revision {
		d.applyImage(now, image)
	}
	for _, id := range d.members.Expire(now) {
		d.log.Warn("endpoint's lease has run out", "endpoint", id)
		d.leave(id)
	}
	for _, p := range d.pools {
		d.deliver(p.Tick(now))
	}
}

// applyImage adopts the shares of the priorities and the drained endpoints.
func (d *Desk) applyImage(now core.Millis, image state.Image) {
	former := d.image
	d.image = image
	d.shares = sharesOf(image.Tree)
	for _, p := range d.pools {
		p.SetShares(d.shares)
		for id := range former.Drained {
			if !image.Drained[id] {
				p.SetDrained(now, id, false)
			}
		}
		for id := range image.Drained {
			p.SetDrained(now, id, true)
		}
	}
}

func sharesOf(t tree.Tree) [core.PriorityCount]float64 {
	var shares [core.PriorityCount]float64
	for p := range shares {
		shares[p] = t.Share(core.Priority(p)).Share
	}
	return shares
}

// Announce takes in an announcement that left its endpoint age milliseconds ago.
func (d *Desk) Announce(a core.Announcement, age core.Millis) member.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	change := d.members.Announce(now, a, age)
	switch change {
	case member.Ignored:
		return change
	case member.Left:
		d.leave(a.ID)
		return change
	case member.Joined:
		d.leave(a.ID)
	}
	for _, model := range a.Models {
		p := d.pool(core.PoolID{Kind: a.Kind, Model: model})
		d.deliver(p.Announce(now, a))
		if d.image.Drained[a.ID] {
			p.SetDrained(now, a.ID, true)
		}
	}
	return change
}

func (d *Desk) leave(id core.EndpointID) {
	for _, p := range d.pools {
		p.Leave(id)
	}
}

func (d *Desk) pool(id core.PoolID) *pool.Pool {
	p, ok := d.pools[id]
	if !ok {
		p = pool.New(d.domain, d.shares, d.rng)
		d.pools[id] = p
	}
	return p
}

// Endpoint returns the last announcement of an endpoint whose lease holds.
func (d *Desk) Endpoint(id core.EndpointID) (core.Announcement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.members.Alive(d.clock.Now(), id) {
		return core.Announcement{}, false
	}
	return d.members.Get(id)
}

// Endpoints returns every endpoint whose lease holds.
func (d *Desk) Endpoints() []core.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.Live(d.clock.Now())
}

// Depth is the work of one pool at this host.
type Depth struct {
	Pool      core.PoolID
	Waiting   int
	Running   int
	Endpoints int
}

// Depths returns the work of every pool at this host.
func (d *Desk) Depths() []Depth {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Depth
	for id, p := range d.pools {
		waiting, running := p.Depth()
		list = append(list, Depth{Pool: id, Waiting: waiting, Running: running, Endpoints: p.Endpoints()})
	}
	return list
}
