package setup

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"

	"cyclamenford/core"
	"cyclamenford/core/kernel"
	"cyclamenford/core/state"
	"cyclamenford/io/broker"
	"cyclamenford/io/carry"
	"cyclamenford/io/certs"
	"cyclamenford/io/disk"
	"cyclamenford/io/follow"
	"cyclamenford/io/keeper"
	"cyclamenford/io/meter"
	"cyclamenford/io/wall"
)

// The names under which a host's services are registered with the kernel.
const (
	traceService        = "Trace"
	clientService       = "PeerClient"
	serverService       = "PeerServer"
	keeperService       = "Keeper"
	followService       = "Follow"
	brokerService       = "Broker"
	dialService         = "Dial"
	carryService        = "Carry"
	shareService        = "Share"
	runnerService       = "Runner"
	greetService        = "Greet"
	adminService        = "Admin"
	frontService        = "Front"
	issuerService       = "Issuer"
	assignService       = "Assign"
	metricsService      = "Metrics"
	placeService        = "PlaceClient"
	guardService        = "Guard"
	permitService       = "Permit"
	permitClientService = "PermitClient"
)

// App is one host with all its services.
type App struct {
	settings Settings
	log      *slog.Logger
	clock    core.Clock
	meter    *meter.Meter
	kernel   *kernel.Registry
	carrier  *carry.Carrier
}

// NewApp creates a host's services from validated settings and registers them; Start starts them.
func NewApp(s Settings, log *slog.Logger) (*App, error) {
	a := &App{
		settings: s, log: log.With("host", s.Host.ID), clock: wall.New(), meter: meter.New(), kernel: kernel.New(),
	}
	steps := []func() error{
		a.addTrace, a.addPeers, a.addKeeper, a.addFollow, a.addBroker, a.addShare,
		a.addPermits, a.addDial, a.addRunner, a.addIssuer, a.addServer, a.addGreet, a.addAdmin, a.addCarryWait, a.addFront,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, fmt.Errorf("wire host %s: %w", s.Host.ID, err)
		}
	}
	return a, nil
}

// Start starts all services in the order of their dependencies.
func (a *App) Start(ctx context.Context) error {
	if err := a.kernel.Start(ctx); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	a.log.Info("host has started", "callers", a.settings.Listeners.Callers)
	return nil
}

// Stop shuts the host down gracefully within Callers.ShutdownMs.
func (a *App) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.settings.Callers.ShutdownMs.Duration())
	defer cancel()
	a.log.Info("host is stopping")
	a.carrier.Leave()
	if err := a.kernel.Stop(ctx); err != nil {
		return fmt.Errorf("stop host: %w", err)
	}
	a.log.Info("host has stopped")
	return nil
}

// Kill stops the host without a grace period, as a crash would. It serves tests that run several hosts in one process.
func (a *App) Kill() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return a.kernel.Stop(ctx)
}

// Ready reports whether the host holds its serving lease.
func (a *App) Ready() bool {
	f, err := kernel.Find[*follow.Follower](a.kernel, followService)
	return err == nil && f.Serving()
}

// Meter returns the host's metrics.
func (a *App) Meter() *meter.Meter {
	return a.meter
}

// Broker returns the service that schedules the host's requests.
func (a *App) Broker() (*broker.Broker, error) {
	return kernel.Find[*broker.Broker](a.kernel, brokerService)
}

// serverTLS returns the TLS configuration of a listener, or nil for plain text.
func serverTLS(f certs.Files) (*tls.Config, error) {
	if !f.Configured() {
		return nil, nil
	}
	source, err := certs.New(f)
	if err != nil {
		return nil, err
	}
	return source.ServerConfig()
}

// clientTLS returns the TLS configuration of outgoing connections, or nil for plain text.
func clientTLS(f certs.Files) (*tls.Config, error) {
	if !f.Configured() {
		return nil, nil
	}
	source, err := certs.New(f)
	if err != nil {
		return nil, err
	}
	return source.ClientConfig()
}

func (a *App) keeperOptions() keeper.Options {
	o := keeper.Options{
		Host: a.settings.Host.ID, Address: a.settings.Listeners.peersAddress(), Voters: a.settings.Keepers.Voters,
		ReplaceAfter: a.settings.Keepers.replaceAfter(), Quorum: a.settings.Keepers.quorum(),
	}
	for _, f := range a.settings.Founding {
		o.Founding = append(o.Founding, keeper.FoundingKeeper{ID: f.ID, Address: f.Address})
	}
	if o.Voters == 0 {
		o.Voters = max(1, len(o.Founding))
	}
	return o
}

// openStore opens the data folder and reads its contents. It returns a nil store for a host without a disk.
func (a *App) openStore() (*disk.Store, disk.Contents, error) {
	if a.settings.Host.DataFolder == "" {
		return nil, disk.Contents{}, nil
	}
	folder, err := disk.OpenFolder(a.settings.Host.DataFolder)
	if err != nil {
		return nil, disk.Contents{}, err
	}
	store, contents, err := disk.Open(folder, a.settings.Host.ID, core.Incarnation(a.clock.Unix()))
	if err != nil {
		return nil, contents, fmt.Errorf("open data folder: %w", err)
	}
	if contents.TornBytes > 0 {
		a.log.Warn("truncated an incomplete last record of the data folder", "bytes", contents.TornBytes)
	}
	return store, contents, nil
}

// localIP returns the source address of outgoing connections, or nil if the peer listener has no specific IP.
func (a *App) localIP() net.IP {
	host, _, err := net.SplitHostPort(a.settings.Listeners.Peers)
	if err != nil {
		return nil
	}
	if ip := net.ParseIP(host); !ip.IsUnspecified() {
		return ip
	}
	return nil
}

// hostRecord returns this host's entry in the replicated state, with a new incarnation.
func (a *App) hostRecord() (state.Host, error) {
	h := state.Host{
		ID: a.settings.Host.ID, Incarnation: core.Incarnation(a.clock.Unix()),
		FailureDomain: a.settings.Host.FailureDomain, PeerAddress: a.settings.Listeners.peersAddress(),
	}
	k, err := kernel.Find[*keeper.Keeper](a.kernel, keeperService)
	switch {
	case err == nil:
		h.Keeper = string(k.Member())
	case !errors.Is(err, kernel.ErrNotFound):
		return h, err
	}
	return h, nil
}
