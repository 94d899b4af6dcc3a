package spool

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// BenchmarkFullOfPaused measures a decision on a host on which most answers are paused, since they cannot be resumed.
func BenchmarkFullOfPaused(b *testing.B) {
	const paused = 300
	s := New(paused)
	for id := range ID(paused) {
		must.Eq(b, Hold, s.Add(0, id+1, false, 1).Verdict)
	}
	now := core.Millis(1)
	for b.Loop() {
		must.Eq(b, Wait, s.Add(now, paused+1, false, 1).Verdict)
	}
}

// TestPausedAnswersAreNotPausedAgain guards against a decision whose cost is the square of the number of paused answers: one that went
// through them again recorded each in a map.
func TestPausedAnswersAreNotPausedAgain(t *testing.T) {
	const paused = 300
	s := New(paused)
	for id := range ID(paused) {
		must.Eq(t, Hold, s.Add(0, id+1, false, 1).Verdict)
	}
	must.Eq(t, Wait, s.Add(1, paused+1, false, 1).Verdict)
	must.LessEq(t, 2, testing.AllocsPerRun(10, func() { s.Add(1, paused+1, false, 1) }))
}
