package entry

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/door"
	"cyclamenford/core/order"
	"cyclamenford/core/roll"
	"cyclamenford/core/state"
	"cyclamenford/io/meter"
)

// imageControl holds the control state of a test.
type imageControl struct {
	Control
	machine *state.Machine
}

func (c imageControl) Image() state.Image { return c.machine.Image() }

// TestAGrantThatWasNotSentIsReturnedAfterAnOrder guards against grants that were received before an evacuation and are sent after it, also
// those of a scheduler of an earlier release, which do not name the failure domain.
func TestAGrantThatWasNotSentIsReturnedAfterAnOrder(t *testing.T) {
	control, now, log := imageControl{machine: state.New()}, clock.New(100), slog.New(slog.DiscardHandler)
	chooser := newEndpointChooser(door.Settings{}, control, nil, newPendingCalls(), nil, now, meter.New(), log)
	chooser.door.ApplyPage(1, roll.Page{Term: 1, Whole: true, Listed: []roll.Listed{
		{Endpoint: order.Endpoint{ID: "p", Incarnation: 1, Service: "plain", FailureDomain: "a"}},
	}})
	r := &request{entry: &Entry{control: control, chooser: chooser, clock: now, meter: meter.New(), log: log}, service: "plain"}
	here := &order.Grant{Endpoint: "e", Life: 1, FailureDomain: "a"}
	there := &order.Grant{Endpoint: "f", Life: 1, FailureDomain: "b"}
	unnamed := &order.Grant{Endpoint: "p", Life: 1}
	must.False(t, r.isUnusable(here))
	control.machine.Apply(1, state.Command{SetEvacuation: &state.SetEvacuation{FailureDomain: "a", On: true}})
	must.True(t, r.isUnusable(here))
	must.True(t, r.isUnusable(unnamed))
	must.False(t, r.isUnusable(there))
	must.Eq(t, order.NotSent, r.replacementArgs(here).How)

	chooser.door.SetEvacuated(control.Image().EvacuatedDomains())
	_, problem := r.choose(false)
	must.Eq(t, core.ReasonEvacuated, problem.Reason)
	must.Eq(t, core.NotRun, problem.Outcome)
	must.Between(t, core.Second, problem.RetryAfter, 5*core.Second)
	control.machine.Apply(2, state.Command{SetEvacuation: &state.SetEvacuation{FailureDomain: "a"}})
	must.False(t, r.isUnusable(here))
}
