package door

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
	"cyclamenford/core/roll"
)

// TestRecoveredEndpointIsPaced guards against a host that sends an endpoint which has just failed as much as the others, and
// against a window at endpoints that have no bound and state no speed.
func TestRecoveredEndpointIsPaced(t *testing.T) {
	for _, paced := range []bool{true, false} {
		d := New(Settings{Retries: fleet.RetryLimits{Ratio: 1, Slack: 100, Window: core.Second}}, rand.New(rand.NewPCG(1, 1)))
		var listed []roll.Listed
		for _, id := range []core.EndpointID{"a", "b"} {
			listed = append(listed, roll.Listed{Endpoint: order.Endpoint{ID: id, Incarnation: 1, Service: "s", Slots: 100, Address: string(id)}, Bounded: paced})
		}
		d.ApplyPage(1, roll.Page{Term: 1, Version: 1, Whole: true, Listed: listed})
		choose := func(now core.Millis, n int) (atA int) {
			for range n {
				c, reason := d.SelectFirst(now, "s", nil)
				must.Eq(t, "", reason)
				if c.Endpoint == "a" {
					atA++
				}
			}
			return atA
		}
		must.GreaterEq(t, 20, choose(2, 80))
		for range 80 {
			for id := range d.endpoints {
				d.RecordAttempt(50, id, order.Served, 40)
			}
		}
		must.Eq(t, 0, d.Windows())
		d.RecordAttempt(60, "a", order.Unreachable, 5)
		// The backoff and the memory of the failure end long before the first request is sent again.
		atA := choose(60*core.Second, 40)
		if paced {
			must.Eq(t, 1, d.Windows())
			must.LessEq(t, 2, atA)
		} else {
			must.GreaterEq(t, 10, atA)
		}
	}
}
