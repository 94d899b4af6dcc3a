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

type echo struct{ stall chan struct{} }

// Say returns its argument.
func (echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// Stall waits until the test ends.
func (e echo) Stall(_ string, _ *string) error {
	<-e.stall
	return nil
}

func startServer(t *testing.T, key string) string {
	stall := make(chan struct{})
	address := startEcho(t, key, stall)
	// The server stops after this, since it waits for its calls.
	t.Cleanup(func() { close(stall) })
	return address
}

// startStalling starts a server whose stalled calls end when the channel is closed, which the test must do.
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
	must.NoError(t, s.Register("Echo", echo{stall}))
	must.NoError(t, s.Start(context.Background()))
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return address
}

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

// TestACallOutOfTimeLeavesTheOthersOnItsLinkAlone holds that a short call which the other host answers too late does not
// fail the longer ones in progress there.
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
	// The first caller now waits for the silent host's part of the handshake.
	raw, err := l.Accept()
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var reply string
	must.ErrorIs(t, c.Call(ctx, l.Addr().String(), "Echo.Say", "x", &reply), context.Canceled)
	must.NoError(t, raw.Close())
	must.ErrorIs(t, <-first, ErrNotSent)
}
