package assign

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/keeper"
	"cyclamenford/io/meter"
)

// fakeFollower is a keeper that copies from a leader until the test makes it lead.
type fakeFollower struct{ fakeLeader }

func (f *fakeFollower) Located() keeper.Located {
	return keeper.Located{Leading: f.leads.Load(), LeaderAddress: "leader"}
}

// leaderCaller passes the calls of a follower to the leader in memory. Replies are encoded and decoded as on the wire.
type leaderCaller struct{ calls *calls }

func (c leaderCaller) Call(_ context.Context, _, method string, args, reply any) error {
	var wire bytes.Buffer
	var answer any
	switch method {
	case Service + ".Known":
		var r KnownReply
		if err := c.calls.Known(args.(KnownArgs), &r); err != nil {
			return err
		}
		answer = r
	case Service + ".Held":
		var r HeldReply
		if err := c.calls.Held(args.(HeldArgs), &r); err != nil {
			return err
		}
		answer = r
	}
	if err := gob.NewEncoder(&wire).Encode(answer); err != nil {
		return err
	}
	return gob.NewDecoder(&wire).Decode(reply)
}

// readStageCall returns the body of a stage call, or passes on what a release asks to free and returns false.
func readStageCall(r *http.Request, freed chan<- string) (string, bool) {
	body, err := io.ReadAll(r.Body)
	if err == nil && r.URL.Path == "/free" {
		freed <- string(body)
	}
	return string(body), err == nil && r.URL.Path != "/free"
}

// startStage starts an endpoint of a stage that counts its calls, answers them once until is closed, and passes on what it is asked to free.
func startStage(n *atomic.Int64, result string, until <-chan struct{}, freed chan<- string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := readStageCall(r, freed)
		if !ok {
			return
		}
		n.Add(1)
		<-until
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(result + strings.Trim(body, `"`)))
	}))
}

// stageEndpoints returns an engine and an endpoint of each of two stages.
func stageEndpoints(first, second *httptest.Server) []order.Endpoint {
	return []order.Endpoint{
		{ID: "e1", Incarnation: 1, Address: "127.0.0.1:1", Service: "engine", Slots: 4},
		{ID: "f1", Incarnation: 1, Address: strings.TrimPrefix(first.URL, "http://"), Service: "first", Slots: 1},
		{ID: "s1", Incarnation: 1, Address: strings.TrimPrefix(second.URL, "http://"), Service: "second", Slots: 1},
	}
}

// placeStaged places a request that needs both stages, and returns a channel for the answer.
func placeStaged(a *Assigner, id core.RequestID, key, former order.Key) <-chan PlaceReply {
	done := make(chan PlaceReply, 1)
	go func() {
		var reply PlaceReply
		_ = (&calls{a}).Place(PlaceArgs{Ask: order.PlacementRequest{
			Key: key, Former: former, ID: id, Service: "engine", Aim: 20 * core.Second, Left: 20 * core.Second, MaxAttempts: 1,
			Stages: []order.StageRequest{
				{Service: "first", Pieces: 1, Bytes: 1}, {Service: "second", After: []int{0}, Pieces: 1, Bytes: 1},
			},
		}}, &reply)
		done <- reply
	}()
	return done
}

// TestANewLeaderGoesOnFromTheResultsOfTheFormerOne guards against results that are lost or leaked when the leader
// changes between two stages of a request. The next leader must start the second stage with the results of the first,
// and free the results of a request that is not placed again.
func TestANewLeaderGoesOnFromTheResultsOfTheFormerOne(t *testing.T) {
	var firstCalls, secondCalls atomic.Int64
	freed := make(chan string, 10)
	unblocked, blocked := make(chan struct{}), make(chan struct{})
	close(unblocked)
	first := startStage(&firstCalls, "first-of-", unblocked, freed)
	second := startStage(&secondCalls, "second-of-", blocked, freed)
	defer first.Close()
	defer second.Close()
	endpoints := stageEndpoints(first, second)
	start := func(l Leader, c Caller) *Assigner { return newAssigner(l, c, meter.New(), &fakeControl{}) }
	place := func(a *Assigner, id core.RequestID, key, former order.Key) { placeStaged(a, id, key, former) }
	old := &fakeLeader{}
	old.leads.Store(true)
	a := start(old, nil)
	defer close(blocked)
	for _, e := range endpoints {
		must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: e, Seq: 1}, &AnnounceReply{}))
	}
	key := func(seq uint64) order.Key { return order.Key{Host: "h", Life: 1, Seq: seq} }
	place(a, "stays", key(1), order.Key{})
	eventually(t, "a call of the second stage", func() bool { return secondCalls.Load() == 1 })
	place(a, "goes", key(2), order.Key{})
	eventually(t, "the first stage's results of both requests", func() bool { return countHeldResults(a) == 2 })

	next := &fakeFollower{}
	b := start(next, leaderCaller{&calls{a}})
	eventually(t, "the copies of endpoints and results", func() bool {
		b.tick(context.Background())
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.standby.endpoints) == len(endpoints) && len(b.standby.results.results) == 2
	})
	next.leads.Store(true)
	b.tick(context.Background())
	place(b, "stays", key(3), key(1))
	eventually(t, "the next leader's call of the second stage", func() bool { return secondCalls.Load() == 2 })
	must.Eq(t, int64(2), firstCalls.Load())
	eventually(t, "the call that frees the unclaimed result", func() bool {
		b.tick(context.Background())
		return len(freed) == 1
	})
	must.Eq(t, "first-of-goes", <-freed)

	// The former leader itself goes on in the same way after a lapse of its lease that ended its scheduler.
	old.leads.Store(false)
	a.tick(context.Background())
	time.Sleep(maxSuspension.Duration())
	a.tick(context.Background())
	old.leads.Store(true)
	a.tick(context.Background())
	place(a, "stays", key(5), key(1))
	eventually(t, "another call of the second stage", func() bool { return secondCalls.Load() == 3 })
	must.Eq(t, int64(2), firstCalls.Load())
}

