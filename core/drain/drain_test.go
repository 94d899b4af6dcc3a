package drain

import (
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
)

// TestLastStart plays the latest requests of a route and checks until when a stopping host sends the next one.
func TestLastStart(t *testing.T) {
	raw, err := os.ReadFile("testdata/stops.json")
	must.NoError(t, err)
	var rows []struct {
		Name        string
		Began, Ends core.Millis
		Took        []struct {
			Sample
			Times int
		}
		Asks []struct {
			Size      int
			LastStart core.Millis
		}
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			l := NewLengths()
			for _, x := range row.Took {
				for range max(1, x.Times) {
					l.Add("r", x.Sample)
				}
			}
			w := Window{Began: row.Began, Ends: row.Ends}
			for _, ask := range row.Asks {
				must.Eq(t, ask.LastStart, w.LastStart(l.Estimate("r", ask.Size)))
			}
		})
	}
}

// TestIdleConnectionsEndBeforeTheSlowestRouteIsRefused guards against an open connection whose next request can only be refused.
func TestIdleConnectionsEndBeforeTheSlowestRouteIsRefused(t *testing.T) {
	l, w := NewLengths(), Window{Began: 0, Ends: 7200}
	must.Eq(t, 2400, w.LastStart(l.Longest()))
	l.Add("plain", Sample{Size: 1, First: 50, Total: 50})
	l.Add("stream", Sample{Size: 100, First: 200, Total: 4200})
	must.Eq(t, 3000, w.LastStart(l.Longest()))
}

// TestLengthsForgetRoutes guards against growth with each new route of many configurations.
func TestLengthsForgetRoutes(t *testing.T) {
	l := NewLengths()
	for i := range 1000 {
		l.Add(strconv.Itoa(i), Sample{Size: 1, First: 100, Total: 100})
		l.Retain(func(route string) bool { return route == strconv.Itoa(i) })
	}
	must.MapLen(t, 1, l.routes)
}
