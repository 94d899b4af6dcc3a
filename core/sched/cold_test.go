package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
)

const (
	announcePeriod = 1200 * core.Millis(1)
	// coldTimes is how many times longer a cold endpoint takes.
	coldTimes = 2.0
	// connectTimeout is how long a host tries to reach an endpoint that does not answer.
	connectTimeout = 400 * core.Millis(1)
)

// scheduleAnnouncements lets the endpoints of services with a cold bound announce themselves, at times of their own.
func (sim *simulation) scheduleAnnouncements() {
	for _, s := range sim.load.Services {
		if s.ColdPerSecond <= 0 {
			continue
		}
		for i := range s.Endpoints {
			id, start := endpointName(s.Name, i), core.Millis(sim.rng.IntN(int(announcePeriod)))
			var announce func()
			announce = func() {
				if sim.now > core.Millis(sim.load.Seconds*1000) {
					return
				}
				sim.scheduleAt(sim.now+announcePeriod, announce)
				lost, left := sim.returnState(s.Service, id)
				if lost || sim.schedulerDown {
					return
				}
				sim.notify(func() {
					sim.scheduler.SetEndpoint(sim.now, order.Endpoint{
						ID: id, Incarnation: 1, Address: string(id), FailureDomain: core.FailureDomain(fmt.Sprint("d", i%3)),
						Service: s.Name, Slots: s.Engine.Slots, Cold: left,
					}, false)
				})
			}
			sim.scheduleAt(start+1, announce)
		}
	}
}

// returnState reports whether an endpoint cannot be reached, and else for how much longer it is cold.
func (sim *simulation) returnState(s conf.Service, id core.EndpointID) (lost bool, cold core.Millis) {
	for _, x := range sim.load.Returns {
		from, back := core.Millis(x.At*1000), core.Millis((x.At+x.Seconds)*1000)
		if x.Service != s.Name || x.Domain != sim.domains[id] || sim.now < from {
			continue
		}
		lost = lost || sim.now < back
		cold = max(cold, back+s.ColdTime-sim.now)
	}
	return lost, cold
}

// coldSlowdown returns how many times longer an endpoint takes because it is cold.
func (sim *simulation) coldSlowdown(s conf.Service, id core.EndpointID) float64 {
	if _, cold := sim.returnState(s, id); cold > 0 {
		return coldTimes
	}
	return 1
}

// meetsLostEngine records the arrival of a request, as late as a permit allows, or reports that the endpoint cannot be
// reached.
func (sim *simulation) meetsLostEngine(s conf.Service, g order.Grant) bool {
	if s.ColdPerSecond <= 0 {
		return false
	}
	if lost, _ := sim.returnState(s, g.Endpoint); lost {
		sim.scheduleAt(sim.now+connectTimeout, func() { sim.retryElsewhere(g.Key, order.Unreachable) })
		return true
	}
	late := core.Millis(sim.rng.IntN(int(limit.BoundValidity + limit.SendTime)))
	sim.arrivals[g.Endpoint] = append(sim.arrivals[g.Endpoint], sim.now+late)
	return false
}