// countHeldResults returns the number of results in the assigner's event log.
func countHeldResults(a *Assigner) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, e := range a.heldEvents.events {
		if e.Made != nil {
			n += len(e.Made.Handles)
		}
	}
	return n
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// TestAnEndpointWhoseVersionIsNotCommittedIsNotTakenOver guards against streams that begin at a software version which the replicated state
// does not have.
func TestAnEndpointWhoseVersionIsNotCommittedIsNotTakenOver(t *testing.T) {
	old, next := &fakeLeader{}, &fakeFollower{}
	old.leads.Store(true)
	a := newAssigner(old, nil, meter.New(), &fakeControl{})
	for _, e := range []order.Endpoint{
		{ID: "known", Incarnation: 1, Address: "127.0.0.1:1", Service: "engine", Slots: 4},
		{ID: "new", Incarnation: 1, Address: "127.0.0.1:2", Service: "engine", Slots: 4, Version: "v2"},
	} {
		must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: e, Seq: 1}, &AnnounceReply{}))
	}
	b := newAssigner(next, leaderCaller{&calls{a}}, meter.New(), &fakeControl{})
	eventually(t, "the copy of the endpoints", func() bool {
		b.tick(context.Background())
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.standby.endpoints) == 2
	})
	next.leads.Store(true)
	b.tick(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	must.MapLen(t, 1, b.roster.entries)
	must.MapContainsKey(t, b.roster.entries, "known")
}

// fakeVoter is a keeper that gives its leadership to another one, which answers under the address "next".
type fakeVoter struct {
	fakeLeader
	next *fakeFollower
}

func (v *fakeVoter) OtherVoters() []string { return []string{"next"} }

func (v *fakeVoter) TransferLeadership(context.Context) (bool, error) {
	v.leads.Store(false)
	v.next.leads.Store(true)
	return true, nil
}

func (v *fakeVoter) Located() keeper.Located {
	if v.leads.Load() {
		return keeper.Located{Leading: true}
	}
	return keeper.Located{LeaderAddress: "next"}
}

// nextCaller passes the calls of a stopping leader to the keeper that leads next.
type nextCaller struct{ calls *calls }

func (c *nextCaller) Call(_ context.Context, _, method string, args, reply any) error {
	switch method {
	case Service + ".Copy":
		return c.calls.Copy(args.(CopyArgs), reply.(*CopyReply))
	case Service + ".Held":
		return c.calls.Held(args.(HeldArgs), reply.(*HeldReply))
	default:
		return fmt.Errorf("no call %s", method)
	}
}

// TestAStoppingLeaderHandsOver guards against a planned stop that callers notice: requests that are sent away without the next leader's name,
// and results of stages that the next leader does not know.
func TestAStoppingLeaderHandsOver(t *testing.T) {
	var firstCalls, secondCalls atomic.Int64
	unblocked, blocked := make(chan struct{}), make(chan struct{})
	close(unblocked)
	freed := make(chan string, 10)
	first := startStage(&firstCalls, "first-of-", unblocked, freed)
	second := startStage(&secondCalls, "second-of-", blocked, freed)
	defer first.Close()
	defer second.Close()
	defer close(blocked)
	next := &fakeFollower{}
	old := &fakeVoter{next: next}
	old.leads.Store(true)
	toNext := &nextCaller{}
	a := newAssigner(old, toNext, meter.New(), &fakeControl{})
	b := newAssigner(next, leaderCaller{&calls{a}}, meter.New(), &fakeControl{})
	toNext.calls = &calls{b}
	must.NoError(t, a.Start(t.Context()))
	for _, e := range stageEndpoints(first, second) {
		must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: e, Seq: 1}, &AnnounceReply{}))
	}
	key := func(seq uint64) order.Key { return order.Key{Host: "h", Life: 1, Seq: seq} }
	waiting := placeStaged(a, "r", key(1), order.Key{})
	eventually(t, "a call of the second stage", func() bool { return secondCalls.Load() == 1 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		must.NoError(t, a.Stop(t.Context()))
	}()
	reply := <-waiting
	must.Eq(t, PlaceReply{Located: keeper.Located{LeaderAddress: "next"}}, reply)
	// A request that arrives now has not been known here.
	must.Eq(t, PlaceReply{Located: keeper.Located{LeaderAddress: "next"}, NotTaken: true}, <-placeStaged(a, "late", key(2), order.Key{}))
	placeStaged(b, "r", key(3), key(1))
	eventually(t, "the next leader's call of the second stage", func() bool {
		b.tick(context.Background())
		return secondCalls.Load() == 2
	})
	must.Eq(t, int64(1), firstCalls.Load())
	<-stopped
}
