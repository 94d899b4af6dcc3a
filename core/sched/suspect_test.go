package sched

import "testing"

// TestSuspectsArePreparedAgain guards against pieces that crash endpoints and are taken for other ones once the stages of their request
// are reset.
func TestSuspectsArePreparedAgain(t *testing.T) { playScripts(t, "testdata/suspects_again.json") }
