package sched

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// TestRefusalsOfEvacuatedServicesAreSpread guards against clients that all return at the same moment.
func TestRefusalsOfEvacuatedServicesAreSpread(t *testing.T) {
	const clients = 200
	s := New(fleet.RetryLimits{Slack: 10, Window: core.Second})
	s.Configure(1, []conf.Service{{Name: "engine", Engine: &conf.Engine{Slots: 4}}})
	s.SetEndpoint(1, order.Endpoint{ID: "e", Incarnation: 1, FailureDomain: "a", Service: "engine"}, false)
	s.SetEvacuated(1, map[core.FailureDomain]bool{"a": true})
	var perSecond [4]int
	for i := range uint64(clients) {
		s.AddRequest(2, order.PlacementRequest{Key: order.Key{Seq: i}, Service: "engine", Aim: core.Second, Left: core.Second, MaxAttempts: 1})
	}
	for _, a := range s.TakeActions() {
		must.Between(t, core.Second, a.Refuse.RetryAfter, 5*core.Second)
		perSecond[min(3, (a.Refuse.RetryAfter-core.Second)/core.Second)]++
	}
	for _, n := range perSecond {
		must.Between(t, clients/4-5, n, clients/4+5)
	}
}
