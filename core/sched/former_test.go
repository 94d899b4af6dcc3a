package sched

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// takenOver is a scheduler that has just replaced another one: a deployment with one engine of 1,000 tokens, of which 900 are planned.
type takenOver struct {
	*testing.T
	*Scheduler
}

func newTakenOver(t *testing.T) takenOver {
	s := New(fleet.RetryLimits{Ratio: 0.2, Slack: 10, Window: 10 * core.Second})
	s.Configure(1, []conf.Service{{Name: "engine", Engine: &conf.Engine{Slots: 8, CacheTokens: 1000}}})
	return takenOver{t, s}
}

func (s takenOver) announce(now core.Millis, life core.Incarnation) {
	s.SetEndpoint(now, order.Endpoint{ID: "e", Incarnation: life, Service: "engine", Slots: 8}, false)
}

// running returns a request of host h that holds tokens at the engine.
func running(seq uint64, tokens int) order.RunningRequest {
	return order.RunningRequest{Key: order.Key{Host: "h", Life: 1, Seq: seq}, Endpoint: "e", Life: 1, HeldTokens: tokens, Till: 20 * core.Second}
}

// add adds a request.
func (s takenOver) add(now core.Millis, key order.Key, tokens int, former order.Key) {
	s.AddRequest(now, order.PlacementRequest{
		Key: key, Former: former, ID: core.RequestID(fmt.Sprint(key.Seq)), Service: "engine",
		Prompt: order.Prompt{Tokens: tokens}, Aim: 9 * core.Second, Left: 9 * core.Second, MaxAttempts: 2,
	})
}

// place adds a request of host h and reports whether it was granted the engine at once.
func (s takenOver) place(now core.Millis, seq uint64, tokens int, former order.Key) bool {
	s.add(now, order.Key{Host: "h", Life: 1, Seq: seq}, tokens, former)
	return s.granted(now) == 1
}

// granted lets the scheduler decide and returns the number of grants.
func (s takenOver) granted(now core.Millis) int {
	s.Tick(now)
	n := 0
	for _, a := range s.TakeActions() {
		if a.Grant != nil {
			n++
		}
	}
	return n
}

// TestInheritedRequestsTakeUpRoomUntilTheyEnd guards against engines that get more than their memory holds, and against room that is never
// freed again, after each event that ends a request of a former scheduler.
func TestInheritedRequestsTakeUpRoomUntilTheyEnd(t *testing.T) {
	key := running(1, 0).Key
	for name, end := range map[string]func(s takenOver) core.Millis{
		"the host reports the end": func(s takenOver) core.Millis {
			s.AttemptEnded(200, key, order.Served, false)
			return 200
		},
		"the host needs another endpoint": func(s takenOver) core.Millis {
			must.False(s, s.HasRequest(key))
			s.AttemptEnded(200, key, order.Abandoned, false)
			return 250
		},
		"the host places the request again": func(s takenOver) core.Millis {
			s.add(200, order.Key{Host: "h", Life: 1, Seq: 9}, 901, key)
			return 200
		},
		"the host does not list it": func(s takenOver) core.Millis {
			s.HostRunning(200, "h", 1, nil)
			return 200
		},
		"the host has a new life": func(s takenOver) core.Millis {
			s.HostStarted(200, "h", 2)
			return 200
		},
		"the deadline passes": func(takenOver) core.Millis { return 20 * core.Second },
		"the engine has a new life": func(s takenOver) core.Millis {
			s.announce(200, 2)
			return 200
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakenOver(t)
			s.announce(90, 1)
			s.InheritRunning(100, Takeover{Requests: []order.RunningRequest{running(1, 800)}, Copied: true})
			must.False(t, s.place(100, 2, 700, order.Key{}))
			must.False(t, s.place(101, 3, 700, order.Key{}))
			now := end(s)
			s.CancelRequest(now, order.Key{Host: "h", Life: 1, Seq: 3})
			if name == "the deadline passes" || name == "the host has a new life" {
				// The waiting request has ended as well.
				s.add(now, order.Key{Host: "i", Life: 1, Seq: 4}, 700, order.Key{})
			}
			must.Eq(t, 1, s.granted(now))
		})
	}
}

