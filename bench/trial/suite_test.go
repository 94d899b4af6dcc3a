package trial

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

func TestSuiteKeepsItsBounds(t *testing.T) {
	rows, err := Suite()
	must.NoError(t, err)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			o, err := Play(row)
			must.NoError(t, err)
			must.Positive(t, o.Result.First)
			for _, broken := range o.Broken {
				t.Error(broken)
			}
		})
	}
}

func TestTheSameSeedGivesTheSameTrial(t *testing.T) {
	rows, err := Suite()
	must.NoError(t, err)
	for _, row := range rows[:3] {
		row.EndMs, row.WarmMs = 14_000, 4_000
		a, err := Run(row.Scenario)
		must.NoError(t, err)
		b, err := Run(row.Scenario)
		must.NoError(t, err)
		must.Eq(t, a.Classes, b.Classes)
		must.Eq(t, a.Dispatches, b.Dispatches)
	}
}

func TestBaselineBreaksTheBoundsOfAFlood(t *testing.T) {
	rows, err := Suite()
	must.NoError(t, err)
	row := rows[2]
	row.Baseline = true
	o, err := Play(row)
	must.NoError(t, err)
	must.SliceNotEmpty(t, o.Broken, must.Sprint("the bounds hold for the baseline too, so they show nothing"))
	must.Less(t, 0.5, o.Result.Attainment(core.Urgent))
}
