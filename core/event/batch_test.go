package event

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
)

// TestBatches guards against whole events that are held back, and bytes behind them that are passed on.
func TestBatches(t *testing.T) {
	raw, err := os.ReadFile("testdata/batches.json")
	must.NoError(t, err)
	var rows []struct {
		Name     string
		Received int64
		Raw      string
		// New and Rest are what the batch holds, and Last is the id of the last event that the client then has.
		New, Rest string
		Events    int
		Last      int64
		Bad       bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			// The bytes come in two parts at each place.
			for cut := range len(row.Raw) + 1 {
				o, pending, added, events, news, bad := NewOrder(row.Received), "", "", 0, 0, false
				for _, part := range []string{row.Raw[:cut], row.Raw[cut:]} {
					if bad {
						break
					}
					b, err := o.Parse(testGrammar, []byte(pending+part))
					o, pending, bad = b.Order, string(b.Rest), err != nil
					added, events, news = added+string(b.New), events+b.Events, news+b.Added
				}
				must.Eq(t, row.Bad, bad, must.Sprintf("cut at %d", cut))
				must.Eq(t, row.New, added, must.Sprintf("cut at %d", cut))
				must.Eq(t, row.Events, events)
				must.Eq(t, strings.Count(row.New, "id: "), news)
				must.Eq(t, row.Last, o.Received())
				must.True(t, strings.HasPrefix(row.Rest, pending), must.Sprintf("cut at %d: rest %q", cut, pending))
			}
		})
	}
}
