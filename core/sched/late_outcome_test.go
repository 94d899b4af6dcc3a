package sched

import "testing"

// TestLateOutcomes guards against requests that are prepared again, and sent with empty inputs, because of a stage call whose pieces another
// call has run meanwhile.
func TestLateOutcomes(t *testing.T) { playScripts(t, "testdata/late_outcomes.json") }