// mostInSecond returns the largest number of requests that reached an endpoint of a service within a second.
func (sim *simulation) mostInSecond(service string) int {
	most := 0
	for id, times := range sim.arrivals {
		if !strings.HasPrefix(string(id), service+"-") {
			continue
		}
		slices.Sort(times)
		first := 0
		for i, at := range times {
			for at-times[first] >= core.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestEndpointsCountAsCold guards against an endpoint that gets the rate of a warm one although it may have just started: after
// its domain returns, a connection fails, an announcement is missing or the scheduler is replaced.
func TestEndpointsCountAsCold(t *testing.T) {
	endpoint := order.Endpoint{ID: "e", Incarnation: 1, Address: "e", FailureDomain: "d", Service: "engine", Slots: 16}
	life := core.Life{Endpoint: "e", Incarnation: 1}
	for why, happens := range map[fleet.ColdReason]func(s *Scheduler){
		fleet.DomainReturned: func(s *Scheduler) { s.DomainReturned(6000, "d") },
		fleet.ConnectionFailed: func(s *Scheduler) {
			key := order.Key{Host: "h", Seq: 1}
			s.AddRequest(6000, order.PlacementRequest{Key: key, Service: "engine", Aim: 1000, Left: 5000, MaxAttempts: 2})
			must.True(t, s.TakeActions()[0].Grant.Bounded)
			s.AttemptEnded(6000, key, order.Unreachable, false)
		},
		fleet.AnnouncementMissing: func(s *Scheduler) { s.Tick(6000) },
		fleet.TakenOver:           func(s *Scheduler) { s.AssumeAllCold(6000) },
	} {
		t.Run(string(why), func(t *testing.T) {
			s := New(fleet.RetryLimits{})
			s.SetAnnounceEvery(2000)
			s.Configure(1, []conf.Service{{Name: "engine", ColdTime: 3000, ColdPerSecond: 9.7, Engine: &conf.Engine{Slots: 16, CacheTokens: 1000}}})
			s.SetEndpoint(1, endpoint, false)
			s.SetEndpoint(2900, endpoint, false)
			saved := func(now core.Millis) float64 {
				free, _, limited := s.limits.Budget(now, life)
				must.True(t, limited)
				return free
			}
			must.Eq(t, limit.BoundSlack, saved(5800))
			happens(s)
			must.LessEq(t, 1.0, saved(6000))
			must.LessEq(t, 1.0, saved(8000))
			changes, counts := s.TakeColdChanges()
			must.Eq(t, 1, counts[why])
			must.Eq(t, 3100, changes[0].Announced)
			endpoint := endpoint
			endpoint.Cold = 500
			s.SetEndpoint(8000, endpoint, false)
			must.LessEq(t, 1.0, saved(8300))
			endpoint.Cold = 0
			s.SetEndpoint(9000, endpoint, false)
			must.Eq(t, limit.BoundSlack, saved(11000))
			// A later incarnation begins with an empty bucket, and the former one gets nothing any more.
			endpoint.Incarnation = 2
			s.SetEndpoint(11000, endpoint, false)
			must.False(t, s.limits.Take(11000, core.Life{Endpoint: "e", Incarnation: 2}))
		})
	}
}

// TestPiecesCountAsRequests guards against a stage call that brings a cold endpoint more pieces than it bears.
func TestPiecesCountAsRequests(t *testing.T) {
	s := New(fleet.RetryLimits{})
	s.Configure(1, []conf.Service{
		{Name: "stage", ColdTime: 3000, ColdPerSecond: 4, Pieces: &conf.Pieces{Slots: 1, Batch: 36, CallTime: 10, ItemTime: 1, Room: 1 << 30, Keep: 4000}},
		{Name: "engine", Engine: &conf.Engine{Slots: 16, CacheTokens: 1000}},
	})
	for _, name := range []string{"stage", "engine"} {
		s.SetEndpoint(1, order.Endpoint{ID: core.EndpointID(name), Incarnation: 1, Address: name, Service: name}, false)
	}
	s.AddRequest(2000, order.PlacementRequest{
		Key: order.Key{Host: "h", Seq: 1}, Service: "engine", Aim: 20_000, Left: 30_000, MaxAttempts: 2,
		Stages: []order.StageRequest{{Service: "stage", Pieces: 30, Bytes: 1}},
	})
	var sizes []int
	for now := core.Millis(2000); now < 3000; now += 20 {
		s.Tick(now)
		for _, a := range s.TakeActions() {
			if a.Call == nil {
				continue
			}
			must.True(t, a.Call.Permitted && a.Call.Bounded)
			sizes = append(sizes, len(a.Call.Items))
			var results []order.ItemResult
			for _, item := range a.Call.Items {
				results = append(results, order.ItemResult{Handle: fmt.Sprint("stage/", item.Piece)})
			}
			s.CallDone(now+15, a.Call.Number, results, order.Served)
		}
	}
	// What was saved up in two seconds, and then one piece each 250 ms.
	must.Eq(t, []int{5, 1, 1, 1}, sizes)
}

// TestARemovedIncarnationGetsNoBoundAgain guards against buckets that are kept for ever, and a new incarnation that counts as the former one,
// when attempts at an incarnation end after it has been replaced.
func TestARemovedIncarnationGetsNoBoundAgain(t *testing.T) {
	s := New(fleet.RetryLimits{})
	s.Configure(1, []conf.Service{{Name: "engine", ColdTime: 3000, ColdPerSecond: 9.7, Engine: &conf.Engine{Slots: 16, CacheTokens: 1000}}})
	endpoint := order.Endpoint{ID: "e", Incarnation: 1, Address: "e", Service: "engine", Slots: 16}
	s.SetEndpoint(1, endpoint, false)
	key := order.Key{Host: "h", Seq: 1}
	s.AddRequest(2000, order.PlacementRequest{Key: key, Service: "engine", Aim: 1000, Left: 5000, MaxAttempts: 2})
	must.NotNil(t, s.TakeActions()[0].Grant)
	endpoint.Incarnation = 2
	s.SetEndpoint(2100, endpoint, false)
	s.AttemptEnded(2200, key, order.Broken, false)
	issuer := s.limits.(*limit.Issuer)
	must.False(t, issuer.Bounded(core.Life{Endpoint: "e", Incarnation: 1}))
	must.True(t, issuer.Bounded(core.Life{Endpoint: "e", Incarnation: 2}))
	must.MapEmpty(t, s.coldWatch.cold)
}

// TestAForgottenEndpointGetsNoReleases guards against releases without a permit to an endpoint whose announcements are missing but which still
// runs, and against releases to another endpoint that has its address by then.
func TestAForgottenEndpointGetsNoReleases(t *testing.T) {
	s := New(fleet.RetryLimits{})
	s.Configure(1, []conf.Service{
		{Name: "stage", ColdTime: 3000, ColdPerSecond: 4, Pieces: &conf.Pieces{Slots: 1, Batch: 36, CallTime: 10, ItemTime: 1, Room: 1 << 30, Keep: 4000}},
		{Name: "engine", Engine: &conf.Engine{Slots: 16, CacheTokens: 1000}},
	})
	s.SetEndpoint(1, order.Endpoint{ID: "stage", Incarnation: 1, Address: "stage", Service: "stage"}, false)
	key := order.Key{Host: "h", Seq: 1}
	s.AddRequest(2000, order.PlacementRequest{
		Key: key, Service: "engine", Aim: 20_000, Left: 30_000, MaxAttempts: 2, Stages: []order.StageRequest{{Service: "stage", Pieces: 1, Bytes: 1}},
	})
	s.Tick(2000)
	for _, a := range s.TakeActions() {
		if a.Call != nil {
			s.CallDone(2015, a.Call.Number, []order.ItemResult{{Handle: "stage/1"}}, order.Served)
		}
	}
	s.RemoveEndpoint(2100, "stage")
	s.CancelRequest(2100, key)
	s.Tick(2120)
	forgotten := false
	for _, a := range s.TakeActions() {
		if a.Free != nil {
			forgotten = true
			must.True(t, a.Free.Lost)
		}
	}
	must.True(t, forgotten)
}