// TestNewWorkIsLimitedUntilHostsAreHeard guards against full engines that count as empty while the copy is empty or misses events, against
// work that certainly fits but waits, and against a host that never lists its requests and holds room back for long.
func TestNewWorkIsLimitedUntilHostsAreHeard(t *testing.T) {
	hosts := []core.HostID{"g", "h"}
	empty := newTakenOver(t)
	empty.announce(90, 1)
	empty.InheritRunning(100, Takeover{Hosts: hosts})
	must.True(t, empty.place(100, 1, 50, order.Key{}))
	must.False(t, empty.place(100, 2, 51, order.Key{}))
	empty.HostRunning(150, "g", 1, nil)
	must.Eq(t, 0, empty.granted(150))
	must.Eq(t, 0, empty.granted(1599))
	must.Eq(t, FormerStatus{Heard: 1, Missing: 1}, empty.FormerStatus(1599))
	must.Eq(t, 1, empty.granted(1600))

	// A recent copy leaves room beside what it may have missed: 175 tokens after 500 ms, or two of the largest requests.
	copied := newTakenOver(t)
	copied.announce(90, 1)
	copied.InheritRunning(100, Takeover{Requests: []order.RunningRequest{running(1, 60)}, Copied: true, Age: 500, Hosts: hosts})
	must.False(t, copied.place(100, 2, 666, order.Key{}))
	must.True(t, copied.place(100, 3, 665, order.Key{}))

	// The list adds what the copy has missed, also for an engine that is announced later, and again for the same term.
	listed := newTakenOver(t)
	listed.InheritRunning(100, Takeover{Hosts: []core.HostID{"h"}})
	listed.HostRunning(110, "h", 1, []order.RunningRequest{running(1, 500), running(2, 300)})
	listed.HostRunning(111, "h", 1, []order.RunningRequest{running(1, 500), running(2, 300)})
	listed.announce(120, 1)
	must.False(t, listed.place(120, 3, 101, order.Key{}))
	must.True(t, listed.place(120, 4, 100, order.Key{}))
	// The host has lost its lease and joined again, and still has both.
	listed.HostStarted(125, "h", 2)
	must.MapEmpty(t, listed.former.requests)
	listed.HostRunning(126, "h", 2, []order.RunningRequest{running(1, 500), running(2, 300)})
	// The engine is forgotten and announced again while it still runs them.
	listed.RemoveEndpoint(130, "e")
	listed.announce(140, 1)
	listed.add(140, order.Key{Host: "h", Life: 2, Seq: 5}, 101, order.Key{})
	must.Eq(t, 0, listed.granted(140))
	must.Eq(t, 2, len(listed.former.requests))
}

// TestASecondSuccessorKnowsWhatTheFirstInherited guards against room that is lost from sight when two leaders are lost in a row, and against
// caches that the second one takes for empty.
func TestASecondSuccessorKnowsWhatTheFirstInherited(t *testing.T) {
	first := newTakenOver(t)
	first.announce(90, 1)
	read := running(1, 600)
	read.Parts, read.UnreadTokens = []order.Part{{ID: "p", Tokens: 300}}, 300
	first.InheritRunning(100, Takeover{Requests: []order.RunningRequest{read}, Copied: true})
	must.True(t, first.place(100, 2, 200, order.Key{}))
	first.FirstByteReceived(120, read.Key, 1)

	second := newTakenOver(t)
	second.announce(190, 1)
	second.InheritRunning(200, Takeover{Requests: first.Running(), Copied: true})
	must.Eq(t, first.Running(), second.Running())
	must.True(t, second.Running()[0].Began)
	must.False(t, second.place(200, 3, 101, order.Key{}))
	e, ok := second.fleet.Engine("e", 1)
	must.True(t, ok)
	must.Eq(t, 300, e.CachedTokens(fleet.NewPrefixChain(read.Parts)))
}

