package fleet

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/order"
)

// TestOnlyEndpointsThatReturnArePaced guards against a deployment that starts slowly because all its endpoints have windows,
// and against an endpoint that returns cold, or has failed, and gets as many requests as it has slots.
func TestOnlyEndpointsThatReturnArePaced(t *testing.T) {
	f := New()
	f.Configure(conf.Service{Name: "s", ColdTime: 3000, ColdPerSecond: 9.7, Engine: &conf.Engine{Slots: 16, CacheTokens: 1_000_000}})
	announce := func(now core.Millis, n int, life core.Incarnation, cold core.Millis) *Endpoint {
		id := core.EndpointID(fmt.Sprint("e", n))
		f.Upsert(now, order.Endpoint{ID: id, Incarnation: life, Service: "s", Cold: cold}, false)
		e, _ := f.Known(id)
		return e
	}
	fill := func(e *Endpoint) (n int) {
		for ; e.Fits(order.Prompt{Tokens: 1}); n++ {
			e.AddRequest(order.Prompt{Tokens: 1}, PrefixChain{})
		}
		return n
	}
	for n := range 8 {
		must.Eq(t, 16, fill(announce(1000+core.Millis(n)*300, n, 1, 3000)))
	}
	e := announce(60_000, 0, 2, 3000)
	must.Eq(t, 2, fill(e))
	for range 3 {
		for range e.Running() {
			e.RecordPace(60_200, 100, 120, e.Running())
		}
		fill(e)
	}
	must.Eq(t, 16, e.Running())
	_, active := e.Window()
	must.False(t, active)
	// The connection fails while all slots are in use.
	e.RecordPaceEnding(61_000, 60_900, order.Unreachable, e.Running())
	for range 16 {
		e.RemoveRequest(Load{}, true)
	}
	must.Eq(t, 2, fill(e))
	// Endpoints without a bound that state no speed have no window.
	f.Configure(conf.Service{Name: "s", Engine: &conf.Engine{Slots: 16, CacheTokens: 1_000_000}})
	must.Eq(t, 14, fill(e))
	e = announce(70_000, 0, 3, 3000)
	must.Eq(t, 16, fill(e))
	// Others of the service state their speed, so that one that starts later has a window.
	must.True(t, f.RecordLoad(70_100, e.Life(), order.LoadReport{Stated: true, Slots: 16, Slowness: 1}))
	e = announce(71_000, 1, 2, 0)
	must.Eq(t, 2, fill(e))
}
