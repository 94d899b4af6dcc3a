package event

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
)

var testGrammar = Grammar{LeadingField: "weights"}

// TestParse guards against bytes that are taken for an event, and against events that are not recognised.
func TestParse(t *testing.T) {
	raw, err := os.ReadFile("testdata/events.json")
	must.NoError(t, err)
	var rows []struct {
		Name, Raw string
		// Bytes are used in place of Raw if that is empty.
		Bytes []byte
		ID    int64
		Bad   bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			id, err := testGrammar.Parse(append([]byte(row.Raw), row.Bytes...))
			if row.Bad {
				must.ErrorIs(t, err, ErrNoEvent)
				return
			}
			must.NoError(t, err)
			must.Eq(t, row.ID, id)
		})
	}
}

// TestOrder guards against events that are missing, come twice or are those of another place in the stream.
func TestOrder(t *testing.T) {
	raw, err := os.ReadFile("testdata/orders.json")
	must.NoError(t, err)
	var rows []struct {
		Name     string
		Received int64
		IDs, New []int64
		// Bad means that the last id is refused.
		Bad bool
		// Behind means that the stream can't end there.
		Behind bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			o := NewOrder(row.Received)
			var added []int64
			for i, id := range row.IDs {
				next, isNew, err := o.Next(id)
				if row.Bad && i == len(row.IDs)-1 {
					must.ErrorIs(t, err, ErrOrder)
					break
				}
				must.NoError(t, err)
				if isNew {
					added = append(added, id)
				}
				o = next
			}
			must.Eq(t, row.New, added)
			must.Eq(t, row.Behind, o.IsBehind())
		})
	}
}

// FuzzParse checks that what is accepted holds exactly the fields of an event.
func FuzzParse(f *testing.F) {
	f.Add([]byte("id: 7\ndata: x\n\n"))
	f.Add([]byte("weights: 3\r\nid: 1\r\ndata: x\r\n\r\n"))
	f.Add([]byte("id: 7\nid: 8\ndata: x\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		id, err := testGrammar.Parse(raw)
		if err != nil {
			must.ErrorIs(t, err, ErrNoEvent)
			return
		}
		ids := 0
		for line := range bytes.Lines(bytes.ReplaceAll(raw, []byte("\r\n"), []byte("\n"))) {
			switch {
			case bytes.HasPrefix(line, []byte("data:")), bytes.HasPrefix(line, []byte("weights:")), string(line) == "\n":
			case string(line) == fmt.Sprintf("id: %d\n", id), string(line) == fmt.Sprintf("id:%d\n", id):
				ids++
			default:
				t.Fatalf("accepted %q", raw)
			}
		}
		must.Eq(t, 1, ids)
	})
}

// BenchmarkParse measures the parsing of an event of usual size.
func BenchmarkParse(b *testing.B) {
	raw := []byte("id: 123\ndata: 1b.c.1.7f720465500dccc3.reozfygzbrmxrtowaiifc\n\n")
	b.ReportAllocs()
	for range b.N {
		_, err := testGrammar.Parse(raw)
		must.NoError(b, err)
	}
}
