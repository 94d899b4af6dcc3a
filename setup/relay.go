package setup

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"

	"cyclamenford/core"
	"cyclamenford/core/door"
	"cyclamenford/core/kernel"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/assign"
	"cyclamenford/io/carry"
	"cyclamenford/io/disk"
	"cyclamenford/io/entry"
	"cyclamenford/io/follow"
	"cyclamenford/io/guard"
	"cyclamenford/io/keeper"
	"cyclamenford/io/listen"
	"cyclamenford/io/logs"
	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
	"cyclamenford/io/permit"
	"cyclamenford/io/pipe"
	"cyclamenford/io/record"
	"cyclamenford/io/trace"
	"cyclamenford/io/wall"
)

const (
	// memoryLimitShare is the fraction of the allowed memory above which the garbage collector works harder. The
	// rest is left for stacks and buffers.
	memoryLimitShare = 0.7
	// controlHeaderTimeout is the time limit for reading the header of an announcement or an operator's call.
	controlHeaderTimeout = 5 * core.Second
	controlIdleTimeout   = 60 * core.Second
	// metricsStopTimeout bounds the stop of the metrics listener, which precedes that of all other services.
	metricsStopTimeout = 200 * core.Millis(1)
	// A host that stops ends the requests that are left when a workReserve of its grace period is left, closes the connections
	// that are left with a closeReserve, and waits for its other services until an exitReserve is left. Load balancers and process
	// managers excuse what is cut in the last sixth of the period. maxWorkReserve bounds the reserves of long periods.
	workReserve, closeReserve, exitReserve = 1.0 / 8, 1.0 / 16, 1.0 / 32
	maxWorkReserve                         = core.Second
	// votersPerFault gives the number of voters: 2f+1 voters keep a majority after the loss of f.
	votersPerFault = 2
)

// Adapter is the adapter of a platform: its dialect, and a constructor of the handler for its control interface.
type Adapter struct {
	Dialect           io.Dialect
	NewControlHandler func(r assign.LeaderClient, port string, log *slog.Logger) http.Handler
}

// Relay is one host of a relay deployment with all its services.
type Relay struct {
	settings  RelaySettings
	adapter   Adapter
	log       *slog.Logger
	clock     core.Clock
	meter     *meter.Meter
	kernel    *kernel.Registry
	logWriter *logs.Writer
	guard     *guard.Guard
	carrier   *carry.Carrier
}

// NewRelay creates a host's services from validated settings and registers them; Start starts them.
func NewRelay(s RelaySettings, o Adapter, out *logs.Writer) (*Relay, error) {
	r := &Relay{
		settings: s, adapter: o, log: NewLogger(out, LogSettings{Level: s.Log.Level, Format: formatJSON}).With("host", s.Host.ID), clock: wall.New(),
		meter: meter.New(), kernel: kernel.New(), logWriter: out,
	}
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMb) * (1 << 20)))
	}
	for _, step := range []func() error{r.addPeers, r.addKeeper, r.addFollow, r.addDial, r.addGuard, r.addAssign, r.addControl, r.addCarryWait, r.addEntry, r.addMetrics} {
		if err := step(); err != nil {
			return nil, fmt.Errorf("wire host %s: %w", s.Host.ID, err)
		}
	}
	return r, nil
}

// Start starts the log writer, then all services in the order of their dependencies.
func (r *Relay) Start(ctx context.Context) error {
	if err := r.logWriter.Start(ctx); err != nil {
		return err
	}
	if err := r.kernel.Start(ctx); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	r.log.Info("host has started", "clients", r.settings.Listeners.Clients, "control", r.settings.Listeners.Control,
		"seeds", r.settings.Seeds, "bootstrap", r.settings.Bootstrap)
	return nil
}

// Stop shuts the host down gracefully within its grace period, less the time kept for the exit of the process.
func (r *Relay) Stop(ctx context.Context) error {
	services, cancel := context.WithTimeout(ctx, r.settings.timeUntil(exitReserve).Duration())
	defer cancel()
	r.log.Info("host is stopping", "grace_ms", r.settings.gracePeriod())
	r.carrier.Leave()
	err := r.kernel.Stop(services)
	r.log.Info("host has stopped", "err", err)
	// The last lines matter most where the services have used up their time.
	flush, cancelFlush := context.WithTimeout(context.WithoutCancel(ctx), (r.settings.gracePeriod()-r.settings.timeUntil(exitReserve)).Duration()/2)
	defer cancelFlush()
	if logErr := r.logWriter.Stop(flush); logErr != nil {
		return errors.Join(err, fmt.Errorf("flush log: %w", logErr))
	}
	return err
}

// Log returns the host's logger.
func (r *Relay) Log() *slog.Logger { return r.log }

// KeeperError returns the error that stopped the keeper, or nil while it runs or if the host has none.
func (r *Relay) KeeperError() error {
	k, err := kernel.Find[*keeper.Keeper](r.kernel, keeperService)
	if err != nil {
		// A host without a disk has no keeper.
		return nil
	}
	return k.Err()
}

