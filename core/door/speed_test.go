package door

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/roll"
)

// playPlain sends requests, 20 a second, to seven endpoints whose slowdowns differ by 2.4 and that take 30 ms at a slowdown of 1. It
// returns the mean time of an answer. With reports, each answer states the slowdown.
func playPlain(t *testing.T, reports bool) float64 {
	d := New(Settings{UnlistedGrace: core.Second}, rand.New(rand.NewPCG(3, 4)))
	slowdowns := []float64{0.7, 1, 1.7, 0.7, 1, 1.7, 1}
	page := roll.Page{Term: 1, Version: 1, Whole: true}
	for i := range slowdowns {
		page.Listed = append(page.Listed, roll.Listed{Endpoint: order.Endpoint{ID: core.EndpointID(fmt.Sprint(i)), Incarnation: 1, Service: "plain", Slots: 6}})
	}
	d.ApplyPage(1, page)
	total, n := 0.0, 0
	for now := core.Millis(2); now < 100*core.Second; now += 50 {
		c, reason := d.SelectFirst(now, "plain", nil)
		must.Eq(t, "", reason)
		var i int
		_, err := fmt.Sscan(string(c.Endpoint), &i)
		must.NoError(t, err)
		took := core.Millis(30 * slowdowns[i])
		if reports {
			d.RecordLoad(now+took, core.Life{Endpoint: c.Endpoint, Incarnation: 1}, order.LoadReport{Stated: true, Running: 1, Slots: 6, Slowness: slowdowns[i]})
		}
		d.RecordAttempt(now+took, c.Endpoint, order.Served, took)
		total += float64(took)
		n++
	}
	return total / float64(n)
}

// TestFastEndpointsGetMorePlainRequests guards against a host that does not use what endpoints state of their speed.
func TestFastEndpointsGetMorePlainRequests(t *testing.T) {
	with, without := playPlain(t, true), playPlain(t, false)
	t.Logf("mean time %.1f ms with reports, %.1f ms without", with, without)
	must.Less(t, without, with)
}

// TestReportsOfAnotherIncarnationAreIgnored guards against a restarted endpoint that is judged by what the former process stated, and
// against a report without a slowdown that changes the choice.
func TestReportsOfAnotherIncarnationAreIgnored(t *testing.T) {
	d := New(Settings{}, rand.New(rand.NewPCG(1, 2)))
	d.ApplyPage(1, roll.Page{Term: 1, Version: 1, Whole: true, Listed: []roll.Listed{{Endpoint: order.Endpoint{ID: "a", Incarnation: 2, Service: "plain", Slots: 6}}}})
	d.RecordLoad(2, core.Life{Endpoint: "a", Incarnation: 1}, order.LoadReport{Stated: true, Slowness: 3})
	d.RecordLoad(2, core.Life{Endpoint: "b", Incarnation: 1}, order.LoadReport{Stated: true, Slowness: 3})
	d.RecordLoad(2, core.Life{Endpoint: "a", Incarnation: 2}, order.LoadReport{Stated: true, Running: 6, Waiting: 9, Slots: 6})
	must.False(t, d.ReportsSpeed(core.Life{Endpoint: "a", Incarnation: 2}))
	s := d.service("plain")
	must.Eq(t, 1, d.endpoints["a"].weight(2, s))
	d.RecordLoad(3, core.Life{Endpoint: "a", Incarnation: 2}, order.LoadReport{Stated: true, Running: 6, Waiting: 6, Slots: 6, Slowness: 1})
	must.True(t, d.ReportsSpeed(core.Life{Endpoint: "a", Incarnation: 2}))
	must.Less(t, 0.2, d.endpoints["a"].weight(3, s))
	must.Greater(t, 0.9, d.endpoints["a"].weight(2*core.Second, s))
}
