package assign

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/state"
	"cyclamenford/io/keeper"
	"cyclamenford/io/meter"
)

// hostedFollower is a keeper that copies from a leader until the test makes it lead, in a term of its own and with two entry hosts.
type hostedFollower struct {
	fakeFollower
	term uint64
}

func (f *hostedFollower) Leading() (uint64, bool) { return f.term, f.leads.Load() }

func (f *hostedFollower) Image() state.Image {
	image := f.fakeLeader.Image()
	image.Hosts = map[core.HostID]state.Host{
		"h": {ID: "h", Incarnation: 1}, "i": {ID: "i", Incarnation: 1}, "gone": {ID: "gone", Expired: true}, "k": {ID: "k", Keeper: "m"},
	}
	return image
}

// placeAt places a request at an engine, and returns a channel for the answer.
func placeAt(a *Assigner, seq uint64, tokens int) <-chan PlaceReply {
	done := make(chan PlaceReply, 1)
	go func() {
		var reply PlaceReply
		_ = (&calls{a}).Place(PlaceArgs{Ask: order.PlacementRequest{
			Key: order.Key{Host: "h", Life: 1, Seq: seq}, ID: "r", Service: "engine", Prompt: order.Prompt{Tokens: tokens},
			Aim: 20 * core.Second, Left: 20 * core.Second, MaxAttempts: 2,
		}}, &reply)
		done <- reply
	}()
	return done
}

// TestANewLeaderCountsTheRequestsAtEngines guards against an engine of 1,000 tokens that gets more than its memory holds after the loss of
// one leader or of two in a row, when the copy holds a part of its requests and the hosts' lists the others.
func TestANewLeaderCountsTheRequestsAtEngines(t *testing.T) {
	old := &fakeLeader{}
	old.leads.Store(true)
	a := newAssigner(old, nil, meter.New(), &fakeControl{})
	engine := stageEndpointOf("e1")
	must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: engine, Seq: 1}, &AnnounceReply{}))
	must.NotNil(t, (<-placeAt(a, 1, 400)).Grant)

	next := &hostedFollower{term: 2}
	b := newAssigner(next, leaderCaller{&calls{a}}, meter.New(), &fakeControl{})
	copyOf := func(x *Assigner, requests int) func() bool {
		return func() bool {
			x.tick(context.Background())
			x.mu.Lock()
			defer x.mu.Unlock()
			return len(x.standby.endpoints) == 1 && x.standby.results.whole && len(x.standby.results.running) == requests
		}
	}
	eventually(t, "the copy of the request", copyOf(b, 1))
	must.NoError(t, (&calls{a}).Tell(EventsArgs{Events: []RequestEvent{{Key: order.Key{Host: "h", Life: 1, Seq: 1}, Began: true}}}, new(keeper.Located)))
	must.NotNil(t, (<-placeAt(a, 2, 200)).Grant)
	eventually(t, "the copy of its first byte and of the next grant", func() bool {
		return copyOf(b, 2)() && b.standby.results.running[order.Key{Host: "h", Life: 1, Seq: 1}].Began
	})
	next.leads.Store(true)
	b.tick(context.Background())
	must.Eq(t, 2, b.sched.FormerStatus(0).Missing)
	waiting := placeAt(b, 3, 320)

	// Request 2 has ended, and the copy has missed request 9. The new leader knows its own request 3 better than the host.
	var told RunningReply
	must.NoError(t, (&calls{b}).Running(RunningArgs{Host: "h", Life: 1, Requests: []HostRequest{
		{Key: order.Key{Host: "h", Life: 1, Seq: 1}, Endpoint: "e1", Life: 1, HeldTokens: 400, Term: 1, Left: core.Second, Began: true},
		{Key: order.Key{Host: "h", Life: 1, Seq: 3}, Endpoint: "e1", Life: 1, HeldTokens: 320, Term: 2, Left: core.Second},
		{Key: order.Key{Host: "h", Life: 1, Seq: 9}, Endpoint: "e1", Life: 1, HeldTokens: 300, Term: 1, Left: core.Second},
	}}, &told))
	must.True(t, told.Leading)
	must.Eq(t, 2, told.Term)
	must.NoError(t, (&calls{b}).Running(RunningArgs{Host: "i", Life: 1}, &told))
	must.Eq(t, 2, len(b.sched.Running()))
	must.Eq(t, 0, len(waiting))

	// An attempt that the former leader granted ends with the wish for another endpoint: its room is free.
	var reply PlaceReply
	must.NoError(t, (&calls{b}).Again(AgainArgs{Key: order.Key{Host: "h", Life: 1, Seq: 9}, How: order.Rejected}, &reply))
	must.True(t, reply.Unknown)
	eventually(t, "the grant", func() bool {
		b.tick(context.Background())
		return len(waiting) == 1
	})
	granted := <-waiting
	must.NotNil(t, granted.Grant)
	must.Eq(t, 2, granted.Term)

	// The second successor copies what the first has inherited.
	third := &hostedFollower{term: 3}
	c := newAssigner(third, leaderCaller{&calls{b}}, meter.New(), &fakeControl{})
	eventually(t, "the copy of both requests", copyOf(c, 2))
	third.leads.Store(true)
	c.tick(context.Background())
	must.Eq(t, b.sched.Running()[0].Key, c.sched.Running()[0].Key)
	must.Len(t, 2, c.sched.Running())
}

