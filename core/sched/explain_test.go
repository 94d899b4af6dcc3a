package sched

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
)

var explained = order.PlacementRequest{
	Key: order.Key{Host: "h", Seq: 1}, Service: "engine", FailureDomain: "a", Aim: 2000, Left: 5000, MaxAttempts: 2,
	Prompt: order.Prompt{Tokens: 400, Output: 100, Parts: []order.Part{{ID: "p", Tokens: 300}, {ID: "q", Tokens: 100}}},
}

// newExplained returns a scheduler with the engines e1 to e3 in the failure domains a, b and b.
func newExplained() *Scheduler {
	s := New(fleet.RetryLimits{Slack: 10, Window: core.Second})
	s.Configure(1, []conf.Service{{Name: "engine", Engine: &conf.Engine{Slots: 3, CacheTokens: 1200}}})
	for i, domain := range []core.FailureDomain{"a", "b", "b"} {
		s.SetEndpoint(1, explainedEngine(i+1, domain), false)
	}
	return s
}

func explainedEngine(n int, domain core.FailureDomain) order.Endpoint {
	id := core.EndpointID(fmt.Sprint("e", n))
	return order.Endpoint{ID: id, Incarnation: 1, Address: string(id), FailureDomain: domain, Service: "engine", Version: "1", Slots: 3}
}

// occupy gives an engine requests of other hosts, which hold the given tokens each.
func occupy(s *Scheduler, id core.EndpointID, requests, tokens int) {
	var list []order.RunningRequest
	for i := range requests {
		list = append(list, order.RunningRequest{Key: order.Key{Host: "other", Seq: uint64(i)}, Endpoint: id, Life: 1, HeldTokens: tokens, Till: 9000})
	}
	s.InheritRunning(10, Takeover{Requests: list, Copied: true})
}

// explainRows are states of a deployment in which e1 has an obstacle.
var explainRows = map[fleet.Obstacle]func(s *Scheduler){
	"":              func(*Scheduler) {},
	fleet.Leaving:   func(s *Scheduler) { s.SetEndpoint(10, explainedEngine(1, "a"), true) },
	fleet.Evacuated: func(s *Scheduler) { s.SetEvacuated(10, map[core.FailureDomain]bool{"a": true}) },
	fleet.BackingOff: func(s *Scheduler) {
		e, _ := s.fleet.Known("e1")
		e.RecordEnding(19, order.Broken)
	},
	fleet.Paused: func(s *Scheduler) {
		e, _ := s.fleet.Known("e1")
		e.PauseUntil(900)
	},
	PausedForHost:  func(s *Scheduler) { s.PauseForHost(10, "h", core.Life{Endpoint: "e1", Incarnation: 1}, 900) },
	fleet.NoSlot:   func(s *Scheduler) { occupy(s, "e1", 3, 1) },
	fleet.NoMemory: func(s *Scheduler) { occupy(s, "e1", 1, 900) },
	MemoryUnknown: func(s *Scheduler) {
		occupy(s, "e1", 1, 300)
		s.InheritRunning(10, Takeover{Copied: true, Hosts: []core.HostID{"silent"}})
	},
	NoPermit: func(s *Scheduler) {
		l := core.Life{Endpoint: "e1", Incarnation: 1}
		s.limits.(*limit.Issuer).Record(19, l, limit.Named(1), limit.Span{SentAt: 19, HeardAt: 19})
		s.Tick(19)
	},
	OtherVersion: func(s *Scheduler) {
		e := explainedEngine(1, "a")
		e.Version = "2"
		s.SetEndpoint(10, e, false)
	},
	fleet.WindowFull: func(s *Scheduler) {
		s.Configure(10, []conf.Service{{Name: "engine", ColdTime: 3000, ColdPerSecond: 100, Engine: &conf.Engine{Slots: 3, CacheTokens: 1200}}})
		occupy(s, "e1", 2, 1)
		e, _ := s.fleet.Known("e1")
		e.RecordPaceEnding(15, 10, order.Unreachable, 2)
	},
}

