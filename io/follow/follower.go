package follow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/ledger"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/keeper"
	"cyclamenford/io/loop"
	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
	"cyclamenford/io/trace"
)

const (
	// longPollWait is how long the leader may hold a Follow call without changes. A shorter time detects a lost leader
	// sooner.
	longPollWait = 300 * core.Millis(1)
	// longPollSilence is how long a leader may send nothing before it is given up. It exceeds longPollWait by enough time to retransmit a
	// lost packet.
	longPollSilence = 600 * time.Millisecond
	// transferTimeout limits a reply that keeps arriving. It allows for the largest configuration over a slow link.
	transferTimeout = 30 * time.Second
	// locateTimeout covers some round trips; a keeper that does not answer in this time is skipped.
	locateTimeout = 100 * time.Millisecond
	// findLeaderTimeout limits the search for a new leader before the next Follow call. It covers the length of an
	// election.
	findLeaderTimeout = 600 * time.Millisecond
	callTimeout       = 2 * time.Second
	retryPause        = 50 * time.Millisecond
	supersededPause   = time.Second
)

// Follower is one host's client of the replicated control state.
type Follower struct {
	client  *peer.Client
	clock   core.Clock
	trace   *trace.Tracer
	log     *slog.Logger
	locator *locator
	// applyWithin limits the serving lease, 0 for no limit.
	applyWithin core.Millis
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu          sync.Mutex
	self        state.Host
	image       state.Image
	changed     chan struct{}
	leaseUntil  core.Millis
	joined      bool
	lastContact core.Millis
	// confirmedAt is when the last call was sent whose reply has been applied.
	confirmedAt core.Millis
	// failedPolls counts the Follow calls without a reply from a leader since the last reply.
	failedPolls int
	// joinBegan is when this host began to look for a leader to join, and leader the address that it last followed.
	joinBegan core.Millis
	leader    string
	// lost means that the last Follow call has failed.
	lost bool
}

// Options configures a Follower.
type Options struct {
	// Seeds lists addresses of keepers, through which the others are found.
	Seeds []string
	// ApplyWithin is the time within which an accepted change is in force at every host that serves. A serving lease lasts no longer, since
	// the leader may have accepted a change just after it granted the lease. 0 sets no limit but the lease's own.
	ApplyWithin core.Millis
}

// New returns a follower for this host.
func New(self state.Host, o Options, client *peer.Client, clock core.Clock, t *trace.Tracer, log *slog.Logger) *Follower {
	own := ""
	if self.Keeper != "" {
		own = self.PeerAddress
	}
	return &Follower{
		client: client, clock: clock, trace: t, log: log, locator: newLocator(own, o.Seeds), applyWithin: o.ApplyWithin,
		self: self, image: state.EmptyImage(), changed: make(chan struct{}),
	}
}

// Start joins the deployment and follows the control state in the background.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.joinBegan = f.clock.Now()
	f.wg.Go(func() { f.run(ctx) })
	return nil
}

// Stop ends the background work and waits for it.
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	f.wg.Wait()
	return nil
}

// Image returns the newest published image that this host has applied.
func (f *Follower) Image() state.Image {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.image
}

// Changed returns a channel that is closed at the next change of the image.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Serving reports whether this host holds its serving lease.
func (f *Follower) Serving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.joined && f.clock.Now() < f.leaseUntil
}

// ServingUntil returns until when this host holds its serving lease, 0 if it has not joined the deployment. The image that it was granted
// for was published before.
func (f *Follower) ServingUntil() core.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.joined {
		return 0
	}
	return f.leaseUntil
}

// ConfirmedAt returns the time up to which the image is known to be the newest one: when the last call was sent whose reply it holds.
func (f *Follower) ConfirmedAt() core.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// UpdateGauges sets the gauges of the followed revision, the serving lease and the last contact with a leader.
func (f *Follower) UpdateGauges(m *meter.Meter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	m.SetGauge("follow_revision", int64(f.image.Revision))
	m.SetGauge("follow_config_version", int64(f.image.Config.Version))
	m.SetGauge("follow_lease_left_ms", int64(max(0, f.leaseUntil-now)))
	m.SetGauge("follow_leader_heard_ms", int64(now-f.lastContact))
}

// Holder returns the host's ID and incarnation.
func (f *Follower) Holder() ledger.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ledger.Holder{Host: f.self.ID, Incarnation: f.self.Incarnation}
}

// run joins the deployment, again after each expiry of this incarnation, and polls the leader for changes.
func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.isJoined() {
			f.join(ctx)
			continue
		}
		f.poll(ctx)
	}
}

