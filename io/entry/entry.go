package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/door"
	"cyclamenford/core/ledger"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/buffer"
	"cyclamenford/io/guard"
	"cyclamenford/io/listen"
	"cyclamenford/io/loop"
	"cyclamenford/io/meter"
	"cyclamenford/io/mute"
	"cyclamenford/io/peer"
	"cyclamenford/io/pipe"
)

const (
	// sweepInterval is the time between two checks for expired idle connections.
	sweepInterval = time.Second
	// leaderCheckInterval is the time between two checks for a new leading keeper.
	leaderCheckInterval = 50 * time.Millisecond
	// headerTimeout and idleTimeout are longer than what operators configure for clients, so that the client's limit takes
	// effect first.
	headerTimeout  = 10 * core.Second
	idleTimeout    = 60 * core.Second
	maxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes limits a request body as long as the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// Control is the entry host's copy of the control state.
type Control interface {
	// Image returns the newest state that this host has applied.
	Image() state.Image
	// Changed returns a channel that is closed at the next change of the image.
	Changed() <-chan struct{}
	// ServingUntil returns until when the host holds its serving lease, 0 if it has none. The image that the lease was granted for
	// was published before.
	ServingUntil() core.Millis
	// ConfirmedAt returns the time up to which the image is known to be the newest one.
	ConfirmedAt() core.Millis
	// Holder returns the identity of this host's current incarnation.
	Holder() ledger.Holder
	// LeaderAddress returns the address of the keeper that this host takes for the leader, or an empty string.
	LeaderAddress() string
	// LeaderNamed notes that the keeper at an address, asked as the leader, has named another one.
	LeaderNamed(by, leader string)
	// LastLeaderContact returns when this host last received an answer from a leader.
	LastLeaderContact() core.Millis
}

// Options configures an Entry.
type Options struct {
	Host          core.HostID
	FailureDomain core.FailureDomain
	// ClientAddress is the address for clients' requests. ReadyAddress is the address for readiness probes.
	ClientAddress, ReadyAddress string
	// RotationDelay is how long the load balancer may still open new connections after the host has reported that it
	// is not ready.
	RotationDelay core.Millis
	// ShutdownWork is the time after which a shutdown ends the requests that are left, and ShutdownGrace the time after which it
	// closes the connections that are left.
	ShutdownWork, ShutdownGrace core.Millis
	// EndpointChoice configures the choice of endpoints for plain requests, which this host makes without the scheduler.
	EndpointChoice door.Settings
	// BufferBytes is the budget in bytes for what endpoints have sent and slow clients have not read; 0 buffers nothing.
	BufferBytes int64
}

// Entry is the HTTP front end of one entry host.
type Entry struct {
	options       Options
	control       Control
	dialect       io.Dialect
	pipe          *pipe.Client
	peers         *peer.Client
	clock         core.Clock
	guard         *guard.Guard
	meter         *meter.Meter
	log           *slog.Logger
	clientServer  *listen.Server
	readyServer   *listen.Server
	sweeper       *loop.Loop
	events        *eventQueue
	calls         *pendingCalls
	chooser       *endpointChooser
	leaderWatcher *loop.Loop
	table         atomic.Pointer[conf.Table]
	serving       servingLease
	shutdown      *shutdown
	buffers       *buffer.Pool
	// active is the number of client requests in progress.
	active atomic.Int64
	seq    atomic.Uint64
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// headerWarnings bounds the log lines about unreadable headers.
	headerWarnings *mute.Muter
}

// New returns an entry that does not listen yet.
func New(o Options, c Control, d io.Dialect, p *pipe.Client, peers *peer.Client, g *guard.Guard, clock core.Clock, m *meter.Meter, log *slog.Logger) *Entry {
	e := &Entry{options: o, control: c, dialect: d, pipe: p, peers: peers, guard: g, clock: clock, meter: m, log: log, headerWarnings: mute.New(headerWarnPeriod)}
	e.buffers = buffer.New(o.BufferBytes, clock, m, log)
	e.events = newEventQueue(o.Host, c, peers, clock, log)
	e.calls = newPendingCalls()
	e.shutdown = newShutdown(clock)
	e.chooser = newEndpointChooser(o.EndpointChoice, c, peers, e.calls, e.events, clock, m, log)
	e.leaderWatcher = loop.New(leaderCheckInterval, e.watchLeader)
	e.clientServer = listen.New(listen.Options{
		Name: "clients", Address: o.ClientAddress, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, http.HandlerFunc(e.serve), log)
	e.readyServer = listen.New(listen.Options{
		Name: "readiness", Address: o.ReadyAddress, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}, http.HandlerFunc(e.serveReadiness), log)
	e.sweeper = loop.New(sweepInterval, func(context.Context) { p.Sweep() })
	return e
}

// Start starts the background work and the listeners.
func (e *Entry) Start(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.wg.Go(func() { e.watchControl(background) })
	return errors.Join(e.sweeper.Start(ctx), e.leaderWatcher.Start(ctx), e.events.Start(ctx), e.chooser.Start(ctx), e.clientServer.Start(ctx), e.readyServer.Start(ctx))
}

// Stop reports the host as not ready and waits until the load balancer has taken it out of rotation. Then it stops
// accepting connections, lets the requests in flight finish within the grace period, and ends the background work. Requests that
// would not finish are refused before they are sent, and idle connections end before that could happen to their next request.
func (e *Entry) Stop(ctx context.Context) error {
	began := e.clock.Now()
	e.shutdown.start(e.options.ShutdownWork)
	e.log.Info("entry stops", "work_ms", e.options.ShutdownWork, "grace_ms", e.options.ShutdownGrace, "requests", e.active.Load())
	e.clientServer.Leave()
	rotation := min(e.options.RotationDelay, e.options.ShutdownGrace)
	idleEnd := min(max(0, e.shutdown.idleEnd()), rotation)
	loop.Sleep(ctx, idleEnd.Duration())
	e.clientServer.EndIdle()
	loop.Sleep(ctx, (rotation - idleEnd).Duration())
	left := max(core.Millis(1), e.options.ShutdownGrace-(e.clock.Now()-began))
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	err := e.clientServer.Stop(ctx)
	e.log.Info("client listener has stopped", "took_ms", e.clock.Now()-began, "requests", e.active.Load(), "err", err)
	e.cancel()
	e.wg.Wait()
	// Events that are still queued after the grace period are discarded: they are of no use to the scheduler any more.
	return errors.Join(err, e.events.Stop(ctx), e.chooser.Stop(ctx), e.readyServer.Stop(ctx), e.sweeper.Stop(ctx), e.leaderWatcher.Stop(ctx))
}

// watchControl applies each change of the control state: new configurations, retired endpoints and the number of hosts.
func (e *Entry) watchControl(ctx context.Context) {
	for {
		changed := e.control.Changed()
		image := e.control.Image()
		e.chooser.applyImage(image)
		e.applyConfig(image.Config)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// watchLeader cancels the calls that wait at a former leader, and notes the serving lease also while no requests come.
func (e *Entry) watchLeader(context.Context) {
	e.servingTable()
	leader := e.control.LeaderAddress()
	if leader == "" {
		return
	}
	if n := e.calls.cancelExcept(leader); n > 0 {
		e.log.Warn("leader replaced: requests are placed anew", "leader", leader, "requests", n)
	}
}

// applyConfig puts a configuration in force if it is newer than the present one. A document that cannot be parsed is logged
// and ignored.
func (e *Entry) applyConfig(c state.Config) {
	if c.Version <= e.serving.applied.Load() {
		return
	}
	defer e.serving.applied.Store(c.Version)
	began := e.clock.Now()
	config, err := e.dialect.ParseConfig(c.Doc)
	if err != nil {
		e.log.Error("configuration cannot be parsed", "version", c.Version, "err", err)
		return
	}
	e.table.Store(conf.NewTable(config))
	routes := map[string]bool{}
	for _, r := range config.Routes {
		routes[r.Name] = true
	}
	e.shutdown.retainRoutes(routes)
	now := e.clock.Now()
	e.log.Info("configuration in force", "version", c.Version, "routes", len(config.Routes), "bytes", len(c.Doc), "apply_ms", now-began,
		"confirmed_ms", now-e.control.ConfirmedAt())
}

// UpdateGauges sets the gauges of what is held for slow clients.
func (e *Entry) UpdateGauges() { e.buffers.UpdateGauges() }

// Ready reports whether the host accepts new clients: it is not stopping, has a configuration and a roll, and holds a
// serving lease.
func (e *Entry) Ready() bool {
	_, serves := e.servingTable()
	return serves && e.shutdown.elapsed() < 0 && e.chooser.hasRoll()
}

// serveReadiness answers a readiness probe with 200 or 503.
func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
