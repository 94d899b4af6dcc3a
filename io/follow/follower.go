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
	// followWait is how long the leader may hold a call that has no news; a shorter one finds a lost leader sooner.
	followWait = 300 * core.Millis(1)
	// followTimeout leaves a lost packet time to be sent again.
	followTimeout = 600 * time.Millisecond
	// searchTimeout is some round trips; a keeper that does not answer by then is not worth waiting for.
	searchTimeout = 100 * time.Millisecond
	// searchLimit is how long a lost leader's successor is looked for before the next ordinary call: an election.
	searchLimit = 600 * time.Millisecond
	callTimeout = 2 * time.Second
	retryPause  = 50 * time.Millisecond
	endedPause  = time.Second
)

// Follower is one host's link to the control state.
type Follower struct {
	client  *peer.Client
	clock   core.Clock
	trace   *trace.Service
	log     *slog.Logger
	locator *locator
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu         sync.Mutex
	self       state.Host
	image      state.Image
	changed    chan struct{}
	leaseUntil core.Millis
	joined     bool
	reached    core.Millis
}

// New returns a follower for this host that finds the keepers through the given addresses.
func New(self state.Host, join []string, client *peer.Client, clock core.Clock, t *trace.Service, log *slog.Logger) *Follower {
	return &Follower{
		client: client, clock: clock, trace: t, log: log, locator: newLocator(join),
		self: self, image: state.EmptyImage(), changed: make(chan struct{}),
	}
}

// Start follows the control state in the background.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.wg.Go(func() { f.run(ctx) })
	return nil
}

// Stop ends the following.
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

// Report sets the gauges of what this host follows.
func (f *Follower) Report(m *meter.Meter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	m.Set("follow_revision", int64(f.image.Revision))
	m.Set("follow_config_version", int64(f.image.Config.Version))
	m.Set("follow_lease_left_ms", int64(max(0, f.leaseUntil-now)))
	m.Set("follow_leader_heard_ms", int64(now-f.reached))
}

// Holder returns this life of the host.
func (f *Follower) Holder() ledger.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ledger.Holder{Host: f.self.ID, Incarnation: f.self.Incarnation}
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.isJoined() {
			f.join(ctx)
			continue
		}
		f.followOnce(ctx)
	}
}

func (f *Follower) isJoined() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.joined
}

// join makes this life of the host known; a later life on record moves the incarnation past it.
func (f *Follower) join(ctx context.Context) {
	f.mu.Lock()
	self := f.self
	f.mu.Unlock()
	reply, err := f.Propose(ctx, state.Command{JoinHost: &state.JoinHost{Host: self}})
	if err != nil {
		f.log.Debug("join", "err", err)
		loop.Pause(ctx, retryPause)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Result == state.Accepted {
		f.joined = true
		return
	}
	f.self.Incarnation = max(f.self.Incarnation, core.Incarnation(reply.Version)) + 1
}

func (f *Follower) followOnce(ctx context.Context) {
	f.mu.Lock()
	args := keeper.FollowArgs{
		Host: f.self.ID, Incarnation: f.self.Incarnation, Revision: f.image.Revision, WaitMs: followWait,
	}
	if f.clock.Now() >= f.leaseUntil {
		args.WaitMs = 0
	}
	f.mu.Unlock()
	sent := f.clock.Now()
	address := f.locator.address()
	reply := new(keeper.FollowReply)
	callCtx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	err := f.client.Call(callCtx, address, keeper.ControlService+".Follow", args, reply)
	if err != nil || !reply.Leading {
		f.log.Debug("leader not reached", "address", address, "err", err)
		f.locator.failed(address, reply.LeaderAddress)
		f.search(ctx)
		return
	}
	f.locator.found(address)
	if reply.Ended {
		f.log.Error("another process runs as this host; this one stops taking work", "host", args.Host)
		loop.Pause(ctx, endedPause)
		return
	}
	if err := f.apply(*reply, sent); err != nil {
		f.log.Error("apply control state", "err", err)
		loop.Pause(ctx, retryPause)
	}
}

// search asks every known keeper who leads until one does, since the next in turn may be as silent as the last.
func (f *Follower) search(ctx context.Context) {
	for began := f.clock.Now(); f.clock.Now()-began < core.Millis(searchLimit.Milliseconds()); loop.Pause(ctx, retryPause) {
		if ctx.Err() != nil || f.askAll(ctx) {
			return
		}
	}
}

// askAll asks every known keeper at once and reports whether one of them leads.
func (f *Follower) askAll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
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
			leads <- address
		}()
	}
	for range addresses {
		select {
		case address := <-leads:
			if address != "" {
				f.locator.found(address)
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// apply takes in changes, and only then renews the serving lease.
func (f *Follower) apply(reply keeper.FollowReply, sent core.Millis) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached = f.clock.Now()
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
		return fmt.Errorf("revision %d is older than %d in force here", next.Revision, f.image.Revision)
	}
	if next.Revision != f.image.Revision {
		f.image = next
		close(f.changed)
		f.changed = make(chan struct{})
		f.locator.learn(next.Hosts)
	}
	if known, ok := next.Hosts[f.self.ID]; ok && known.Expired && known.Incarnation == f.self.Incarnation {
		f.joined = false
		return nil
	}
	if reply.LeaseMs > 0 {
		f.leaseUntil = max(f.leaseUntil, sent+reply.LeaseMs)
	}
	return nil
}

// Propose commits a command, at whichever keeper leads, and returns its reply.
//
// It may send a command twice; commands carry what makes a second one harmless.
func (f *Follower) Propose(ctx context.Context, c state.Command) (state.Reply, error) {
	raw, err := c.Encode()
	if err != nil {
		return state.Reply{}, err
	}
	ctx, span := f.trace.Span(ctx, "propose")
	defer span.End()
	args := keeper.ProposeArgs{Command: raw, Trace: http.Header{}}
	f.trace.Inject(ctx, args.Trace)
	reply, err := CallLeader[keeper.ProposeReply](ctx, f, keeper.ControlService+".Propose", args)
	return reply.Reply, err
}

// Query reads the control state as of now.
func (f *Follower) Query(ctx context.Context, q io.Query) (io.Answer, error) {
	reply, err := CallLeader[keeper.QueryReply](ctx, f, keeper.ControlService+".Query", keeper.QueryArgs{Query: q})
	return reply.Answer, err
}

// located is a reply that tells whether the leader has given it.
type located interface {
	Where() keeper.Located
}

// Leader returns where a leader has last answered its peers.
func (f *Follower) Leader() string { return f.locator.leader() }

// Reached returns when this host last heard from a leader, 0 if never.
func (f *Follower) Reached() core.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached
}

// Rejoin replaces the addresses through which the keepers are found.
func (f *Follower) Rejoin(join []string) { f.locator.rejoin(join) }

// CallLeader repeats a call until the leader has answered it or ctx ends.
//
// Each try has a reply of its own, since the answer to one that was given up may still come.
func CallLeader[R located](ctx context.Context, f *Follower, method string, args any) (R, error) {
	for {
		address := f.locator.address()
		reply := new(R)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f.client.Call(callCtx, address, method, args, reply)
		cancel()
		if err == nil && (*reply).Where().Leading {
			f.locator.found(address)
			return *reply, nil
		}
		hint := ""
		if err == nil {
			hint = (*reply).Where().LeaderAddress
		}
		f.locator.failed(address, hint)
		if ctx.Err() != nil {
			var zero R
			return zero, fmt.Errorf("%s: %w", method, errors.Join(io.ErrNoQuorum, err))
		}
		loop.Pause(ctx, retryPause)
	}
}
