package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/order"
	"cyclamenford/io/assign"
	"cyclamenford/io/keeper"
	"cyclamenford/io/peer"
)

// TestRunningRequestsAreListedOncePerLeaderAndTerm guards against a new leader that is not told, or not told again in its next term, of the
// requests at engines, and against one that is told without need.
func TestRunningRequestsAreListedOncePerLeaderAndTerm(t *testing.T) {
	l := newRunningList()
	key := func(seq uint64) order.Key { return order.Key{Host: "h", Seq: seq} }
	for seq := range uint64(3) {
		l.add(assign.HostRequest{Key: key(seq), UnreadTokens: 7, Term: 1}, 500, "first")
	}
	l.begin(key(1))
	l.remove(key(2))
	life := core.Incarnation(1)
	expect := func(leader string, due bool, want ...order.Key) {
		t.Helper()
		list, term, isDue := l.makeList(100, leader, life)
		must.Eq(t, due, isDue)
		var got []order.Key
		for _, x := range list {
			got = append(got, x.Key)
			must.Eq(t, x.Key != key(1), x.UnreadTokens > 0)
			must.Eq(t, core.Millis(400), x.Left)
		}
		must.Eq(t, want, got)
		if due {
			l.setTold(leader, max(term, 1))
		}
	}
	expect("", false)
	expect("first", true, key(0), key(1))
	expect("first", false)
	expect("second", true, key(0), key(1))
	l.add(assign.HostRequest{Key: key(3), UnreadTokens: 7, Term: 1}, 500, "first") // a late reply of the former leader
	expect("second", true, key(0), key(1), key(3))
	l.noteTerm(5)
	expect("second", true, key(0), key(1), key(3))
	expect("second", false)
	life = 2 // the host has lost its lease and joined again
	expect("second", true, key(0), key(1), key(3))
	l.setUntold()
	expect("second", true, key(0), key(1), key(3))
}

// newLeader leads from the second call on and records the calls.
type newLeader struct{ calls []string }

func (l *newLeader) Running(args assign.RunningArgs, reply *assign.RunningReply) error {
	l.calls = append(l.calls, fmt.Sprint("list of ", len(args.Requests), " by ", args.Host, " in life ", args.Life))
	reply.Leading, reply.Term = len(l.calls) > 1, 7
	return nil
}

func (l *newLeader) Tell(args assign.EventsArgs, reply *keeper.Located) error {
	l.calls = append(l.calls, fmt.Sprint(len(args.Events), " events"))
	reply.Leading = true
	return nil
}

// TestALeaderIsToldTheRunningRequestsBeforeEvents guards against events that a new leader cannot attribute, and against a list that is lost
// because the called keeper did not lead yet.
func TestALeaderIsToldTheRunningRequestsBeforeEvents(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	log, leader := slog.New(slog.DiscardHandler), &newLeader{}
	server := peer.NewServer(address, []byte("key"), nil, log)
	must.NoError(t, server.Register(assign.Service, leader))
	must.NoError(t, server.Start(context.Background()))
	e := newEventQueue("h", leaderAt{address: address}, peer.NewClient([]byte("key"), nil, nil), clock.New(1), log)
	for seq := range uint64(2) {
		e.running.add(assign.HostRequest{Key: order.Key{Host: "h", Seq: seq}}, 500, "former")
	}
	e.addEnded(order.Key{Host: "h", Seq: 0}, order.Served, heardLoad{})
	for range 3 {
		e.flush(context.Background())
	}
	e.addEnded(order.Key{Host: "h", Seq: 1}, order.Served, heardLoad{})
	e.flush(context.Background())
	must.NoError(t, server.Stop(context.Background()))
	list := "list of 1 by h in life 1"
	must.Eq(t, []string{list, list, "1 events", "1 events"}, leader.calls)
}
