package sched

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// TestOrdersWithIncompleteInputsAreWithheld guards against stage calls and grants that name empty handles after a fault in the states of the
// stages: such an order does not leave, and the request is prepared again.
func TestOrdersWithIncompleteInputsAreWithheld(t *testing.T) {
	pieces := &conf.Pieces{Slots: 1, Queue: 2, Batch: 4, CallTime: 200, ItemTime: 10, Room: 1_000_000, Keep: 4000}
	for name, row := range map[string]struct {
		spoil func(r *request)
		// done is the number of stages that have been made before.
		done int
		want order.Withheld
	}{
		"a stage call with an empty handle":             {func(r *request) { r.stages[0].handles[0] = "" }, 1, order.Withheld{Call: true, Stage: 1, Inputs: []int{0}}},
		"a stage call after the results were released":  {func(r *request) { r.stages[0].held = 0 }, 1, order.Withheld{Call: true, Stage: 1, Inputs: []int{0}}},
		"a stage call before the stage that it follows": {func(r *request) { r.stages[0].missing = 1 }, 1, order.Withheld{Call: true, Stage: 1, Inputs: []int{0}}},
		"a grant with an empty handle":                  {func(r *request) { r.stages[1].handles[0] = "" }, 2, order.Withheld{Inputs: []int{1}}},
		"a grant after the results were released":       {func(r *request) { r.stages[1].held = 0 }, 2, order.Withheld{Inputs: []int{1}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(fleet.RetryLimits{Ratio: 0.2, Slack: 10, Window: 10 * core.Second})
			s.Configure(1, []conf.Service{{Name: "first", Pieces: pieces}, {Name: "second", Pieces: pieces}, {Name: "plain"}})
			join := func(service string) {
				s.SetEndpoint(1, order.Endpoint{ID: core.EndpointID(service), Incarnation: 1, Address: service, Service: service, Slots: 1}, false)
			}
			join("first")
			key := order.Key{Host: "h", Seq: 1}
			s.AddRequest(10, order.PlacementRequest{
				Key: key, ID: "r", Service: "plain", Aim: 5000, Left: 8000, MaxAttempts: 2,
				Stages: []order.StageRequest{{Service: "first", Pieces: 1, Bytes: 10}, {Service: "second", Pieces: 1, Bytes: 10, After: []int{0}}},
			})
			s.TakeActions()
			s.CallDone(220, 1, []order.ItemResult{{Handle: "first/a"}}, order.Served)
			if row.done == 2 {
				join("second")
				s.TakeActions()
				s.CallDone(430, 2, []order.ItemResult{{Handle: "second/b"}}, order.Served)
			}
			row.spoil(s.requests[key])
			join("second")
			join("plain")
			var withheld []order.Withheld
			for _, a := range append(s.TakeActions(), s.TakeActions()...) {
				must.Nil(t, a.Grant)
				if a.Withheld != nil {
					withheld = append(withheld, *a.Withheld)
				}
				if a.Call != nil {
					must.Eq(t, "first", a.Call.Service)
				}
			}
			row.want.ID, row.want.Preparation = "r", 1
			must.Eq(t, []order.Withheld{row.want}, withheld)
			must.Eq(t, 2, s.requests[key].preparation)
		})
	}
}
