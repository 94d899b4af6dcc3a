package assign

import (
	"encoding/gob"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/golden"
)

// TestCallsKeepTheirFormat guards against fields and methods renamed here, which a keeper of the release would not understand.
func TestCallsKeepTheirFormat(t *testing.T) {
	must.Eq(t, "Assign", Service)
	must.Eq(t, 18, golden.Calls(t, &calls{}))
}

// TestGrantsOfTheFormerReleaseStayReadable guards against a keeper of the release whose grants, without a failure domain, would not be
// understood.
func TestGrantsOfTheFormerReleaseStayReadable(t *testing.T) {
	for _, name := range []string{"former/Place-reply", "former/Again-reply"} {
		file, err := os.Open("testdata/golden/" + name + ".gob")
		must.NoError(t, err)
		var reply PlaceReply
		must.NoError(t, gob.NewDecoder(file).Decode(&reply))
		must.NoError(t, file.Close())
		must.Eq(t, "", reply.Grant.FailureDomain)
		golden.Same(t, name, reply)
	}
}
