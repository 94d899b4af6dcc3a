package poison

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

type step struct {
	Suspect, Begin, End, Release, Of Content
	On                               core.EndpointID
	OK, Well                         bool
	Standing                         *Standing
}

func TestCrashes(t *testing.T) {
	raw, err := os.ReadFile("testdata/crashes.json")
	must.NoError(t, err)
	var rows []struct {
		Name  string
		Steps []step
	}
	must.NoError(t, json.Unmarshal(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			b := New()
			for i, s := range row.Steps {
				runStep(t, b, i, s)
				b = Restore(b.Entries())
			}
		})
	}
}

func runStep(t *testing.T, b *Book, i int, s step) {
	at := must.Sprintf("step %d", i)
	switch {
	case s.Suspect != 0:
		must.Eq(t, *s.Standing, b.Suspect(core.Millis(i), s.Suspect, "o", s.On).Standing, at)
	case s.Begin != 0:
		must.Eq(t, s.OK, b.Begin(core.Millis(i), s.Begin, s.On), at)
	case s.End != 0:
		b.End(s.End, s.On, s.Well)
	case s.Release != 0:
		must.True(t, b.Release(s.Release), at)
	case s.Of != 0:
		must.Eq(t, *s.Standing, b.Get(s.Of).Standing, at)
	}
}
