package carry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cyclamenford/core"
	"cyclamenford/core/reach"
	"cyclamenford/core/state"
	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
	"cyclamenford/io/sock"
)

const (
	// DialTimeout allows for many round trips inside a region; an endpoint that does not answer within it is considered dead.
	DialTimeout = 400 * time.Millisecond
	// maxCarriers is the number of carriers that are asked for one connection, and maxRefusals the number of them that must have been
	// refused by the endpoint's machine for it to count as refusing.
	maxCarriers, maxRefusals = 8, 3
)

// ErrNoCarrier means that no carrier has connected to the endpoint.
var ErrNoCarrier = errors.New("no carrier has connected to the endpoint")

// Hosts is the published list of hosts.
type Hosts interface {
	Image() state.Image
}

// Options configures a Dialer.
type Options struct {
	Host          core.HostID
	FailureDomain core.FailureDomain
	// From is the local address of connections to endpoints, nil for any.
	From net.IP
	// Direct opens a connection to an endpoint from this host; nil dials From From.
	Direct func(ctx context.Context, network, address string) (net.Conn, error)
	// OnIsolated, if not nil, is called when this host begins to count as isolated, so that idle connections can be closed.
	OnIsolated func()
}

// Dialer opens connections to endpoints, through a carrier where this host has no link to them. Its methods may be called concurrently.
type Dialer struct {
	direct     func(ctx context.Context, network, address string) (net.Conn, error)
	onIsolated func()
	hosts      Hosts
	peers      *peer.Client
	clock      core.Clock
	meter      *meter.Meter
	log        *slog.Logger

	mu       sync.Mutex
	tracker  *reach.Tracker
	carriers *reach.Carriers
}

// NewDialer returns a dialer that finds carriers among the published hosts.
func NewDialer(o Options, hosts Hosts, peers *peer.Client, clock core.Clock, m *meter.Meter, log *slog.Logger) *Dialer {
	if o.Direct == nil {
		d := sock.Dialer(o.From, DialTimeout)
		o.Direct = d.DialContext
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if o.OnIsolated == nil {
		o.OnIsolated = func() {}
	}
	return &Dialer{
		direct: o.Direct, onIsolated: o.OnIsolated, hosts: hosts, peers: peers, clock: clock, meter: m, log: log,
		tracker: reach.NewTracker(), carriers: reach.NewCarriers(o.Host, o.FailureDomain, rng),
	}
}

// Isolated reports whether this host is taken to reach no endpoint itself.
func (d *Dialer) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Isolated()
}

// attempt is the result of one way to an endpoint. refused means that the machine of the endpoint has refused the connection, or that there is no
// host which could carry one. marked means that the carrier marks the endpoint's end.
type attempt struct {
	way             reach.Way
	conn            net.Conn
	carrier         string
	marked, refused bool
	err             error
}

// Dial connects to the endpoint at an address. It returns the peer address of the carrier, empty if the connection is direct. An error wraps
// unix.ECONNREFUSED only if the machine of the endpoint has refused this host and all carriers that were asked.
func (d *Dialer) Dial(ctx context.Context, address string) (conn net.Conn, carrier string, err error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	d.probe(address)
	results := make(chan attempt, 2)
	d.mu.Lock()
	first := d.tracker.First(d.clock.Now(), address)
	d.mu.Unlock()
	pair := &evidence{refused: map[reach.Way]bool{}}
	d.begin(ctx, first, address, pair, results)
	other := time.After(reach.DirectHeadStart.Duration())
	began, ended := 1, 0
	var errs []error
	for ended < began || began < 2 {
		select {
		case <-other:
			if began < 2 {
				d.begin(ctx, opposite(first), address, pair, results)
				began++
			}
		case a := <-results:
			if a.err == nil {
				go closeOther(results, began-ended-1)
				d.meter.Count("endpoint_connections_total", 1, "way", string(a.way))
				return a.conn, a.carrier, nil
			}
			ended++
			errs = append(errs, a.err)
			if began < 2 {
				d.begin(ctx, opposite(first), address, pair, results)
				began++
			}
		case <-ctx.Done():
			go closeOther(results, began-ended)
			return nil, "", errors.Join(pair.failure(address, errs), ctx.Err())
		}
	}
	return nil, "", pair.failure(address, errs)
}

// DialContext is Dial for callers that need not know the carrier.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	conn, _, err := d.Dial(ctx, address)
	return conn, err
}

func opposite(w reach.Way) reach.Way {
	if w == reach.Direct {
		return reach.Carried
	}
	return reach.Direct
}

// closeOther closes the connections of the attempts that are still in progress.
func closeOther(results <-chan attempt, n int) {
	for range n {
		if a := <-results; a.err == nil {
			_ = a.conn.Close()
		}
	}
}

// begin tries a way in the background. A direct attempt goes on when the caller has another connection or has left, since its result tells
// whether this host has links.
func (d *Dialer) begin(ctx context.Context, way reach.Way, address string, pair *evidence, results chan<- attempt) {
	go func() {
		a := attempt{way: way}
		if way == reach.Direct {
			direct, cancel := context.WithTimeout(context.WithoutCancel(ctx), DialTimeout)
			defer cancel()
			a.conn, a.err = d.direct(direct, "tcp", address)
			a.refused = errors.Is(a.err, unix.ECONNREFUSED)
			d.recordDirect(address, a.err)
		} else {
			a = d.dialCarried(ctx, address)
		}
		if pair.add(a) {
			d.recordDetour(address)
		}
		results <- a
	}()
}

// probe tries to connect directly beside an isolated host's connection, if it is time.
func (d *Dialer) probe(address string) {
	d.mu.Lock()
	due := d.tracker.ProbeDue(d.clock.Now())
	d.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
		defer cancel()
		conn, err := d.direct(ctx, "tcp", address)
		d.recordDirect(address, err)
		if err == nil {
			_ = conn.Close()
		}
	}()
}

func (d *Dialer) recordDirect(address string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracker.RecordDirect(address, err == nil) {
		d.log.Info("host reaches endpoints again", "address", address)
	}
	d.meter.SetGauge("host_isolated", gauge(d.tracker.Isolated()))
}

func (d *Dialer) recordDetour(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracker.RecordDetour(d.clock.Now(), address) {
		d.log.Warn("host reaches no endpoint itself; connections are carried by other hosts", "address", address)
		go d.onIsolated()
	}
	d.meter.SetGauge("host_isolated", gauge(d.tracker.Isolated()))
}

func gauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