// TestObservationsAreInherited guards against a new scheduler that uses an endpoint in backoff, and against observations of another
// incarnation, of an earlier release or of long ago.
func TestObservationsAreInherited(t *testing.T) {
	life := core.Life{Endpoint: "e", Incarnation: 1}
	failed := order.Observation{Slowdown: 1.5, FailureRate: 0.5, Backoff: 4 * core.Second, BackoffLeft: 3 * core.Second, Age: core.Second}
	for _, x := range []struct {
		life     core.Life
		observed order.Observation
		waits    bool
	}{
		{life, failed, true},
		{core.Life{Endpoint: "e", Incarnation: 2}, failed, false},
		{life, order.Observation{}, false},
		{life, order.Observation{Slowdown: 1, BackoffLeft: core.Second, Backoff: core.Second, Age: 20 * core.Second}, false},
		{life, order.Observation{Slowdown: -1, BackoffLeft: core.Second, Backoff: core.Second}, false},
	} {
		s := newTakenOver(t)
		s.announce(90, 1)
		s.InheritObservation(100, x.life, x.observed)
		must.Eq(t, !x.waits, s.place(100, 1, 10, order.Key{}))
		if x.waits {
			must.Eq(t, 0, s.granted(2099))
			must.Eq(t, 1, s.granted(2100))
		}
	}
}

// TestAFailureOfAnInheritedRequestMakesItsEngineCold guards against an engine that crashes after a takeover and gets the rate of a warm one at
// once, since the requests that show the crash were granted by an earlier scheduler.
func TestAFailureOfAnInheritedRequestMakesItsEngineCold(t *testing.T) {
	for _, ending := range []order.AttemptOutcome{order.Broken, order.Unreachable, order.Served} {
		s := newTakenOver(t)
		s.Configure(1, []conf.Service{{Name: "engine", ColdTime: 3000, ColdPerSecond: 9.7, Engine: &conf.Engine{Slots: 8, CacheTokens: 1000}}})
		s.announce(1, 1)
		s.InheritRunning(2, Takeover{Requests: []order.RunningRequest{running(1, 10), running(2, 10), running(3, 10), running(4, 10), running(5, 10), running(6, 10)}})
		e := s.known("e")
		must.False(t, e.IsCold(5000))
		for seq := range uint64(6) {
			s.AttemptEnded(5000, running(seq+1, 10).Key, ending, false)
		}
		must.Eq(t, ending != order.Served, e.IsCold(5000))
		size, active := e.Window()
		must.Eq(t, ending != order.Served, active)
		if ending == order.Broken {
			must.Eq(t, 3, size) // half of what was in progress, once
		}
	}
}

// TestAListThatIsOlderThanAnEndHoldsNoRoom guards against room that is held until the deadline when a host's list is overtaken by its call
// that reports the end of a request or places it again: lists and calls have connections of their own.
func TestAListThatIsOlderThanAnEndHoldsNoRoom(t *testing.T) {
	list := []order.RunningRequest{running(1, 800)}
	for name, end := range map[string]func(s takenOver){
		"end":   func(s takenOver) { s.AttemptEnded(150, list[0].Key, order.Broken, false) },
		"place": func(s takenOver) { s.add(150, order.Key{Host: "h", Life: 1, Seq: 9}, 901, list[0].Key) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakenOver(t)
			s.announce(90, 1)
			s.InheritRunning(100, Takeover{Hosts: []core.HostID{"h"}})
			end(s)
			s.HostRunning(160, "h", 1, list)
			must.Eq(t, 0, s.FormerStatus(160).Requests)
			// A request that a list has left out may be listed later: its grant was still on its way.
			s.HostRunning(170, "h", 1, nil)
			s.HostRunning(180, "h", 1, []order.RunningRequest{running(2, 100)})
			s.HostRunning(190, "h", 1, nil)
			s.HostRunning(200, "h", 1, []order.RunningRequest{running(2, 100)})
			must.Eq(t, 1, s.FormerStatus(200).Requests)
			s.Tick(150 + endedTime)
			must.MapEmpty(t, s.former.ended)
		})
	}
}
