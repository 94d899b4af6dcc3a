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

// TestMayEnd guards against an event whose end is not seen, wherever its parts are split.
func TestMayEnd(t *testing.T) {
	for _, whole := range []string{"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n"} {
		for from := range len(whole) {
			must.True(t, MayEnd([]byte(whole), from), must.Sprintf("%q from %d", whole, from))
			must.False(t, MayEnd([]byte(whole[:len(whole)-1]), from), must.Sprintf("%q from %d", whole, from))
		}
	}
}

// BenchmarkLongEvent measures the parsing of a long event that comes in small parts.
func BenchmarkLongEvent(b *testing.B) {
	raw := []byte("id: 1\n" + strings.Repeat("data: "+strings.Repeat("x", 64)+"\n", 3600) + "\n")
	for range b.N {
		for n := 64; n < len(raw); n += 64 {
			if MayEnd(raw[:n], n-64) {
				_, err := NewOrder(None).Parse(testGrammar, raw[:n])
				must.NoError(b, err)
			}
		}
	}
}

// FuzzBatches guards against events that depend on how the bytes of a stream are split.
func FuzzBatches(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint16(9))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\ngarbage\n\n"), uint16(17))
	f.Fuzz(func(t *testing.T, raw []byte, cut uint16) {
		whole, wholeErr := NewOrder(None).Parse(testGrammar, raw)
		at := int(cut) % (len(raw) + 1)
		first, firstErr := NewOrder(None).Parse(testGrammar, raw[:at])
		if firstErr != nil {
			must.Error(t, wholeErr)
			must.Eq(t, string(whole.New), string(first.New))
			return
		}
		rest, restErr := first.Order.Parse(testGrammar, raw[at-len(first.Rest):])
		must.Eq(t, string(whole.New), string(first.New)+string(rest.New))
		must.Eq(t, whole.Order, rest.Order)
		must.Eq(t, wholeErr != nil, restErr != nil)
	})
}
