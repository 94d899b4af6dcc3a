package assign

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/golden"
)

// TestCallsKeepTheirFormat guards against fields and methods renamed here, which a keeper of the release would not understand.
func TestCallsKeepTheirFormat(t *testing.T) {
	must.Eq(t, "Assign", Service)
	must.Eq(t, 18, golden.Calls(t, &calls{}))
}
