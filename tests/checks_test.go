package tests

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/drill"
	"cyclamenford/core"
	"cyclamenford/io/admin"
	"cyclamenford/io/caller"
)

// TestChecksCatchBreaches gives each check a record in which its promise is broken.
func TestChecksCatchBreaches(t *testing.T) {
	expected := func([]byte) (string, error) { return "right", nil }
	base := drill.NewRecord()
	must.SliceEmpty(t, drill.CheckAnswers(base, expected))

	wrong := drill.NewRecord()
	wrong.Answers = []drill.Answer{
		{Stream: true, Reply: caller.Reply{Outcome: core.Completed, Text: "righ"}},
		{Reply: caller.Reply{Outcome: core.Completed, Output: json.RawMessage(`{"Text":"another's"}`)}},
		{Stream: true, Reply: caller.Reply{Outcome: core.Completed, Text: "right"}},
	}
	must.SliceLen(t, 2, drill.CheckAnswers(wrong, expected))

	begun := drill.NewRecord()
	begun.Answers = []drill.Answer{{Reply: caller.Reply{Outcome: core.NotRun, RequestID: "r"}}}
	begun.Seen["r"] = 1
	begun.Calls = []drill.Call{{Key: "k", Replies: []caller.Reply{{Outcome: core.NotRun}}}}
	begun.Effects["org/k"] = 1
	must.SliceLen(t, 2, drill.CheckNotRun(begun))

	doubled := drill.NewRecord()
	doubled.Calls = []drill.Call{
		{Key: "twice"},
		{Key: "never", Replies: []caller.Reply{{Outcome: core.Completed}}},
		{Key: "two answers", Replies: []caller.Reply{
			{Outcome: core.Completed, Output: []byte("a")}, {Outcome: core.Completed, Output: []byte("b")},
		}},
	}
	doubled.Effects["org/twice"], doubled.Effects["org/two answers"] = 2, 1
	must.SliceLen(t, 3, drill.CheckOnce(doubled))

	reverted := drill.NewRecord()
	reverted.Changes = []drill.Change{
		{Version: 1, Doc: []byte("x"), Accepted: true},
		{Version: 1, Doc: []byte("y"), Accepted: true},
		{Version: 7, Accepted: true},
	}
	reverted.History = []admin.Subtree{{Version: 2, Doc: json.RawMessage("x")}}
	reverted.Versions = []uint64{2, 1}
	must.SliceLen(t, 4, drill.CheckSettings(reverted))

	cut := drill.NewRecord()
	cut.Answers = []drill.Answer{{Host: "h", Stream: true, Reply: caller.Reply{Events: 3, Resumes: 1}}}
	must.SliceLen(t, 1, drill.CheckUncut(cut))
	cut.Lost["h"] = true
	must.SliceEmpty(t, drill.CheckUncut(cut))

	left := drill.NewRecord()
	left.NewWork["e"] = 1
	must.SliceLen(t, 1, drill.CheckLeft(left))

	crashes := drill.NewRecord()
	crashes.Crashes["e"] = 4
	must.SliceLen(t, 1, drill.CheckCrashes(crashes, 3))
	must.SliceEmpty(t, drill.CheckCrashes(crashes, 4))
}
