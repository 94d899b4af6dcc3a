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

// TestALeaderThatHasNotHeardOfAllEndpointsDoesNotRefuse guards against requests that a new leader without a copy of the endpoints refuses
// because the first to announce themselves are in an evacuated failure domain.
func TestALeaderThatHasNotHeardOfAllEndpointsDoesNotRefuse(t *testing.T) {
	s := New(fleet.RetryLimits{Slack: 10, Window: core.Second})
	s.AwaitEndpoints(2400)
	s.Configure(1, []conf.Service{{Name: "engine", Engine: &conf.Engine{Slots: 4}}})
	s.SetEvacuated(1, map[core.FailureDomain]bool{"a": true})
	s.SetEndpoint(2, order.Endpoint{ID: "e", Incarnation: 1, FailureDomain: "a", Service: "engine", Slots: 4}, false)
	add := func(now core.Millis, seq uint64) {
		s.AddRequest(now, order.PlacementRequest{
			Key: order.Key{Seq: seq}, Service: "engine", Aim: 20 * core.Second, Left: 20 * core.Second, MaxAttempts: 1,
		})
	}
	add(3, 1)
	s.Tick(4)
	must.SliceEmpty(t, s.TakeActions())
	s.SetEndpoint(1200, order.Endpoint{ID: "f", Incarnation: 1, FailureDomain: "b", Service: "engine", Slots: 4}, false)
	actions := s.TakeActions()
	must.Len(t, 2, actions, must.Sprint("the grant and its record for later leaders"))
	must.Eq(t, "f", actions[0].Grant.Endpoint)

	s.CancelRequest(1250, order.Key{Seq: 1})
	s.RemoveEndpoint(1300, "f")
	s.TakeActions()
	add(1301, 2)
	s.Tick(2399)
	must.SliceEmpty(t, s.TakeActions())
	s.Tick(2400)
	actions = s.TakeActions()
	must.Len(t, 1, actions)
	must.Eq(t, core.ReasonEvacuated, actions[0].Refuse.Reason)
}
