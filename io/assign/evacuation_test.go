package assign

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
	"cyclamenford/io/meter"
)

// stateLeader is a leader whose commits go to a state that several keepers share.
type stateLeader struct {
	fakeLeader
	state *sharedState
	// inForce means that all hosts have applied every revision, and deposed that commits reach the log but not their proposer.
	inForce, deposed atomic.Bool
}

type sharedState struct {
	mu      sync.Mutex
	machine *state.Machine
}

func (l *stateLeader) Image() state.Image {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.machine.Image()
}

func (l *stateLeader) Commit(_ context.Context, c state.Command) (state.Reply, error) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	reply := l.state.machine.Apply(l.state.machine.Applied()+1, c)
	if l.deposed.Load() {
		return state.Reply{}, quorum.ErrNotLeader
	}
	return reply, nil
}

func (l *stateLeader) InForce(uint64) bool { return l.inForce.Load() }

func newStateLeader(s *sharedState) (*stateLeader, *Assigner) {
	l := &stateLeader{state: s}
	l.leads.Store(true)
	a := newAssigner(l, nil, meter.New(), &fakeControl{})
	a.options.AnnounceEvery = 0
	a.options.FailureDomains = []core.FailureDomain{"a", "b"}
	return l, a
}

func evacuate(t *testing.T, a *Assigner, domain core.FailureDomain, on bool, known uint64) EvacuateReply {
	t.Helper()
	var reply EvacuateReply
	must.NoError(t, (&calls{a}).Evacuate(EvacuateArgs{FailureDomain: domain, On: on, Known: known}, &reply))
	return reply
}

// TestAnEvacuationIsAcknowledgedOnceAllHostsHaveIt guards against an acknowledgement while a host may still send, also by the leader that
// follows one lost between commit and acknowledgement.
func TestAnEvacuationIsAcknowledgedOnceAllHostsHaveIt(t *testing.T) {
	shared := &sharedState{machine: state.New()}
	first, a := newStateLeader(shared)
	began := a.clock.Now()
	must.False(t, evacuate(t, a, "a", true, 1).Done, must.Sprint("a host has not applied the order"))
	must.Between(t, evacuationAckTimeout, a.clock.Now()-began, core.Millis(evacuationTimeout.Milliseconds()))
	must.True(t, first.Image().IsEvacuated("a"))

	// The leader is lost: the commit is in the log, but the caller gets no answer.
	first.deposed.Store(true)
	must.False(t, evacuate(t, a, "b", true, 1).Done)
	first.leads.Store(false)

	second, b := newStateLeader(shared)
	revision := second.Image().Revision
	must.False(t, evacuate(t, b, "b", true, 1).Done, must.Sprint("the successor must not answer before the hosts have the order"))
	second.inForce.Store(true)
	must.True(t, evacuate(t, b, "b", true, 1).Done)
	must.Eq(t, revision, second.Image().Revision, must.Sprint("a resent order changes nothing"))

	second.inForce.Store(false)
	must.True(t, evacuate(t, b, "b", false, revision).Done, must.Sprint("a withdrawal does not wait for the hosts"))
	must.False(t, evacuate(t, b, "b", true, revision).Done, must.Sprint("an order from before the withdrawal"))
	must.False(t, second.Image().IsEvacuated("b"))
}

// TestOnlyKnownDomainsCanBeEvacuated guards against a 400, which ends an order, from a leader that has not heard of all endpoints yet.
func TestOnlyKnownDomainsCanBeEvacuated(t *testing.T) {
	shared := &sharedState{machine: state.New()}
	l, a := newStateLeader(shared)
	l.inForce.Store(true)
	shared.machine.Apply(1, state.Command{JoinHost: &state.JoinHost{Host: state.Host{ID: "h", Incarnation: 1, FailureDomain: "of-host"}}})
	must.True(t, evacuate(t, a, "of-host", true, 1).Done)
	must.True(t, evacuate(t, a, "other", true, 1).Unknown)
	a.mu.Lock()
	a.roster.apply(a.clock.Now(), Announcement{Endpoint: order.Endpoint{ID: "e", Incarnation: 1, FailureDomain: "other"}, Seq: 1}, nil)
	a.mu.Unlock()
	must.True(t, evacuate(t, a, "other", true, 1).Done)
	a.options.AnnounceEvery = core.Second
	reply := evacuate(t, a, "unheard", true, 1)
	must.False(t, reply.Unknown)
	must.False(t, reply.Done)
	for _, name := range []core.FailureDomain{"", "\xff", core.FailureDomain(strings.Repeat("x", state.MaxDomainBytes+1))} {
		must.ErrorIs(t, LeaderClient{}.Evacuate(t.Context(), name, true), ErrUnknownDomain)
	}
}

// TestUnsentCallsToAnEvacuatedDomainStop guards against stage calls and releases that were decided before the order and are sent after it,
// and against those of a keeper that was frozen while another one took over.
func TestUnsentCallsToAnEvacuatedDomainStop(t *testing.T) {
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set("Content-Type", "application/json")
	}))
	defer server.Close()
	l, a := newStateLeader(&sharedState{machine: state.New()})
	l.inForce.Store(true)
	address := strings.TrimPrefix(server.URL, "http://")
	send := func(domain core.FailureDomain) order.AttemptOutcome {
		a.freeResults(order.Free{Life: core.Life{Endpoint: "f1", Incarnation: 1}, Address: address, FailureDomain: domain, Handles: []string{"x"}})
		_, outcome, err := a.sendStageCall(order.Call{Endpoint: "f1", Life: 1, Address: address, FailureDomain: domain, Items: []order.Item{{ID: "r"}}}, a.clock.Now())
		must.NoError(t, err)
		return outcome
	}
	must.True(t, evacuate(t, a, "a", true, 1).Done)
	must.Eq(t, order.Rejected, send("a"))
	must.Zero(t, arrived.Load())
	must.Eq(t, order.Served, send("b"))
	must.Eq(t, 2, arrived.Load())
	must.True(t, evacuate(t, a, "a", false, l.Image().Revision).Done)
	must.Eq(t, order.Served, send("a"))
	must.Eq(t, 4, arrived.Load())
	l.leads.Store(false)
	must.Eq(t, order.Rejected, send("b"))
	must.Eq(t, 4, arrived.Load())
}
