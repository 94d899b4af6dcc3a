package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// TestCallsInProgressAtAStopGetTheirReplies guards against a stop that closes connections beneath calls that have run.
func TestCallsInProgressAtAStopGetTheirReplies(t *testing.T) {
	stall := make(chan struct{})
	service := &countingService{stall: stall}
	s := NewServer("127.0.0.1:0", []byte("key"), nil, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Register("Count", service))
	must.NoError(t, s.Start(context.Background()))
	const calls = 64
	var answered sync.WaitGroup
	failed := make(chan error, calls)
	c := NewClient([]byte("key"), nil, nil)
	for range calls {
		answered.Go(func() {
			var reply string
			if err := c.Call(context.Background(), s.listener.Addr().String(), "Count.Run", "", &reply); err != nil {
				failed <- err
			}
		})
	}
	for service.begun() < calls {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error)
	go func() { stopped <- s.Stop(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	close(stall)
	answered.Wait()
	must.NoError(t, <-stopped)
	must.Eq(t, 0, len(failed), must.Sprintf("of %d calls that have run", calls))
}

// TestACallThatDoesNotEndHoldsAStopUpOnlyForItsTime guards against a stop that waits for a call beyond the end of its context.
func TestACallThatDoesNotEndHoldsAStopUpOnlyForItsTime(t *testing.T) {
	stall := make(chan struct{})
	defer close(stall)
	service := &countingService{stall: stall}
	s := NewServer("127.0.0.1:0", []byte("key"), nil, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Register("Count", service))
	must.NoError(t, s.Start(context.Background()))
	failed := make(chan error, 1)
	go func() {
		var reply string
		failed <- NewClient([]byte("key"), nil, nil).Call(context.Background(), s.listener.Addr().String(), "Count.Run", "", &reply)
	}()
	for service.begun() < 1 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(ctx) }()
	select {
	case err := <-stopped:
		must.ErrorIs(t, err, context.DeadlineExceeded)
	case <-time.After(5 * time.Second):
		t.Fatal("the stop waits for the call")
	}
	must.Error(t, <-failed)
}

// startStreams starts a server whose streams are served by serve, and returns it with the open end of a stream.
func startStreams(t *testing.T, serve func(conn net.Conn)) (*Server, net.Conn) {
	s := NewServer("127.0.0.1:0", []byte("key"), nil, slog.New(slog.DiscardHandler))
	s.HandleStreams(serve)
	must.NoError(t, s.Start(context.Background()))
	conn, err := NewClient([]byte("key"), nil, nil).OpenStream(context.Background(), s.listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.ReadFull(conn, make([]byte, 1))
	must.NoError(t, err)
	return s, conn
}

// TestAStreamThatEndsWithinAStopIsNotCut guards against sound streams of other hosts that a planned stop cuts though there is time left.
func TestAStreamThatEndsWithinAStopIsNotCut(t *testing.T) {
	t.Parallel()
	s, conn := startStreams(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "x")
		time.Sleep(4 * time.Second)
		_, _ = io.WriteString(conn, "rest")
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	must.NoError(t, s.Stop(ctx))
	must.Less(t, 8*time.Second, time.Since(began), must.Sprint("the stop waits for a stream that has ended"))
	rest, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, "rest", string(rest))
}

// TestAStreamThatAStopCutsDoesNotEndInOrder guards against a part of an answer that looks whole to another host, as the end of its time is an end in order.
func TestAStreamThatAStopCutsDoesNotEndInOrder(t *testing.T) {
	t.Parallel()
	s, conn := startStreams(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "x")
		_, _ = io.Copy(io.Discard, conn)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(ctx) }()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, unix.ECONNRESET)
	must.NoError(t, <-stopped)
}

// countingService is an RPC service whose calls block until stall is closed.
type countingService struct {
	stall chan struct{}
	mu    sync.Mutex
	count int
}

// Run counts the call and blocks.
func (c *countingService) Run(_ string, _ *string) error {
	c.mu.Lock()
	c.count++
	c.mu.Unlock()
	<-c.stall
	return nil
}

func (c *countingService) begun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}
