package spool

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
)

// TestSpool plays what answers hold and what their clients read, and checks which answer ends when the budget is used up.
func TestSpool(t *testing.T) {
	raw, err := os.ReadFile("testdata/spools.json")
	must.NoError(t, err)
	var rows []struct {
		Name   string
		Budget int64
		Steps  []struct {
			At                        core.Millis
			Add, Read, Release, Force ID
			Resumable                 bool
			Bytes, Fixed              int64
			Want                      Verdict
			Ends                      ID
			Held, Most                int64
		}
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			s := New(row.Budget)
			for i, step := range row.Steps {
				var d Decision
				switch {
				case step.Add > 0:
					d = s.Add(step.At, step.Add, step.Resumable, step.Bytes)
				case step.Read > 0:
					s.Read(step.At, step.Read, step.Bytes)
				case step.Release > 0:
					s.Release(step.Release, step.Bytes)
				case step.Force > 0:
					s.Force(step.At, step.Force, step.Resumable, step.Bytes)
				case step.Fixed > 0:
					d = s.AddFixed(step.At, step.Fixed)
				default:
					s.ReleaseFixed(-step.Fixed)
				}
				must.Eq(t, step.Want, d.Verdict, must.Sprintf("step %d", i))
				must.Eq(t, step.Ends, d.Ends, must.Sprintf("step %d", i))
				if step.Held > 0 {
					must.Eq(t, step.Held, s.Held(), must.Sprintf("step %d", i))
				}
				if step.Most > 0 {
					must.Eq(t, step.Most, s.Most(), must.Sprintf("step %d", i))
				}
			}
		})
	}
}