func (f *Follower) isJoined() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.joined
}

// join registers this incarnation of the host. If a later one is registered, it raises the incarnation above that for
// the next attempt.
func (f *Follower) join(ctx context.Context) {
	f.mu.Lock()
	self := f.self
	f.mu.Unlock()
	// The seeds may name hosts that are lost, and a call to one of them would take until its timeout.
	if !f.findLeader(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := f.Propose(ctx, state.Command{JoinHost: &state.JoinHost{Host: self}})
	if err != nil {
		f.log.Debug("join", "err", err)
		loop.Sleep(ctx, retryPause)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Result == state.Accepted {
		f.joined = true
		f.log.Info("host has joined the deployment", "incarnation", f.self.Incarnation, "keeper", f.self.Keeper,
			"leader", f.locator.leader(), "took_ms", f.clock.Now()-f.joinBegan)
		return
	}
	f.self.Incarnation = max(f.self.Incarnation, core.Incarnation(reply.Version)) + 1
}

// poll makes one Follow call, applies the changes and looks for the leader if the call fails.
func (f *Follower) poll(ctx context.Context) {
	f.mu.Lock()
	args := keeper.FollowArgs{
		Host: f.self.ID, Incarnation: f.self.Incarnation, Revision: f.image.Revision, WaitMs: longPollWait,
	}
	if f.clock.Now() >= f.leaseUntil || f.lost {
		// Requests are refused without a recent answer of a leader.
		args.WaitMs = 0
	}
	f.lost = true
	f.mu.Unlock()
	sent := f.clock.Now()
	address := f.locator.address()
	reply := new(keeper.FollowReply)
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	err := f.client.CallWhileReceiving(callCtx, longPollSilence, address, keeper.ControlService+".Follow", args, reply)
	if err != nil || !reply.Leading {
		f.log.Debug("no reply from a leading keeper", "address", address, "err", err)
		hint := ""
		if err == nil {
			// The reply to a call that timed out may still be decoded.
			hint = reply.LeaderAddress
		}
		f.countFailedPoll()
		f.locator.markFailed(address, hint)
		f.findLeader(ctx)
		return
	}
	f.locator.setLeader(address)
	f.lost = false
	if reply.Ended {
		f.log.Error("another process runs as this host; this one stops taking work", "host", args.Host)
		loop.Sleep(ctx, supersededPause)
		return
	}
	if f.leader != address {
		f.log.Info("following another leader", "leader", address, "former", f.leader, "unheard_ms", f.unheard(), "revision", reply.Revision)
		f.leader = address
	}
	if err := f.apply(*reply, sent); err != nil {
		f.log.Error("apply control state", "err", err)
		loop.Sleep(ctx, retryPause)
	}
}

// unheard returns how long no leader has replied, since the start of the host if none ever has.
func (f *Follower) unheard() core.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now() - max(f.lastContact, f.joinBegan)
}

// findLeader asks all known keepers until one leads or findLeaderTimeout has passed, and reports whether one does. Trying one
// address after the other would take longer, since several may be unreachable.
func (f *Follower) findLeader(ctx context.Context) bool {
	for began := f.clock.Now(); f.clock.Now()-began < core.Millis(findLeaderTimeout.Milliseconds()); loop.Sleep(ctx, retryPause) {
		if ctx.Err() != nil {
			return false
		}
		if f.locateOnce(ctx) {
			return true
		}
	}
	return false
}

// locateOnce asks every known keeper in parallel and reports whether one of them leads. A leader that another keeper names is
// asked the next time.
func (f *Follower) locateOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	addresses := f.locator.all()
	leads := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply keeper.Located
			err := f.client.Call(ctx, address, keeper.ControlService+".Locate", keeper.LocateArgs{}, &reply)
			if err != nil || !reply.Leading {
				address = ""
			}
			if err == nil && reply.LeaderAddress != "" {
				f.locator.add(reply.LeaderAddress)
			}
			leads <- address
		}()
	}
	for range addresses {
		select {
		case address := <-leads:
			if address != "" {
				f.locator.setLeader(address)
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// apply applies the changes to the image. Only after that it extends the serving lease, counted from the time sent.
func (f *Follower) apply(reply keeper.FollowReply, sent core.Millis) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logSlowReply(reply, sent)
	f.lastContact, f.failedPolls = f.clock.Now(), 0
	base := f.image
	if reply.Whole {
		base = state.EmptyImage()
	}
	next, err := base.With(reply.Deltas)
	if err != nil {
		return fmt.Errorf("revision %d: %w", reply.Revision, err)
	}
	next.Revision = reply.Revision
	if next.Revision < f.image.Revision {
		return fmt.Errorf("received revision %d is older than the applied revision %d", next.Revision, f.image.Revision)
	}
	f.confirmedAt = max(f.confirmedAt, sent)
	if next.Revision != f.image.Revision {
		f.image = next
		close(f.changed)
		f.changed = make(chan struct{})
		f.locator.setHosts(next.Hosts)
	}
	if known, ok := next.Hosts[f.self.ID]; ok && known.Expired && known.Incarnation == f.self.Incarnation {
		f.joined = false
		f.joinBegan = f.clock.Now()
		return nil
	}
	if reply.LeaseMs > 0 {
		f.leaseUntil = max(f.leaseUntil, sent+f.leaseTime(reply))
	}
	return nil
}

// leaseTime returns for how long the host may serve by a reply.
func (f *Follower) leaseTime(reply keeper.FollowReply) core.Millis {
	if f.applyWithin > 0 {
		return min(reply.LeaseMs, f.applyWithin)
	}
	return reply.LeaseMs
}

func (f *Follower) countFailedPoll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedPolls++
}

// logSlowReply logs changes that came late, because calls before had no reply or the reply itself took longer than a call without changes.
// The caller holds mu.
func (f *Follower) logSlowReply(reply keeper.FollowReply, sent core.Millis) {
	took := f.clock.Now() - sent
	if len(reply.Deltas) == 0 || f.failedPolls == 0 && took <= longPollWait {
		return
	}
	bytes := 0
	for _, d := range reply.Deltas {
		bytes += len(d.Value)
	}
	f.log.Info("control state came late", "revision", reply.Revision, "bytes", bytes, "took_ms", took, "failed_polls", f.failedPolls,
		"unheard_ms", f.clock.Now()-max(f.lastContact, f.joinBegan))
}

// Propose commits a command through the leading keeper and returns its reply.
//
// It may send a command more than once. Commands are idempotent: they carry what the state needs to detect a repetition.
func (f *Follower) Propose(ctx context.Context, c state.Command) (state.Reply, error) {
	raw, err := c.Encode()
	if err != nil {
		return state.Reply{}, err
	}
	ctx, span := f.trace.StartSpan(ctx, "propose")
	defer span.End()
	args := keeper.ProposeArgs{Command: raw, Trace: http.Header{}}
	f.trace.Inject(ctx, args.Trace)
	reply, err := CallLeader[keeper.ProposeReply](ctx, f, keeper.ControlService+".Propose", args)
	return reply.Reply, err
}

// Query reads the current control state from the leading keeper.
func (f *Follower) Query(ctx context.Context, q io.Query) (io.Answer, error) {
	reply, err := CallLeader[keeper.QueryReply](ctx, f, keeper.ControlService+".Query", keeper.QueryArgs{Query: q})
	return reply.Answer, err
}

// located is a reply that states whether the keeper that sent it leads.
type located interface {
	LeaderInfo() keeper.Located
}

// LeaderAddress returns the address of the keeper that last answered as leader, or else the next address to try.
func (f *Follower) LeaderAddress() string { return f.locator.leader() }

// LeaderNamed notes that the keeper at an address has named another one as leader, which is asked from now on.
func (f *Follower) LeaderNamed(by, leader string) { f.locator.replaceLeader(by, leader) }

// LastLeaderContact returns the time of the last reply from a leader, 0 if there was none.
func (f *Follower) LastLeaderContact() core.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact
}

// SetSeeds replaces the seed addresses through which the keepers are found.
func (f *Follower) SetSeeds(seeds []string) { f.locator.setSeeds(seeds) }

// CallLeader repeats a call until the leader answers it or ctx ends.
//
// Each attempt has its own reply value, since the reply to an attempt that timed out may still arrive.
func CallLeader[R located](ctx context.Context, f *Follower, method string, args any) (R, error) {
	for {
		address := f.locator.address()
		reply := new(R)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f.client.Call(callCtx, address, method, args, reply)
		cancel()
		if err == nil && (*reply).LeaderInfo().Leading {
			f.locator.setLeader(address)
			return *reply, nil
		}
		hint := ""
		if err == nil {
			hint = (*reply).LeaderInfo().LeaderAddress
		}
		f.locator.markFailed(address, hint)
		if ctx.Err() != nil {
			var zero R
			return zero, fmt.Errorf("%s: %w", method, errors.Join(io.ErrNoQuorum, err))
		}
		loop.Sleep(ctx, retryPause)
	}
}