// TestACopyThatMissedEventsIsMadeWhole guards against requests that a keeper never hears of because their events were dropped from the log.
func TestACopyThatMissedEventsIsMadeWhole(t *testing.T) {
	old := &fakeLeader{}
	old.leads.Store(true)
	a := newAssigner(old, nil, meter.New(), &fakeControl{})
	must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: stageEndpointOf("e1"), Seq: 1}, &AnnounceReply{}))
	must.NotNil(t, (<-placeAt(a, 1, 400)).Grant)
	for range 2*eventLogSize + 1 {
		a.heldEvents.add(ResultEvent{Over: 1})
	}
	var reply HeldReply
	must.NoError(t, (&calls{a}).Held(HeldArgs{Term: 1, From: 0}, &reply))
	must.True(t, reply.Whole)
	must.Len(t, 1, reply.Running)
	must.NoError(t, (&calls{a}).Held(HeldArgs{Term: 1, From: reply.Next}, &reply))
	copied := &resultsCopy{}
	copied.apply(100, reply)
	must.MapLen(t, 1, copied.running)
}

func stageEndpointOf(id core.EndpointID) order.Endpoint {
	return order.Endpoint{ID: id, Incarnation: 1, Address: "127.0.0.1:1", Service: "engine", Slots: 4}
}

// TestAListNamesWhatWasGrantedBeforeALapse guards against an engine that counts as empty after its leader's lease has lapsed for long and was
// renewed in the same term: the requests at it were granted in this term, but by a scheduler that is gone.
func TestAListNamesWhatWasGrantedBeforeALapse(t *testing.T) {
	leader := &hostedFollower{term: 1}
	leader.leads.Store(true)
	idle := newAssigner(&fakeLeader{}, nil, meter.New(), &fakeControl{})
	a := newAssigner(leader, leaderCaller{&calls{idle}}, meter.New(), &fakeControl{})
	must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: stageEndpointOf("e1"), Seq: 1}, &AnnounceReply{}))
	for _, host := range []core.HostID{"h", "i"} {
		must.NoError(t, (&calls{a}).Running(RunningArgs{Host: host, Life: 1}, &RunningReply{}))
	}
	must.NotNil(t, (<-placeAt(a, 1, 400)).Grant)
	leader.leads.Store(false)
	a.tick(context.Background())
	time.Sleep(maxSuspension.Duration())
	a.tick(context.Background())
	leader.leads.Store(true)
	a.tick(context.Background())
	must.Len(t, 1, a.sched.Running())
	must.NoError(t, (&calls{a}).Running(RunningArgs{Host: "h", Life: 1, Requests: []HostRequest{
		{Key: order.Key{Host: "h", Life: 1, Seq: 1}, Endpoint: "e1", Life: 1, HeldTokens: 400, Term: 1, Left: core.Second},
	}}, &RunningReply{}))
	must.Len(t, 1, a.sched.Running())
}
