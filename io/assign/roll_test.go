package assign

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/roll"
	"cyclamenford/io/meter"
)

// TestRollPublishesPlainEndpoints reads the roll as a host does, after an announcement, after a drain and after the
// leader's lease lapsed briefly within its term. Hosts must not miss a change, also when the roll starts over in the
// same term.
func TestRollPublishesPlainEndpoints(t *testing.T) {
	leader := &fakeLeader{}
	leader.leads.Store(true)
	a := newAssigner(leader, nil, meter.New(), &fakeControl{})
	c := &calls{a}
	announce := func(id core.EndpointID, service string, seq uint64, leaving bool) {
		t.Helper()
		var reply AnnounceReply
		must.NoError(t, c.Announce(Announcement{Endpoint: order.Endpoint{
			ID: id, Incarnation: 1, Address: string(id), Service: service, Slots: 4,
		}, Seq: seq, Leaving: leaving}, &reply))
		must.True(t, reply.Taken)
	}
	ask := func(p roll.Page) roll.Page {
		t.Helper()
		var reply RollReply
		must.NoError(t, c.Roll(RollArgs{Term: p.Term, Version: p.Version, Wait: 5 * core.Second}, &reply))
		must.True(t, reply.Leading)
		return reply.Page
	}
	announce("e1", "engine", 1, false)
	announce("d1", "desk", 1, false)
	first := ask(roll.Page{})
	must.True(t, first.Whole)
	must.Len(t, 1, first.Listed)
	must.Eq(t, "d1", first.Listed[0].ID)

	// A call without changes waits until there is one.
	changes := make(chan roll.Page)
	go func() {
		var reply RollReply
		if err := c.Roll(RollArgs{Term: first.Term, Version: first.Version, Wait: 5 * core.Second}, &reply); err != nil {
			t.Error(err)
		}
		changes <- reply.Page
	}()
	announce("d1", "desk", 2, true)
	second := <-changes
	must.False(t, second.Whole)
	must.Len(t, 1, second.Listed)
	must.True(t, second.Listed[0].Leaving)

	// A leader whose lease lapsed briefly goes on with its roll.
	announce("d2", "desk", 1, false)
	lapse := func() {
		leader.leads.Store(false)
		var reply RollReply
		must.NoError(t, c.Roll(RollArgs{}, &reply))
		must.False(t, reply.Leading)
	}
	lapse()
	leader.leads.Store(true)
	third := ask(second)
	must.False(t, third.Whole)
	must.Len(t, 1, third.Listed)

	// After a longer lapse it keeps its endpoints but starts a new roll, which hosts receive as a whole.
	lapse()
	time.Sleep(maxSuspension.Duration())
	lapse()
	leader.leads.Store(true)
	fourth := ask(third)
	must.True(t, fourth.Whole)
	must.Len(t, 2, fourth.Listed)
}
