package setup

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"cyclamenford/core/kernel"
	"cyclamenford/core/state"
	"cyclamenford/io/assign"
	"cyclamenford/io/carry"
	"cyclamenford/io/keeper"
	"cyclamenford/io/logs"
	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
	"cyclamenford/io/wall"
)

// publishedHosts is a published state with one host.
type publishedHosts string

func (p publishedHosts) Image() state.Image {
	image := state.EmptyImage()
	image.Hosts["keeper"] = state.Host{PeerAddress: string(p), FailureDomain: "b"}
	return image
}

func refuse(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: unix.ECONNREFUSED}
}

// startKeeper starts a host whose keeper is the only one, and returns it with its peer address once it leads.
func startKeeper(t *testing.T) (*Relay, *keeper.Keeper, string) {
	var addresses []string
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		addresses = append(addresses, l.Addr().String())
		must.NoError(t, l.Close())
	}
	s := RelayDefaults()
	s.Host.ID, s.Host.FailureDomain, s.Host.DataFolder = "keeper", "b", t.TempDir()
	s.Listeners.Peers, s.Listeners.Control, s.Seeds = addresses[0], addresses[1], addresses[1:]
	s.Bootstrap, s.Keys.Cluster = true, "a secret of the test"
	_, port, err := net.SplitHostPort(addresses[0])
	must.NoError(t, err)
	s.PeerPort, err = strconv.Atoi(port)
	must.NoError(t, err)
	control := func(assign.LeaderClient, string, *slog.Logger) http.Handler { return http.NotFoundHandler() }
	r, err := NewRelay(s, Adapter{NewControlHandler: control}, logs.New(io.Discard, 1<<20, wall.New()))
	must.NoError(t, err)
	must.NoError(t, r.Start(context.Background()))
	k, err := kernel.Find[*keeper.Keeper](r.kernel, keeperService)
	must.NoError(t, err)
	for range 1000 {
		if _, leads := k.Leading(); leads {
			return r, k, addresses[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the keeper does not lead")
	return nil, nil, ""
}

// TestAKeeperGoesOnWhileItsStoppingHostCarries guards against a keeper that is missing from its quorum while its host waits for carried connections.
func TestAKeeperGoesOnWhileItsStoppingHostCarries(t *testing.T) {
	r, k, address := startKeeper(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	o := carry.Options{Host: "self", FailureDomain: "a", Direct: refuse}
	d := carry.NewDialer(o, publishedHosts(address), peer.NewClient([]byte("a secret of the test"), nil, nil), wall.New(), meter.New(), slog.New(slog.DiscardHandler))
	conn, _, err := d.Dial(context.Background(), l.Addr().String())
	must.NoError(t, err)
	endpoint, err := l.Accept()
	must.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- r.Stop(context.Background()) }()
	time.Sleep(4 * time.Second)
	_, leads := k.Leading()
	must.True(t, leads, must.Sprint("the keeper has stopped before the stream has ended"))
	_, err = io.WriteString(endpoint, "rest")
	must.NoError(t, err)
	must.NoError(t, endpoint.Close())
	rest, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, "rest", string(rest))
	must.NoError(t, conn.Close())
	select {
	case err := <-stopped:
		must.NoError(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("the host waits though it carries nothing")
	}
}
