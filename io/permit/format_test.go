package permit

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/golden"
)

// TestCallsKeepTheirFormat guards against fields and methods renamed here, which a keeper of the release would not understand.
func TestCallsKeepTheirFormat(t *testing.T) {
	must.Eq(t, "Permit", Service)
	must.Eq(t, 2, golden.Calls(t, &calls{}))
}

// TestCallsOfTheFormerReleaseAreRead guards against hosts and keepers that do not understand each other during an update.
func TestCallsOfTheFormerReleaseAreRead(t *testing.T) {
	golden.Former(t, map[string]any{"Take-argument": new(TakeArgs), "Take-reply": new(TakeReply)})
}
