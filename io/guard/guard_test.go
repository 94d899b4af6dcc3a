package guard

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
	"cyclamenford/io/meter"
	"cyclamenford/io/record"
)

var errNoLeader = errors.New("no leader")

// replica is a control state that applies each command at once, unless it is unreachable.
type replica struct {
	mu          sync.Mutex
	machine     *state.Machine
	unreachable bool
	commands    int
}

func (r *replica) Image() state.Image {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Image()
}

func (r *replica) Changed() <-chan struct{} { return nil }

func (r *replica) Propose(_ context.Context, c state.Command) (state.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		return state.Reply{}, errNoLeader
	}
	c.Unix = 1
	r.commands++
	return r.machine.Apply(r.machine.Applied()+1, c), nil
}

// fixture is a guard with a replica of its own and a fake probe.
type fixture struct {
	*Guard
	control *replica
	// alive holds the endpoints that a probe finds still running.
	alive map[core.EndpointID]bool
}

func newFixture() *fixture {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := &fixture{control: &replica{machine: state.New()}, alive: map[core.EndpointID]bool{}}
	probe := func(_ context.Context, t core.Target) (bool, error) { return !f.alive[t.Endpoint], nil }
	f.Guard = New(Options{CrashThreshold: 2, QuarantineStatus: http.StatusServiceUnavailable}, f.control, probe,
		record.New(f.control, log), clock.New(1), meter.New(), log)
	return f
}

func target(id core.EndpointID) core.Target {
	return core.Target{Life: core.Life{Endpoint: id, Incarnation: 1}}
}

func (f *fixture) blame(c poison.Content, id core.EndpointID, alone bool) poison.Standing {
	return f.ReportAndWait(context.Background(), target(id), poison.Suspect{Request: "r", Organisation: "o", Content: c, Alone: alone})
}

func (f *fixture) admit(c poison.Content, id core.EndpointID) (bool, core.Reason) {
	trial, p := f.Admit(context.Background(), "r", poison.Identity{Content: c}, id, core.Second)
	if p != nil {
		return trial, p.Reason
	}
	return trial, ""
}

// TestThirdCrashQuarantinesRequest guards against a crashing request that keeps running: two crashes make it a suspect, it
// then runs in one trial at a time, and a crash in the trial puts it into quarantine.
func TestThirdCrashQuarantinesRequest(t *testing.T) {
	f := newFixture()
	must.Eq(t, poison.Clear, f.blame(1, "a", false))
	must.Eq(t, poison.Suspected, f.blame(1, "b", false))
	trial, why := f.admit(1, "c")
	must.True(t, trial)
	must.Eq(t, "", why)
	trial, why = f.admit(1, "d")
	must.False(t, trial, must.Sprint("a second trial began while the first was under way"))
	must.Eq(t, core.ReasonInTrial, why)
	must.Eq(t, poison.Convicted, f.blame(1, "c", true))
	_, why = f.admit(1, "d")
	must.Eq(t, core.ReasonQuarantined, why)
}

// TestCutConnectionToLivingOrLeavingEndpointIsNotACrash guards against blaming a request for a connection that was cut
// although the endpoint is alive, or whose endpoint had announced that it is leaving.
func TestCutConnectionToLivingOrLeavingEndpointIsNotACrash(t *testing.T) {
	f := newFixture()
	f.alive["a"], f.alive["b"] = true, true
	for _, id := range []core.EndpointID{"a", "b", "a", "b"} {
		must.Eq(t, poison.Clear, f.blame(1, id, false))
	}
	for _, id := range []core.EndpointID{"c", "d", "e"} {
		_, err := f.control.Propose(context.Background(), state.Command{RetireEndpoint: &state.RetireEndpoint{Endpoint: id, Incarnation: 1}})
		must.NoError(t, err)
		must.Eq(t, poison.Clear, f.blame(1, id, false))
	}
	must.MapEmpty(t, f.control.Image().Poison)
}

