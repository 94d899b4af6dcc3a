package peer

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
