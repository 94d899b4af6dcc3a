package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// echoService is an RPC service with a method that answers and one that blocks.
type echoService struct{ stall chan struct{} }

// Say returns its argument.
func (echoService) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// Stall blocks until the stall channel is closed.
func (e echoService) Stall(_ string, _ *string) error {
	<-e.stall
	return nil
}

func startServer(t *testing.T, key string) string {
	stall := make(chan struct{})
	address := startEcho(t, key, stall)
	// Cleanup functions run in reverse order: the stalled calls must end before the server stops, which waits for them.
	t.Cleanup(func() { close(stall) })
	return address
}

// startStalling starts a server and returns the channel that the test must close to end the stalled calls.
func startStalling(t *testing.T) (string, chan struct{}) {
	stall := make(chan struct{})
	return startEcho(t, "the right key", stall), stall
}

func startEcho(t *testing.T, key string, stall chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	s := NewServer(address, []byte(key), nil, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Register("Echo", echoService{stall}))
	must.NoError(t, s.Start(context.Background()))
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return address
}

// TestCallsNeedTheDeploymentsKey guards against a server that runs calls of a client with another key.
func TestCallsNeedTheDeploymentsKey(t *testing.T) {
	address := startServer(t, "the right key")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply string
	right := NewClient([]byte("the right key"), nil, nil)
	must.NoError(t, right.Call(ctx, address, "Echo.Say", "hello", &reply))
	must.Eq(t, "hello", reply)
	wrong := NewClient([]byte("another key"), nil, nil)
	must.ErrorIs(t, wrong.Call(ctx, address, "Echo.Say", "hello", &reply), ErrNotSent)
}

// TestAStalledCallEndsInTimeAndTheNextGetsANewConnection guards against calls that exceed their deadline, and against
// new calls on a link that may be partitioned.
func TestAStalledCallEndsInTimeAndTheNextGetsANewConnection(t *testing.T) {
	address := startServer(t, "the right key")
	c := NewClient([]byte("the right key"), nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var reply string
	err := c.Call(ctx, address, "Echo.Stall", "x", &reply)
	must.True(t, errors.Is(err, context.DeadlineExceeded))
	must.NoError(t, c.Call(context.Background(), address, "Echo.Say", "again", &reply))
	must.Eq(t, "again", reply)
}

// TestACallOutOfTimeLeavesTheOthersOnItsLinkAlone guards against a link that is closed as soon as one call exceeds its
// deadline, which would fail longer calls in progress on it.
func TestACallOutOfTimeLeavesTheOthersOnItsLinkAlone(t *testing.T) {
	address, stall := startStalling(t)
	c := NewClient([]byte("the right key"), nil, nil)
	long := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		var reply string
		long <- c.Call(ctx, address, "Echo.Stall", "long", &reply)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var reply string
	must.ErrorIs(t, c.Call(ctx, address, "Echo.Stall", "short", &reply), context.DeadlineExceeded)
	must.NoError(t, c.Call(context.Background(), address, "Echo.Say", "on a new link", &reply))
	close(stall)
	must.NoError(t, <-long)
}

// TestASilentHostHoldsNoSecondCallerUp guards against a caller that waits for another caller's handshake after its own
// context has ended.
func TestASilentHostHoldsNoSecondCallerUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	c := NewClient([]byte("the right key"), nil, nil)
	first := make(chan error, 1)
	go func() {
		var reply string
		first <- c.Call(context.Background(), l.Addr().String(), "Echo.Say", "x", &reply)
	}()
	// The first caller now waits for the host to send its part of the handshake.
	raw, err := l.Accept()
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var reply string
	must.ErrorIs(t, c.Call(ctx, l.Addr().String(), "Echo.Say", "x", &reply), context.Canceled)
	must.NoError(t, raw.Close())
	must.ErrorIs(t, <-first, ErrNotSent)
}

// TestTheFirstCallAfterARestartArrives guards against calls over a connection that the other host's former process has closed: a lost vote
// costs the keepers another election.
func TestTheFirstCallAfterARestartArrives(t *testing.T) {
	c := NewClient([]byte("the right key"), nil, nil)
	address := ""
	for range 3 {
		if address == "" {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			address = l.Addr().String()
			must.NoError(t, l.Close())
		}
		s := NewServer(address, []byte("the right key"), nil, slog.New(slog.DiscardHandler))
		must.NoError(t, s.Register("Echo", echoService{}))
		must.NoError(t, s.Start(t.Context()))
		var reply string
		must.NoError(t, c.Call(t.Context(), address, "Echo.Say", "hello", &reply))
		must.NoError(t, s.Stop(t.Context()))
		// The end of the connection reaches the client.
		time.Sleep(100 * time.Millisecond)
	}
}
