package poison

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
)

// partStep is one step of testdata/parts.json, at the time At in ms. Crash, Begin, End, Clear and Judge hold parts; the step does
// what the one that is set says.
type partStep struct {
	At core.Millis
	// Crash is counted for Request, sent Age before, on the endpoint On.
	Crash   []Content
	Request Content
	On      core.EndpointID
	Age     core.Millis
	// Begin begins a trial on the endpoint On, with the result OK, and End ends it.
	Begin, End []Content
	OK         bool
	Clear      []Content
	// Judge holds the parts of a request, and Want the verdict on it.
	Judge []Content
	Want  string
	Purge bool
}

// TestParts replays scripted crashes, trials and begun answers. It restores the records after each step, which guards against
// state that a snapshot loses.
func TestParts(t *testing.T) {
	raw, err := os.ReadFile("testdata/parts.json")
	must.NoError(t, err)
	var rows []struct {
		Name  string
		Steps []partStep
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			b := NewParts()
			for i, s := range row.Steps {
				runPartStep(t, b, i, s)
				b = RestoreParts(b.Entries())
			}
		})
	}
}

func runPartStep(t *testing.T, b *Parts, i int, s partStep) {
	message := must.Sprintf("step %d", i)
	switch {
	case s.Crash != nil:
		b.RecordCrash(s.At, PartCrash{Parts: s.Crash, Request: s.Request, Life: core.Life{Endpoint: s.On}, SentAt: s.At - s.Age})
	case s.Begin != nil:
		must.Eq(t, s.OK, b.BeginTrial(s.At, s.Begin, s.On, 0), message)
	case s.End != nil:
		b.EndTrial(s.End, s.On)
	case s.Clear != nil:
		must.Eq(t, s.OK, b.Clear(s.Clear), message)
	case s.Judge != nil:
		must.Eq(t, s.Want, Judge(b.entries, s.At, s.Judge).Standing.String(), message)
	case s.Purge:
		b.Purge(s.At)
	}
}

// TestPartsAreBounded guards against unbounded growth when each crash brings new parts, and against the eviction of convictions
// before other records.
func TestPartsAreBounded(t *testing.T) {
	b := NewParts()
	for i := range 2 {
		b.RecordCrash(core.Millis(100*i), PartCrash{Parts: []Content{1}, Request: Content(i), SentAt: core.Millis(100 * i)})
	}
	must.True(t, b.BeginTrial(200, []Content{1}, "a", 0))
	b.RecordCrash(300, PartCrash{Parts: []Content{1}, Request: 9, Life: core.Life{Endpoint: "a"}, SentAt: 200})
	for i := range 2 * maxParts {
		b.RecordCrash(core.Millis(400+i), PartCrash{Parts: []Content{Content(10 + i)}, Request: Content(i), SentAt: core.Millis(400 + i)})
	}
	must.LessEq(t, maxParts, len(b.Entries()))
	must.Eq(t, Convicted, b.Get(1).Standing)
}
