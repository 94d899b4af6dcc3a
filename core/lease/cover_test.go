package lease

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
)

// TestCover plays changes of a host's lease and configuration, and checks when the host may serve.
func TestCover(t *testing.T) {
	raw, err := os.ReadFile("testdata/covers.json")
	must.NoError(t, err)
	var rows []struct {
		Name  string
		Steps []struct {
			Lease, Now        core.Millis
			InForce, Received uint64
			Serves            bool
		}
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			var c Cover
			for i, s := range row.Steps {
				c = c.With(s.Lease, s.InForce, s.Received)
				must.Eq(t, s.Serves, c.Serves(s.Now), must.Sprintf("step %d", i))
			}
		})
	}
}
