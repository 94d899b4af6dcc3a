package carry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"cyclamenford/core"
	"cyclamenford/core/state"
	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
	"cyclamenford/io/pipe"
	"cyclamenford/io/wall"
)

const testKey = "a secret of the test"

// directFunc is how a host of a test connects to endpoints itself.
type directFunc func(ctx context.Context, network, address string) (net.Conn, error)

// hang waits as a connection attempt into a partition does.
func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// refuse refuses as the machine of an ended process does, or a partition.
func refuse(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: unix.ECONNREFUSED}
}

type published struct{ image state.Image }

func (p published) Image() state.Image { return p.image }

// carrierHost is a host that may carry connections.
type carrierHost struct {
	carrier *Carrier
	server  *peer.Server
	address string
	domain  core.FailureDomain
}

// startCarrier starts a host that connects to endpoints by direct, or as usual if that is nil.
func startCarrier(t *testing.T, direct directFunc, isolated bool) carrierHost {
	return startCarrierIn(t, "a", direct, isolated)
}

// startCarrierIn is startCarrier in a failure domain.
func startCarrierIn(t *testing.T, domain core.FailureDomain, direct directFunc, isolated bool) carrierHost {
	c := NewCarrier(nil, func() bool { return isolated }, meter.New(), slog.New(slog.DiscardHandler))
	if direct != nil {
		c.dial = direct
	}
	h := startServing(t, c.Serve)
	h.carrier, h.domain = c, domain
	return h
}

// startServing starts a host that serves streams by a function.
func startServing(t *testing.T, serve func(net.Conn)) carrierHost {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	s := peer.NewServer(address, []byte(testKey), nil, slog.New(slog.DiscardHandler))
	s.HandleStreams(serve)
	must.NoError(t, s.Start(context.Background()))
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx)
	})
	return carrierHost{server: s, address: address}
}

// dialerWith returns the dialer of a host that connects to endpoints by direct, among the given other hosts.
func dialerWith(direct directFunc, others ...carrierHost) *Dialer {
	image := state.EmptyImage()
	for i, h := range others {
		image.Hosts[core.HostID(fmt.Sprint("host-", i))] = state.Host{PeerAddress: h.address, FailureDomain: h.domain}
	}
	o := Options{Host: "self", FailureDomain: "a", Direct: direct}
	return NewDialer(o, published{image}, peer.NewClient([]byte(testKey), nil, nil), wall.New(), meter.New(), slog.New(slog.DiscardHandler))
}

// get sends a request to an endpoint, and returns its answer's body.
func get(d *Dialer, address string) (body, carrier string, err error) {
	c := pipe.New(pipe.Options{Dialer: d, Clock: wall.New()})
	resp, err := c.Do(context.Background(), pipe.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "endpoint", Header: http.Header{}})
	if err != nil {
		return "", "", err
	}
	defer resp.Close()
	raw, err := resp.ReadAll(1 << 20)
	return string(raw), resp.Carrier, err
}

func addressOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// TestAHostWithoutLinksToEndpointsReachesThemThroughOthers guards against callers that are not served by a host which is cut off from all endpoints.
func TestAHostWithoutLinksToEndpointsReachesThemThroughOthers(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	defer endpoint.Close()
	second := httptest.NewServer(endpoint.Config.Handler)
	defer second.Close()
	sound := startCarrierIn(t, "b", nil, false)
	var domain []carrierHost
	for range 6 {
		domain = append(domain, startCarrier(t, refuse, false))
	}
	for name, row := range map[string]struct {
		direct directFunc
		others []carrierHost
	}{
		"connections hang":                         {hang, []carrierHost{sound}},
		"connections are refused":                  {refuse, []carrierHost{sound}},
		"another host is cut off and knows it":     {refuse, []carrierHost{startCarrier(t, refuse, true), sound}},
		"another host is cut off without its news": {hang, []carrierHost{startCarrier(t, hang, false), sound}},
		"another host is refused as well":          {refuse, []carrierHost{startCarrier(t, refuse, false), sound}},
		"a whole failure domain is refused":        {refuse, append(domain, sound)},
		"another host is gone":                     {refuse, []carrierHost{{address: "127.0.0.1:1"}, sound}},
	} {
		t.Run(name, func(t *testing.T) {
			d := dialerWith(row.direct, row.others...)
			for _, s := range []*httptest.Server{endpoint, second} {
				body, carrier, err := get(d, addressOf(s))
				must.NoError(t, err)
				must.Eq(t, "whole", body)
				must.Eq(t, sound.address, carrier)
			}
			for range 100 {
				if d.Isolated() {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			t.Fatal("the host does not know that it is cut off")
		})
	}
}

// TestLostEndpointsDoNotIsolateAHost guards against a host that sends everything through others because endpoints are gone.
func TestLostEndpointsDoNotIsolateAHost(t *testing.T) {
	d := dialerWith(refuse, startCarrier(t, refuse, false), startCarrier(t, refuse, false))
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		_, _, err := d.Dial(context.Background(), address)
		must.ErrorIs(t, err, unix.ECONNREFUSED)
	}
	must.False(t, d.Isolated())
}

// TestARefusalThatNoOtherHostConfirmsProvesNothing guards against a sound endpoint that is taken for ended by a host which a partition refuses.
func TestARefusalThatNoOtherHostConfirmsProvesNothing(t *testing.T) {
	d := dialerWith(refuse, startCarrier(t, refuse, false), startCarrier(t, hang, false))
	_, _, err := d.Dial(context.Background(), "127.0.0.1:1")
	must.ErrorIs(t, err, errNoWay)
	must.False(t, errors.Is(err, unix.ECONNREFUSED))
	alone := dialerWith(refuse)
	_, _, err = alone.Dial(context.Background(), "127.0.0.1:1")
	must.ErrorIs(t, err, unix.ECONNREFUSED)
}

// TestAConnectionIsGivenUpWithItsCaller guards against a crash of the host when a caller leaves before either way has failed.
func TestAConnectionIsGivenUpWithItsCaller(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, _, err := dialerWith(hang, startCarrier(t, hang, false)).Dial(ctx, "127.0.0.1:1")
	must.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestAHealedHostConnectsDirectly guards against a host that goes on through others once it reaches endpoints again.
func TestAHealedHostConnectsDirectly(t *testing.T) {
	endpoint := httptest.NewServer(http.NotFoundHandler())
	defer endpoint.Close()
	second := httptest.NewServer(http.NotFoundHandler())
	defer second.Close()
	healed := make(chan struct{})
	direct := func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-healed:
			return new(net.Dialer).DialContext(ctx, network, address)
		default:
			return refuse(ctx, network, address)
		}
	}
	d := dialerWith(direct, startCarrier(t, nil, false))
	for _, s := range []*httptest.Server{endpoint, second} {
		_, _, err := get(d, addressOf(s))
		must.NoError(t, err)
	}
	must.True(t, d.Isolated())
	close(healed)
	for range 200 {
		if _, carrier, err := get(d, addressOf(endpoint)); err == nil && carrier == "" {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the host goes on through others")
}

// TestACarriedAnswerEndsAsItsEndpointEndedIt guards against an answer without a length that counts as whole though its endpoint has reset the connection.
func TestACarriedAnswerEndsAsItsEndpointEndedIt(t *testing.T) {
	for name, reset := range map[string]bool{"in order": false, "with a reset": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { must.NoError(t, l.Close()) }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
				time.Sleep(50 * time.Millisecond)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			body, _, err := get(dialerWith(refuse, startCarrier(t, nil, false)), l.Addr().String())
			if reset {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			must.Eq(t, "part", body)
		})
	}
}

// TestACarrierLeavesNoWorkBehindItsClient guards against an endpoint that works on for a client that has left.
func TestACarrierLeavesNoWorkBehindItsClient(t *testing.T) {
	left := make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}))
	defer endpoint.Close()
	conn, _, err := dialerWith(refuse, startCarrier(t, nil, false)).Dial(context.Background(), addressOf(endpoint))
	must.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: endpoint\r\n\r\n")
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	must.NoError(t, conn.Close())
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Fatal("the endpoint works on")
	}
}

// TestACarrierThatStopsFinishesWhatItCarries guards against answers that are cut by the planned stop of a carrier.
func TestACarrierThatStopsFinishesWhatItCarries(t *testing.T) {
	stopping := make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-stopping
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}))
	defer endpoint.Close()
	host := startCarrier(t, nil, false)
	d := dialerWith(refuse, host)
	done := make(chan error, 1)
	go func() {
		body, _, err := get(d, addressOf(endpoint))
		if err == nil && body != "whole" {
			err = fmt.Errorf("the answer is %q", body)
		}
		done <- err
	}()
	for host.carrier.carried.Load() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	host.carrier.Leave()
	_, _, err := d.Dial(context.Background(), addressOf(endpoint))
	must.Error(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	close(stopping)
	must.NoError(t, host.server.Stop(ctx))
	must.NoError(t, <-done)
	must.Zero(t, host.carrier.carried.Load())
}

// TestConnectionsThatAStopResetsAreToldApart guards against a planned stop that looks like a host that has left, in log and metrics.
func TestConnectionsThatAStopResetsAreToldApart(t *testing.T) {
	address, sent := halfAnswers(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
	host := startCarrier(t, nil, false)
	go func() {
		<-sent
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_ = host.server.Stop(ctx)
	}()
	body, _, err := get(dialerWith(refuse, host), address)
	must.Error(t, err, must.Sprintf("%q looks whole", body))
	for host.carrier.carried.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	var metrics strings.Builder
	must.NoError(t, host.carrier.meter.Write(&metrics))
	must.StrContains(t, metrics.String(), `carried_connections_ended_total{ended="Stop"} 1`)
}
