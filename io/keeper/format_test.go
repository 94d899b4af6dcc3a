package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/golden"
)

// TestCallsKeepTheirFormat guards against fields and methods renamed here, which a host of the release would not understand.
func TestCallsKeepTheirFormat(t *testing.T) {
	must.Eq(t, "Quorum", QuorumService)
	must.Eq(t, 1, golden.Calls(t, &quorumCalls{}))
	must.Eq(t, "Control", ControlService)
	must.Eq(t, 11, golden.Calls(t, &controlCalls{}))
}
