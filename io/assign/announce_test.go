package assign

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/order"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
	"cyclamenford/io/keeper"
	"cyclamenford/io/meter"
)

// deposedLeader is a keeper that loses its leadership before it can commit anything.
type deposedLeader struct{ fakeLeader }

// Commit fails as at a keeper that does not lead any more.
func (*deposedLeader) Commit(context.Context, state.Command) (state.Reply, error) {
	return state.Reply{}, quorum.ErrNotLeader
}

// TestAnnouncementsBesideAChangeOfLeaderGoToTheNextOne guards against endpoints that are refused because the leader hands over.
func TestAnnouncementsBesideAChangeOfLeaderGoToTheNextOne(t *testing.T) {
	for name, a := range map[string]Announcement{
		"an endpoint leaves":        {Endpoint: order.Endpoint{ID: "e", Incarnation: 1}, Leaving: true},
		"an endpoint says goodbye":  {Endpoint: order.Endpoint{ID: "e", Incarnation: 1}, Gone: true},
		"a new version is released": {Endpoint: order.Endpoint{ID: "e", Incarnation: 1, Version: "v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			leader := &deposedLeader{}
			leader.leads.Store(true)
			assigner := newAssigner(leader, nil, meter.New(), &fakeControl{})
			var reply AnnounceReply
			must.NoError(t, (&calls{assigner: assigner}).Announce(a, &reply))
			must.False(t, reply.Leading)
			must.False(t, reply.Taken)
		})
	}
}

// TestAStoppedAssignerTakesNoEvents guards against events of hosts that are dropped because a keeper that has stopped to schedule still leads.
func TestAStoppedAssignerTakesNoEvents(t *testing.T) {
	leader := &fakeLeader{}
	leader.leads.Store(true)
	assigner := newAssigner(leader, nil, meter.New(), &fakeControl{})
	must.NoError(t, assigner.Start(t.Context()))
	must.NoError(t, assigner.Stop(t.Context()))
	var reply keeper.Located
	must.NoError(t, (&calls{assigner: assigner}).Tell(EventsArgs{Host: "h"}, &reply))
	must.False(t, reply.Leading)
}
