package follow

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/state"
	"cyclamenford/io/keeper"
	"cyclamenford/io/peer"
	"cyclamenford/io/wall"
)

const testKey = "a secret of the test"

// candidate answers as a keeper that leads after it was asked a number of times.
type candidate struct {
	asked     *atomic.Int64
	leadsFrom int64
}

// Locate tells whether the candidate leads by now.
func (c candidate) Locate(_ keeper.LocateArgs, reply *keeper.Located) error {
	reply.Leading = c.leadsFrom > 0 && c.asked.Add(1) >= c.leadsFrom
	return nil
}

func startCandidate(t *testing.T, leadsFrom int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	s := peer.NewServer(address, []byte(testKey), nil, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Register(keeper.ControlService, candidate{asked: new(atomic.Int64), leadsFrom: leadsFrom}))
	must.NoError(t, s.Start(context.Background()))
	t.Cleanup(func() { must.NoError(t, s.Stop(context.Background())) })
	return address
}

// TestOneSearchLastsUntilANewLeaderIsElected holds that hosts do not go back to the silent leader while an election runs.
func TestOneSearchLastsUntilANewLeaderIsElected(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, silent.Close()) }()
	follower, elected := startCandidate(t, 0), startCandidate(t, 3)
	client := peer.NewClient([]byte(testKey), nil, nil)
	f := New(state.Host{ID: "h"}, []string{silent.Addr().String(), follower, elected}, client, wall.New(), nil, slog.New(slog.DiscardHandler))
	f.search(context.Background())
	must.Eq(t, elected, f.Leader())
}
