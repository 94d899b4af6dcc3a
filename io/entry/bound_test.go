package entry

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/clock"
	"cyclamenford/core/order"
	"cyclamenford/io/meter"
	"cyclamenford/io/permit"
)

// TestPermitOfABoundedEndpointAgesFromItsIssue guards against permits that hosts use late because the grant was long on its way,
// such as at a host that was frozen: the endpoint would then get more than its bound in one second.
func TestPermitOfABoundedEndpointAgesFromItsIssue(t *testing.T) {
	now := clock.New(1000)
	r := &request{entry: &Entry{clock: now, meter: meter.New(), log: slog.New(slog.DiscardHandler)}}
	r.sending.placedAt = 1000
	g := &order.Grant{Permitted: true, Bounded: true, Waited: 200}
	now.Advance(499)
	// The time at which the grant arrived does not count.
	r.sending.grantedAt = now.Now()
	must.True(t, r.isPermitValid(g))
	must.Eq(t, 1200+permit.BoundSendLimit, r.sending.sendBy)
	now.Advance(1)
	must.False(t, r.isPermitValid(g))
	must.False(t, r.hasExpired(now.Now()-900, permit.TakeReply{Permitted: true, Waited: 700, Bounded: true}))
	must.True(t, r.hasExpired(now.Now()-900, permit.TakeReply{Permitted: true, Waited: 500, Bounded: true}))
	// Without a bound, permits are valid as long as before.
	must.True(t, r.isPermitValid(&order.Grant{Permitted: true}))
}
