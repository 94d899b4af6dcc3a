package peer

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCallsReachAHostThatHasStartedAnew guards against calls that fail without being sent, on an open connection that the other side has
// closed.
func TestCallsReachAHostThatHasStartedAnew(t *testing.T) {
	const restarts = 20
	start := func(address string) *Server {
		s := NewServer(address, []byte("key"), nil, slog.New(slog.DiscardHandler))
		must.NoError(t, s.Register("Echo", echoService{}))
		must.NoError(t, s.Start(context.Background()))
		return s
	}
	s := start("127.0.0.1:0")
	address := s.listener.Addr().String()
	c := NewClient([]byte("key"), nil, nil)
	failed := 0
	for range restarts {
		var reply string
		if err := c.Call(context.Background(), address, "Echo.Say", "hello", &reply); err != nil {
			t.Log(err)
			failed++
		}
		must.NoError(t, s.Stop(context.Background()))
		s = start(address)
		time.Sleep(5 * time.Millisecond)
	}
	must.NoError(t, s.Stop(context.Background()))
	must.Zero(t, failed, must.Sprintf("of %d calls", restarts))
}
