package assign

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
	"cyclamenford/core/sched"
	"cyclamenford/core/state"
	"cyclamenford/io/keeper"
)

// keepersByAddress calls the keepers in this process.
type keepersByAddress map[string]func(args ExplainArgs, reply *ExplainReply) error

func (k keepersByAddress) Call(_ context.Context, address, _ string, args, reply any) error {
	return k[address](args.(ExplainArgs), reply.(*ExplainReply))
}

// TestExplainAsksTheLeader guards against an explanation of a keeper that does not lead, one that says more about a plain
// service than the leader knows, and one that leaves a trace.
func TestExplainAsksTheLeader(t *testing.T) {
	shared := &sharedState{machine: state.New()}
	shared.machine.Apply(1, state.Command{ReplaceConfig: &state.ReplaceConfig{Version: 3, Doc: []byte("{}")}})
	l, a := newStateLeader(shared)
	l.inForce.Store(true)
	a.options.AnnounceEvery = core.Second
	redirect := func(_ ExplainArgs, reply *ExplainReply) error {
		reply.Located = keeper.Located{LeaderAddress: "leader"}
		return nil
	}
	keepers := keepersByAddress{"other": redirect, "leader": (&calls{a}).Explain}
	ask := order.PlacementRequest{Service: "engine", Aim: core.Second, Left: core.Second, MaxAttempts: 1, Prompt: order.Prompt{Tokens: 10}}

	_, err := Explain(t.Context(), keepers, "other", ask)
	must.ErrorIs(t, err, ErrNoLeader, must.Sprint("the scheduler of this term has not started"))
	must.Zero(t, a.term, must.Sprint("asking starts no scheduler"))

	a.mu.Lock()
	must.True(t, a.checkLeadership())
	now := a.clock.Now()
	for i, id := range []core.EndpointID{"e1", "e2", "p1"} {
		e := order.Endpoint{ID: id, Incarnation: 1, Address: string(id), Service: "engine", Slots: 4}
		if id == "p1" {
			e.Service = "desk"
		}
		a.roster.apply(now-core.Millis(100*i), Announcement{Endpoint: e, Seq: 1}, nil)
		a.sched.SetEndpoint(now, e, id == "e2")
	}
	a.sched.TakeActions()
	a.mu.Unlock()
	shared.machine.Apply(2, state.Command{RetireEndpoint: &state.RetireEndpoint{Endpoint: "e2", Incarnation: 1}})

	events := a.heldEvents.nextNumber
	reply, err := Explain(t.Context(), keepers, "other", ask)
	must.NoError(t, err)
	must.True(t, reply.Known && !reply.Plain)
	must.Eq(t, sched.Granted, reply.Explanation.Fate)
	must.Eq(t, 3, reply.Config)
	must.Eq(t, -1, reply.EndpointsCopied)
	list := reply.Explanation.Endpoints
	must.Eq(t, "e1", list[0].Endpoint)
	must.Eq(t, Retired, list[1].Obstacle)
	must.GreaterEq(t, 100, list[1].Announced)
	must.MapEmpty(t, a.waiters)
	must.Eq(t, events, a.heldEvents.nextNumber)

	ask.Service = "desk"
	reply, err = Explain(t.Context(), keepers, "leader", ask)
	must.NoError(t, err)
	must.True(t, reply.Plain)
	must.Eq(t, "", reply.Explanation.Fate)
	must.Eq(t, fleet.Obstacle(""), reply.Explanation.Endpoints[0].Obstacle)
	must.False(t, reply.Explanation.Endpoints[0].Chosen)
}