func (r *Relay) localIP() net.IP {
	// Check has verified that the address is a valid IP:PORT.
	host, _, _ := net.SplitHostPort(r.settings.Listeners.Peers)
	return net.ParseIP(host)
}

func (r *Relay) addPeers() error {
	key := []byte(r.settings.Keys.Cluster)
	if err := r.kernel.Register(clientService, peer.NewClient(key, nil, r.localIP())); err != nil {
		return err
	}
	if err := r.kernel.Register(traceService, trace.New(trace.Options{Export: trace.ExportNone})); err != nil {
		return err
	}
	return r.kernel.Register(serverService, peer.NewServer(r.settings.Listeners.Peers, key, nil, r.log), clientService)
}

func (r *Relay) addKeeper() error {
	if r.settings.Host.DataFolder == "" {
		return nil
	}
	folder, err := disk.OpenFolder(r.settings.Host.DataFolder)
	if err != nil {
		return err
	}
	store, contents, err := disk.Open(folder, r.settings.Host.ID, core.Incarnation(r.clock.Unix()))
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	w := resolver{kernel: r.kernel}
	client := find[*peer.Client](&w, clientService)
	t := find[*trace.Tracer](&w, traceService)
	server := find[*peer.Server](&w, serverService)
	o := keeper.Options{
		Host: r.settings.Host.ID, Address: r.settings.Listeners.peersAddress(), Existing: !r.settings.Bootstrap,
		Voters: votersPerFault*r.settings.FaultTolerance + 1, ReplaceAfter: r.settings.Keepers.replaceAfter(),
		Quorum: r.settings.Keepers.quorum(), Trace: t,
	}
	for _, a := range r.settings.seedPeers() {
		o.Founding = append(o.Founding, keeper.FoundingKeeper{Address: a})
	}
	k, err := keeper.New(o, store, contents, client, r.clock, r.log)
	if err != nil {
		return err
	}
	if w.err != nil {
		return w.err
	}
	if err := k.Register(server); err != nil {
		return err
	}
	return w.register(keeperService, k, clientService, traceService)
}

func (r *Relay) addFollow() error {
	w := resolver{kernel: r.kernel}
	client := find[*peer.Client](&w, clientService)
	t := find[*trace.Tracer](&w, traceService)
	self := state.Host{
		ID: r.settings.Host.ID, Incarnation: core.Incarnation(r.clock.Unix()),
		FailureDomain: r.settings.Host.FailureDomain, PeerAddress: r.settings.Listeners.peersAddress(),
	}
	if k, err := kernel.Find[*keeper.Keeper](r.kernel, keeperService); err == nil {
		self.Keeper = string(k.Member())
	}
	f := follow.New(self, follow.Options{Seeds: r.settings.seedPeers(), ApplyWithin: r.settings.Keepers.ApplyMs}, client, r.clock, t, r.log)
	return w.register(followService, f, clientService, serverService)
}

// addDial adds the connections to endpoints, and those that this host carries for others.
func (r *Relay) addDial() error {
	w := resolver{kernel: r.kernel}
	f := find[*follow.Follower](&w, followService)
	client := find[*peer.Client](&w, clientService)
	server := find[*peer.Server](&w, serverService)
	if w.err != nil {
		return w.err
	}
	o := carry.Options{Host: r.settings.Host.ID, FailureDomain: r.settings.Host.FailureDomain, From: r.localIP()}
	d := carry.NewDialer(o, f, client, r.clock, r.meter, r.log)
	r.carrier = carry.NewCarrier(r.localIP(), d.Isolated, r.meter, r.log)
	server.HandleStreams(r.carrier.Serve)
	return w.register(dialService, pipe.New(pipe.Options{Dialer: d, Clock: r.clock}), followService)
}

// crashesBeforeTrial is the number of crashes after which a request runs only in trials. It is not 1, because an endpoint
// may run up to 64 requests when it crashes, and a trial for each of them would delay them all.
const crashesBeforeTrial = 2

// addGuard adds the services that quarantine requests that crash endpoints.
func (r *Relay) addGuard() error {
	w := resolver{kernel: r.kernel}
	f := find[*follow.Follower](&w, followService)
	p := find[*pipe.Client](&w, dialService)
	if w.err != nil {
		return w.err
	}
	recorder := record.New(f, r.log)
	probe := func(ctx context.Context, t core.Target) (bool, error) { return p.ProcessEnded(ctx, t.Address) }
	// Clients of the relay interpret 503 as a guarantee that the request has not run.
	o := guard.Options{CrashThreshold: crashesBeforeTrial, QuarantineStatus: http.StatusServiceUnavailable, ForwardCut: assign.LeaderClient{Follower: f}.Cut}
	r.guard = guard.New(o, f, probe, recorder, r.clock, r.meter, r.log)
	return w.register(guardService, recorder, followService, dialService)
}

