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

// granted places requests for prompts one after the other on idle engines, and returns the engine that each got.
func granted(s *Scheduler, prompts int) []core.EndpointID {
	var list []core.EndpointID
	for n := range prompts {
		now := core.Millis(1000 * (n + 1))
		key := order.Key{Host: "h", Life: 1, Seq: uint64(n + 1)}
		s.Arrive(now, order.Ask{Key: key, Service: "engine", Aim: core.Second, Left: 5 * core.Second, MaxAttempts: 1, Prompt: order.Prompt{
			Tokens: 7000, Parts: []order.Part{{ID: "system", Tokens: 500}, {ID: fmt.Sprint("thing", n), Tokens: 5000}, {ID: fmt.Sprint("own", now), Tokens: 1500}},
		}})
		for _, a := range s.Take() {
			if a.Grant != nil {
				list = append(list, a.Grant.Endpoint)
			}
		}
		s.Began(now+100, key)
		s.Ended(now+200, key, order.Served, false)
	}
	return list
}

// TestASchedulerThatBeginsAnewFindsSharedPartsWhereTheFormerOneReadThem lets two schedulers that know nothing of each other place
// the same prompts.
func TestASchedulerThatBeginsAnewFindsSharedPartsWhereTheFormerOneReadThem(t *testing.T) {
	const engines, prompts = 20, 100
	begin := func() *Scheduler {
		s := New(fleet.Retries{Window: core.Second})
		s.Configure(1, []conf.Service{{Name: "engine", Engine: &conf.Engine{Slots: 16, CacheTokens: 1_000_000}}})
		for i := range engines {
			s.Join(1, order.Endpoint{ID: endpointName("engine", i), Incarnation: 1, Service: "engine", Slots: 16}, false)
		}
		return s
	}
	former, next := granted(begin(), prompts), granted(begin(), prompts)
	must.Len(t, prompts, former)
	must.Eq(t, former, next)
	shares := map[core.EndpointID]int{}
	for _, id := range former {
		shares[id]++
	}
	must.Greater(t, engines/2, len(shares))
	// After a loss only the prompts of the lost engine move.
	lost := begin()
	lost.Part(2, former[0])
	moved := 0
	for i, id := range granted(lost, prompts) {
		if id != former[i] && former[i] != former[0] {
			moved++
		}
	}
	must.LessEq(t, prompts/10, moved)
}