// TestOneCrashIsCommittedOnceForAllCutRequests guards against one commit for each request that a crash cuts: 64 requests
// that are cut together must take at most 3 commits.
func TestOneCrashIsCommittedOnceForAllCutRequests(t *testing.T) {
	f := newFixture()
	var wg sync.WaitGroup
	for c := range poison.Content(64) {
		wg.Go(func() { f.blame(c, "a", false) })
	}
	wg.Wait()
	must.LessEq(t, 3, f.control.commands)
	must.MapEmpty(t, f.control.Image().Poison, must.Sprint("a single crash must not make a request a suspect"))
}

// TestHostWithoutQuorumHoldsBackSuspect guards against a host that cannot commit its crash reports and therefore keeps
// sending a request that crashes endpoints. Its uncommitted crashes must count, and other requests must still run.
func TestHostWithoutQuorumHoldsBackSuspect(t *testing.T) {
	f := newFixture()
	f.control.unreachable = true
	must.Eq(t, poison.Clear, f.blame(1, "a", false))
	must.Eq(t, poison.Suspected, f.blame(1, "b", false))
	trial, why := f.admit(1, "c")
	must.False(t, trial)
	must.Eq(t, core.ReasonInTrial, why)
	_, why = f.admit(2, "c")
	must.Eq(t, "", why)
}

// blamePart reports that an endpoint was cut while it ran a request with parts, sent 100 ms before.
func (f *fixture) blamePart(request poison.Content, id core.EndpointID, began bool, parts ...poison.Content) poison.Standing {
	return f.ReportAndWait(context.Background(), target(id), poison.Suspect{Request: "r", Organisation: "o", Content: request, Parts: parts, Began: began})
}

// TestPartThatCrashesEndpointsIsQuarantinedForAllRequests guards against requests that are all different and share a part that crashes
// endpoints. A part on which an answer begins is cleared.
func TestPartThatCrashesEndpointsIsQuarantinedForAllRequests(t *testing.T) {
	f := newFixture()
	f.blamePart(101, "a", false, 1, 2)
	must.Eq(t, poison.Suspected, f.blamePart(102, "b", false, 1, 2))
	f.Begun(poison.Identity{Content: 200, Parts: []poison.Content{1}})
	must.Eq(t, poison.Clear, f.Standing(poison.Identity{Content: 201, Parts: []poison.Content{1, 3}}))
	tainted := poison.Identity{Content: 103, Parts: []poison.Content{1, 2}}
	trial, p := f.Admit(context.Background(), "r", tainted, "c", core.Second)
	must.Nil(t, p)
	must.True(t, trial)
	must.Eq(t, poison.Convicted, f.blamePart(103, "c", false, 1, 2))
	p = f.CheckQuarantine(poison.Identity{Content: 104, Parts: []poison.Content{1, 2, 5}})
	must.NotNil(t, p)
	must.Eq(t, core.NotRun, p.Outcome)
	must.Positive(t, p.RetryAfter)
	must.Nil(t, f.CheckQuarantine(poison.Identity{Content: 105, Parts: []poison.Content{1, 5}}))
}

// TestPartsOfAnswersThatHadBegunAreNotBlamed guards against a suspicion of the sound requests that ran at a crashed endpoint.
func TestPartsOfAnswersThatHadBegunAreNotBlamed(t *testing.T) {
	f := newFixture()
	f.Begun(poison.Identity{Content: 200, Parts: []poison.Content{1}})
	for i, id := range []core.EndpointID{"a", "b", "c"} {
		f.blamePart(poison.Content(101+i), id, true, 7)
		f.blamePart(poison.Content(101+i), id, false, 1)
	}
	must.MapEmpty(t, f.control.Image().Parts)
}

// TestCutConnectionIsForwardedToTheNextLeader guards against crashes that are not counted because no keeper leads when they happen.
func TestCutConnectionIsForwardedToTheNextLeader(t *testing.T) {
	f := newFixture()
	f.alive["a"] = true
	left := make(chan time.Duration, 1)
	f.options.ForwardCut = func(ctx context.Context, _ core.Target, _ []poison.Suspect) error {
		deadline, _ := ctx.Deadline()
		left <- time.Until(deadline)
		return nil
	}
	f.blame(1, "a", false)
	must.Greater(t, 9*time.Second, <-left)
}