// TestExplanationsNameTheDecision guards against an explanation that differs from the grant or refusal that follows, that
// names another obstacle, and that changes what follows.
func TestExplanationsNameTheDecision(t *testing.T) {
	for obstacle, prepare := range explainRows {
		t.Run("obstacle "+string(obstacle), func(t *testing.T) {
			ask := explained
			ask.Bound, ask.Version = obstacle == OtherVersion, "1"
			asked, silent := newExplained(), newExplained()
			prepare(asked)
			prepare(silent)
			asked.TakeActions()
			silent.TakeActions()
			must.True(t, asked.now < 20)
			before := asked.now
			x := asked.Explain(20, ask)
			must.Eq(t, x, asked.Explain(20, ask), must.Sprint("asking twice"))
			must.Eq(t, before, asked.now)
			must.SliceEmpty(t, asked.TakeActions(), must.Sprint("asking leads to actions"))

			asked.AddRequest(20, ask)
			silent.AddRequest(20, ask)
			actions := asked.TakeActions()
			must.Eq(t, silent.TakeActions(), actions, must.Sprint("asking changes what follows"))
			must.Eq(t, silent.Running(), asked.Running())
			must.Eq(t, silent.Status(21), asked.Status(21))

			for _, y := range x.Endpoints {
				if y.Endpoint == "e1" {
					must.Eq(t, obstacle, y.Obstacle)
					must.Eq(t, obstacle == fleet.BackingOff || obstacle == fleet.Paused || obstacle == PausedForHost, y.Left > 0)
				}
			}
			must.Len(t, 3, x.Endpoints)
			if actions == nil {
				must.Eq(t, Waits, x.Fate)
				return
			}
			must.Eq(t, Granted, x.Fate)
			grant, chosen := actions[0].Grant, x.Endpoints[0]
			must.True(t, chosen.Chosen)
			must.Eq(t, grant.Endpoint, chosen.Endpoint)
			must.Eq(t, grant.Expected, chosen.Expected)
			must.Eq(t, grant.Cached, chosen.Cached)
		})
	}
}

// TestExplanationsOfRefusals guards against an explanation that promises an endpoint to a request that is refused or waits.
func TestExplanationsOfRefusals(t *testing.T) {
	all := map[core.FailureDomain]bool{"a": true, "b": true}
	rows := map[core.Reason]func(s *Scheduler, ask *order.PlacementRequest){
		core.ReasonEvacuated:          func(s *Scheduler, _ *order.PlacementRequest) { s.SetEvacuated(10, all) },
		core.ReasonVersionGone:        func(_ *Scheduler, ask *order.PlacementRequest) { ask.Bound, ask.Version = true, "9" },
		core.ReasonDeadlineInfeasible: func(_ *Scheduler, ask *order.PlacementRequest) { ask.Aim, ask.Left = 1, 1 },
		core.ReasonNoEndpoint:         func(_ *Scheduler, ask *order.PlacementRequest) { ask.Service = "other" },
		core.ReasonEndpointsPause: func(s *Scheduler, _ *order.PlacementRequest) {
			for _, id := range []core.EndpointID{"e1", "e2", "e3"} {
				s.PauseForHost(10, "h", core.Life{Endpoint: id, Incarnation: 1}, 90_000)
			}
		},
		core.ReasonEndpointsLimited: func(s *Scheduler, _ *order.PlacementRequest) {
			for _, id := range []core.EndpointID{"e1", "e2", "e3"} {
				l := core.Life{Endpoint: id, Incarnation: 1}
				s.limits.(*limit.Issuer).Record(19, l, limit.Named(0.01), limit.Span{SentAt: 19, HeardAt: 19})
			}
			s.Tick(19)
		},
	}
	for reason, prepare := range rows {
		t.Run(string(reason), func(t *testing.T) {
			s, ask := newExplained(), explained
			prepare(s, &ask)
			s.TakeActions()
			x := s.Explain(20, ask)
			must.Eq(t, Refused, x.Fate)
			must.Eq(t, reason, x.Reason)
			s.AddRequest(20, ask)
			must.Eq(t, reason, s.TakeActions()[0].Refuse.Reason)
		})
	}
	s := newExplained()
	for i := 1; i <= 3; i++ {
		s.PauseForHost(10, "h", core.Life{Endpoint: explainedEngine(i, "").ID, Incarnation: 1}, 100)
	}
	must.Eq(t, Waits, s.Explain(20, explained).Fate)
}

// TestExplanationsFollowCaches guards against another choice than the grant's among engines that hold the prompt or are its home.
func TestExplanationsFollowCaches(t *testing.T) {
	s := newExplained()
	for seq := range uint64(8) {
		ask := explained
		ask.Key.Seq, ask.Prompt.Tokens, ask.Prompt.Output = seq, 100+int(seq)*10, 10
		ask.Prompt.Parts = []order.Part{{ID: fmt.Sprint("p", seq%2), Tokens: 60}, {ID: fmt.Sprint(seq), Tokens: 40 + int(seq)*10}}
		now := core.Millis(20 + seq)
		x := s.Explain(now, ask)
		s.AddRequest(now, ask)
		grant := s.TakeActions()[0].Grant
		must.Eq(t, grant.Endpoint, x.Endpoints[0].Endpoint)
		must.Eq(t, grant.Expected, x.Endpoints[0].Expected)
		must.Eq(t, grant.Cached, x.Endpoints[0].Cached)
	}
}
