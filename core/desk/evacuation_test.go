package desk

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// TestEvacuatedDomainsGetNoAttempts guards against attempts at endpoints of an evacuated failure domain, also those that announce
// themselves after the order.
func TestEvacuatedDomainsGetNoAttempts(t *testing.T) {
	d := newDesk()
	announce := func(now core.Millis, id core.EndpointID, domain core.FailureDomain) core.Announcement {
		a := core.Announcement{ID: id, Incarnation: 1, Seq: 1, FailureDomain: domain, Slots: 1}
		d.Announce(now, a, 0)
		return a
	}
	early := announce(1, "early", "a")
	d.SetPolicy(2, Policy{Evacuated: map[core.FailureDomain]bool{"a": true}})
	late, other := announce(3, "late", "a"), announce(3, "other", "b")
	must.True(t, d.restrictionOf(early.Life()).Drained)
	must.True(t, d.restrictionOf(late.Life()).Drained)
	must.False(t, d.restrictionOf(other.Life()).Drained)
	must.False(t, d.Usable(4, early.Life()))
	must.True(t, d.Usable(4, other.Life()))
	d.SetPolicy(5, Policy{})
	must.False(t, d.restrictionOf(early.Life()).Drained)
	must.True(t, d.Usable(6, early.Life()))
}
