package order

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// TestSentValuesKeepTheirNames guards against values that hosts of the release would not understand.
func TestSentValuesKeepTheirNames(t *testing.T) {
	must.Eq(t, []AttemptOutcome{
		"Served", "Erred", "Rejected", "Unreachable", "Broken", "Late", "Abandoned", "GoneInput", "NotSent", "OtherEndpoint", "Garbled",
	}, []AttemptOutcome{Served, Erred, Rejected, Unreachable, Broken, Late, Abandoned, GoneInput, NotSent, OtherEndpoint, Garbled})
	must.Eq(t, []core.Priority{0, 1, 2}, []core.Priority{core.Urgent, core.Normal, core.Bulk})
	must.Eq(t, []core.Outcome{"NotRun", "Failed", "Unknown", "Completed"},
		[]core.Outcome{core.NotRun, core.Failed, core.Unknown, core.Completed})
	must.Eq(t, []core.StageKind{"Encode", "Retrieve", "Rerank", "Generate", "Plain"}, core.StageKinds)
}
