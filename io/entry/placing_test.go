package entry

import (
	"log/slog"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/conf"
	"cyclamenford/core/ledger"
	"cyclamenford/core/order"
	relay "cyclamenford/io"
	"cyclamenford/io/assign"
	"cyclamenford/io/keeper"
	"cyclamenford/io/peer"
)

// scheduler answers placement calls with the replies of a test, in order, and records the calls.
type scheduler struct {
	replies []assign.PlaceReply
	asked   []order.PlacementRequest
}

// Place answers with the next reply.
func (s *scheduler) Place(args assign.PlaceArgs, reply *assign.PlaceReply) error {
	*reply = s.replies[len(s.asked)]
	s.asked = append(s.asked, args.Ask)
	return nil
}

// startScheduler serves a scheduler on a new address.
func startScheduler(t *testing.T, s *scheduler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	server := peer.NewServer(address, []byte("key"), nil, slog.New(slog.DiscardHandler))
	must.NoError(t, server.Register(assign.Service, s))
	must.NoError(t, server.Start(t.Context()))
	t.Cleanup(func() { _ = server.Stop(t.Context()) })
	return address
}

// leaderControl names a leader.
type leaderControl struct {
	Control
	leader string
}

func (c *leaderControl) LeaderAddress() string          { return c.leader }
func (c *leaderControl) LeaderNamed(_, leader string)   { c.leader = leader }
func (c *leaderControl) LastLeaderContact() core.Millis { return 100 }
func (c *leaderControl) Holder() ledger.Holder          { return ledger.Holder{Host: "h", Incarnation: 1} }

// TestARequestNamesTheSchedulerThatHasItsResults guards against results of stages that no leader finds, because a try that reached no scheduler
// has taken the place of the one that did.
func TestARequestNamesTheSchedulerThatHasItsResults(t *testing.T) {
	next := &scheduler{replies: []assign.PlaceReply{{Located: keeper.Located{Leading: true}, Grant: &order.Grant{Endpoint: "e"}}}}
	nextAddress := startScheduler(t, next)
	former := &scheduler{replies: []assign.PlaceReply{
		{},
		{NotTaken: true},
		{NotTaken: true, Located: keeper.Located{LeaderAddress: nextAddress}},
	}}
	now := clock.New(100)
	e := &Entry{
		options: Options{Host: "h"}, control: &leaderControl{leader: startScheduler(t, former)}, clock: now, calls: newPendingCalls(),
		peers: peer.NewClient([]byte("key"), nil, nil), shutdown: newShutdown(now), log: slog.New(slog.DiscardHandler),
	}
	r := &request{
		entry: e, arrived: 100, deadline: 60_000, service: "engine", incoming: relay.ClientRequest{ID: "r"},
		route: conf.Route{Aim: 60 * core.Second, Class: conf.Repeatable},
	}
	grant, problem := r.place(t.Context())
	must.Nil(t, problem)
	must.Eq(t, "e", grant.Endpoint)
	must.Len(t, 3, former.asked)
	must.Len(t, 1, next.asked)
	must.Eq(t, order.Key{}, former.asked[0].Former)
	known := former.asked[0].Key
	must.Eq(t, []order.Key{known, known, known}, []order.Key{former.asked[1].Former, former.asked[2].Former, next.asked[0].Former})
	must.NotEq(t, former.asked[2].Key, next.asked[0].Key)
}
