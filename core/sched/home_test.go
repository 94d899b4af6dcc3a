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

// grantEach submits one request after the other to idle engines and returns the engine that each request was granted.
func grantEach(s *Scheduler, prompts int) []core.EndpointID {
	var list []core.EndpointID
	for n := range prompts {
		now := core.Millis(1000 * (n + 1))
		key := order.Key{Host: "h", Life: 1, Seq: uint64(n + 1)}
		s.AddRequest(now, order.PlacementRequest{Key: key, Service: "engine", Aim: core.Second, Left: 5 * core.Second, MaxAttempts: 1, Prompt: order.Prompt{
			Tokens: 7000, Parts: []order.Part{{ID: "system", Tokens: 500}, {ID: fmt.Sprint("thing", n), Tokens: 5000}, {ID: fmt.Sprint("own", now), Tokens: 1500}},
		}})
		for _, a := range s.TakeActions() {
			if a.Grant != nil {
				list = append(list, a.Grant.Endpoint)
			}
		}
		s.FirstByteReceived(now+100, key, 0)
		s.AttemptEnded(now+200, key, order.Served, false)
	}
	return list
}

// TestNewSchedulerPlacesSharedPartsLikeFormerOne guards against a loss of cache hits after a change of the scheduler. A
// new scheduler does not know what the engines have cached, so it must choose the same engines for the same shared
// prompt parts as the former one.
func TestNewSchedulerPlacesSharedPartsLikeFormerOne(t *testing.T) {
	const engines, prompts = 20, 100
	newScheduler := func() *Scheduler {
		s := New(fleet.RetryLimits{Window: core.Second})
		s.Configure(1, []conf.Service{{Name: "engine", Engine: &conf.Engine{Slots: 16, CacheTokens: 1_000_000}}})
		for i := range engines {
			s.SetEndpoint(1, order.Endpoint{ID: endpointName("engine", i), Incarnation: 1, Service: "engine", Slots: 16}, false)
		}
		return s
	}
	former, next := grantEach(newScheduler(), prompts), grantEach(newScheduler(), prompts)
	must.Len(t, prompts, former)
	must.Eq(t, former, next)
	grants := map[core.EndpointID]int{}
	for _, id := range former {
		grants[id]++
	}
	must.Greater(t, engines/2, len(grants))
	// After the loss of an engine, only the prompts that it served may move to other engines.
	lost := newScheduler()
	lost.RemoveEndpoint(2, former[0])
	moved := 0
	for i, id := range grantEach(lost, prompts) {
		if id != former[i] && former[i] != former[0] {
			moved++
		}
	}
	must.LessEq(t, prompts/10, moved)
}
