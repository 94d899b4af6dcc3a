package entry

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/ledger"
	"cyclamenford/core/notice"
	"cyclamenford/core/order"
	"cyclamenford/io/assign"
	"cyclamenford/io/keeper"
	"cyclamenford/io/peer"
)

// TestEventsThatWereNotToldComeFirstNextTime guards against a changed order of events after a failed call: the events that
// were not sent must precede those that were added meanwhile.
func TestEventsThatWereNotToldComeFirstNextTime(t *testing.T) {
	e := newEventQueue("", nil, nil, nil, nil)
	e.addBegan(order.Key{Seq: 1}, 2, heardLoad{})
	unsent := e.queued
	e.queued = nil
	e.addEnded(order.Key{Seq: 1}, order.Served, heardLoad{})
	e.requeue(unsent, nil)
	must.Eq(t, []assign.RequestEvent{
		{Key: order.Key{Seq: 1}, Began: true, Attempt: 2}, {Key: order.Key{Seq: 1}, How: order.Served},
	}, e.queued)
}

// TestCallsAtAFormerLeaderEnd guards against calls that wait at a former leader until they time out. Calls that have ended
// and calls to the new leader must not be canceled.
func TestCallsAtAFormerLeaderEnd(t *testing.T) {
	p := newPendingCalls()
	var ended []string
	p.add("old", func() { ended = append(ended, "old") })
	remove := p.add("old", func() { ended = append(ended, "forgotten") })
	p.add("new", func() { ended = append(ended, "new") })
	remove()
	must.Eq(t, 1, p.cancelExcept("new"))
	must.Eq(t, []string{"old"}, ended)
}

// formerLeader takes events only from the second call on, at which it leads.
type formerLeader struct {
	calls int
	taken []assign.RequestEvent
}

// Tell takes events.
func (f *formerLeader) Tell(args assign.EventsArgs, reply *keeper.Located) error {
	f.calls++
	if reply.Leading = f.calls > 1; reply.Leading {
		f.taken = append(f.taken, args.Events...)
	}
	return nil
}

// leaderAt is a control state that names a leader.
type leaderAt struct {
	Control
	address string
}

func (l leaderAt) LeaderAddress() string { return l.address }
func (l leaderAt) Holder() ledger.Holder { return ledger.Holder{Host: "h", Incarnation: 1} }

// TestEventsToldToAFormerLeaderAreToldAgain guards against notices of endpoints that are lost when the leader hands over.
func TestEventsToldToAFormerLeaderAreToldAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	log, leader := slog.New(slog.DiscardHandler), &formerLeader{}
	server := peer.NewServer(address, []byte("key"), nil, log)
	must.NoError(t, server.Register(assign.Service, leader))
	must.NoError(t, server.Start(context.Background()))
	e := newEventQueue("h", leaderAt{address: address}, peer.NewClient([]byte("key"), nil, nil), clock.New(1), log)
	life := core.Life{Endpoint: "e", Incarnation: 1}
	e.addNotice("h", life, notice.Notice{Leaving: true})
	e.flush(context.Background())
	e.flush(context.Background())
	must.NoError(t, server.Stop(context.Background()))
	must.Len(t, 1, leader.taken)
	must.Eq(t, life, leader.taken[0].Life)
}

// TestLoadReportsThatCouldNotBeToldAreDropped guards against a report that reaches a new leader seconds late and is taken for a
// statement about the present. The event itself must still be told.
func TestLoadReportsThatCouldNotBeToldAreDropped(t *testing.T) {
	e := newEventQueue("", nil, nil, nil, nil)
	life := core.Life{Endpoint: "e", Incarnation: 1}
	heard := heardLoad{life: life, report: order.LoadReport{Stated: true, Slowness: 2.5}}
	e.addBegan(order.Key{Seq: 1}, 2, heard)
	must.Eq(t, heard.report, e.queued[0].Load)
	unsent := e.queued
	e.queued = nil
	e.requeue(unsent, nil)
	must.Eq(t, []assign.RequestEvent{{Key: order.Key{Seq: 1}, Began: true, Attempt: 2, Life: life}}, e.queued)
}
