package door

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/roll"
)

// TestEvacuatedDomainsGetNoPlainRequests guards against first choices, retries and permits for endpoints of an evacuated failure domain.
func TestEvacuatedDomainsGetNoPlainRequests(t *testing.T) {
	d := New(Settings{}, rand.New(rand.NewPCG(1, 1)))
	d.settings.Retries.Slack, d.settings.Retries.Window = 1000, core.Second
	listed := func(id core.EndpointID, domain core.FailureDomain) roll.Listed {
		return roll.Listed{Endpoint: order.Endpoint{ID: id, Incarnation: 1, Service: "s", FailureDomain: domain}}
	}
	d.ApplyPage(1, roll.Page{Term: 1, Version: 1, Whole: true, Listed: []roll.Listed{listed("a1", "a"), listed("a2", "a"), listed("b1", "b")}})
	d.SetEvacuated(map[core.FailureDomain]bool{"a": true})
	for range 100 {
		first, reason := d.SelectFirst(2, "s", nil)
		must.Eq(t, "", reason)
		must.Eq(t, "b", first.FailureDomain)
		_, reason = d.SelectRetry(2, "s", []core.EndpointID{"b1"})
		must.Eq(t, core.ReasonEvacuated, reason)
	}
	_, ok := d.SelectPermitted(2, core.Life{Endpoint: "a1", Incarnation: 1})
	must.False(t, ok)
	must.False(t, d.HasAlternative(2, "s", []core.EndpointID{"b1"}))

	d.SetEvacuated(map[core.FailureDomain]bool{"a": true, "b": true})
	_, reason := d.SelectFirst(3, "s", nil)
	must.Eq(t, core.ReasonEvacuated, reason)
	_, reason = d.SelectFirst(3, "none", nil)
	must.Eq(t, core.ReasonNoEndpoint, reason)
	d.SetEvacuated(nil)
	_, reason = d.SelectRetry(4, "s", []core.EndpointID{"b1"})
	must.Eq(t, "", reason)
}