func (r *Relay) addAssign() error {
	if r.settings.Host.DataFolder == "" {
		return nil
	}
	w := resolver{kernel: r.kernel}
	k := find[*keeper.Keeper](&w, keeperService)
	p := find[*pipe.Client](&w, dialService)
	client := find[*peer.Client](&w, clientService)
	server := find[*peer.Server](&w, serverService)
	if w.err != nil {
		return w.err
	}
	permits := permit.NewIssuer(k, r.clock, r.meter, r.log)
	if err := permits.Register(server); err != nil {
		return err
	}
	if err := w.register(permitService, permits, keeperService); err != nil {
		return err
	}
	o := assign.Options{AnnounceEvery: r.settings.AnnounceEveryMs, Retries: r.settings.retryLimit(), FailureDomains: r.settings.FailureDomains}
	a := assign.New(o, k, client, r.adapter.Dialect, p, r.guard, permits, r.clock, r.meter, r.log)
	if err := a.Register(server); err != nil {
		return err
	}
	return w.register(assignService, a, keeperService, dialService, guardService, permitService)
}

func (r *Relay) addControl() error {
	address := r.settings.Listeners.Control
	if address == "" {
		return nil
	}
	w := resolver{kernel: r.kernel}
	f := find[*follow.Follower](&w, followService)
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("control listener: %w", err)
	}
	handler := r.adapter.NewControlHandler(assign.LeaderClient{Follower: f}, port, r.log)
	o := listen.Options{Name: "control", Address: address, HeaderTimeout: controlHeaderTimeout, IdleTimeout: controlIdleTimeout}
	return w.register(adminService, listen.New(o, handler, r.log), followService, assignService)
}

func (r *Relay) addCarryWait() error {
	return addCarryWait(r.kernel, r.carrier, r.settings.Host.DataFolder)
}

func (r *Relay) addEntry() error {
	if r.settings.Listeners.Clients == "" {
		return nil
	}
	w := resolver{kernel: r.kernel}
	f := find[*follow.Follower](&w, followService)
	p := find[*pipe.Client](&w, dialService)
	// Placement calls use their own connections, so that a lost packet on one of them is not mistaken for a lost leader.
	client := peer.NewClient([]byte(r.settings.Keys.Cluster), nil, r.localIP())
	if err := r.kernel.Register(placeService, client); err != nil {
		return err
	}
	o := entry.Options{
		Host: r.settings.Host.ID, FailureDomain: r.settings.Host.FailureDomain,
		ClientAddress: r.settings.Listeners.Clients, ReadyAddress: r.settings.Listeners.Ready,
		RotationDelay: r.settings.RotationMs,
		ShutdownWork:  r.settings.timeUntil(workReserve), ShutdownGrace: r.settings.timeUntil(closeReserve),
		BufferBytes:    r.settings.bufferBytes(),
		EndpointChoice: door.Settings{Retries: r.settings.retryLimit(), UnlistedGrace: assign.MaxSilence(r.settings.AnnounceEveryMs)},
	}
	e := entry.New(o, f, r.adapter.Dialect, p, client, r.guard, r.clock, r.meter, r.log)
	return w.register(frontService, e, followService, dialService, placeService, guardService)
}

func (r *Relay) addMetrics() error {
	address := r.settings.Listeners.Metrics
	if address == "" {
		return nil
	}
	w := resolver{kernel: r.kernel}
	f := find[*follow.Follower](&w, followService)
	if w.err != nil {
		return w.err
	}
	reports := []func(){func() { f.UpdateGauges(r.meter) }}
	if r.settings.Host.DataFolder != "" {
		k, a := find[*keeper.Keeper](&w, keeperService), find[*assign.Assigner](&w, assignService)
		if w.err != nil {
			return w.err
		}
		reports = append(reports, func() { k.UpdateGauges(r.meter) }, a.Report)
	}
	if r.settings.Listeners.Clients != "" {
		e := find[*entry.Entry](&w, frontService)
		if w.err != nil {
			return w.err
		}
		reports = append(reports, e.UpdateGauges)
	}
	handler := http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		for _, report := range reports {
			report()
		}
		if err := r.meter.Write(out); err != nil {
			r.log.Debug("write metrics response", "err", err)
		}
	})
	o := listen.Options{
		Name: "metrics", Address: address, HeaderTimeout: controlHeaderTimeout, IdleTimeout: controlIdleTimeout, StopTimeout: metricsStopTimeout,
	}
	return r.kernel.Register(metricsService, listen.New(o, handler, r.log))
}

// Reload applies the settings that may change while the host runs, which are the seeds.
func (r *Relay) Reload(s RelaySettings) error {
	f, err := kernel.Find[*follow.Follower](r.kernel, followService)
	if err != nil {
		return err
	}
	f.SetSeeds(s.seedPeers())
	r.log.Info("settings reloaded", "seeds", s.Seeds)
	return nil
}
