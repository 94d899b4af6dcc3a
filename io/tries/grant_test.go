package tries

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/desk"
	"cyclamenford/core/ledger"
	"cyclamenford/core/plan"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
	relay "cyclamenford/io"
	"cyclamenford/io/broker"
	"cyclamenford/io/meter"
)

// fakeControl is a control state to which every command is applied immediately, without other keepers.
type fakeControl struct {
	machine *state.Machine
	clock   core.Clock
}

func (r *fakeControl) Image() state.Image       { return r.machine.Image() }
func (r *fakeControl) Changed() <-chan struct{} { return nil }
func (r *fakeControl) Serving() bool            { return true }
func (r *fakeControl) Holder() ledger.Holder    { return ledger.Holder{Host: "h", Incarnation: 1} }

func (r *fakeControl) Query(context.Context, relay.Query) (relay.Answer, error) {
	return relay.Answer{}, relay.ErrNoQuorum
}

func (r *fakeControl) Propose(_ context.Context, c state.Command) (state.Reply, error) {
	c.Unix = r.clock.Unix()
	return r.machine.Apply(r.machine.Applied()+1, c), nil
}

// recordCrash records a crash of the endpoint on against a request, as if it had run there alone or among others.
func (r *fakeControl) recordCrash(t *testing.T, c poison.Content, on core.EndpointID, alone bool) {
	_, err := r.Propose(context.Background(), state.Command{Suspect: &state.Suspect{
		Contents: []poison.Content{c}, Organisation: []core.OrganisationID{"o"}, Endpoint: on, Alone: alone,
	}})
	must.NoError(t, err)
}

// TestRequestConvictedWhileItWaitedIsNotSent guards against sending a request that was quarantined while it waited.
// The quarantine must be checked when the request is granted an endpoint, not only when it arrives.
func TestRequestConvictedWhileItWaitedIsNotSent(t *testing.T) {
	now := clock.New(1)
	control := &fakeControl{machine: state.New(), clock: now}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	b := broker.New("d", control, now, meter.New(), log)
	b.Announce(core.Announcement{
		ID: "e", Incarnation: 1, Seq: 1, Address: "127.0.0.1:1", Kind: core.Encode, Models: []string{"m"}, Slots: 1,
	}, 0)
	tries := New(control, b, nil, nil, now, meter.New(), log)
	ask := desk.Attempt{Request: "r", Organisation: "o", DeadlineAt: 10_000, Stages: []plan.Key{{Pool: core.PoolID{Kind: core.Encode, Model: "m"}}}}

	work := poison.Identity{Content: 7}
	control.recordCrash(t, 7, "a", false)
	g, problem := tries.Acquire(context.Background(), ask, work)
	must.Nil(t, problem)
	must.True(t, g.Alone())
	tries.FinishSucceeded(g, work)
	must.NoError(t, tries.Finish(context.Background()))
	must.Eq(t, poison.Clear, tries.Standing(work))

	control.recordCrash(t, 7, "a", false)
	control.recordCrash(t, 7, "b", true)
	_, problem = tries.Acquire(context.Background(), ask, work)
	must.NotNil(t, problem)
	must.Eq(t, core.ReasonQuarantined, problem.Reason)
	must.Eq(t, core.NotRun, problem.Outcome)
}
