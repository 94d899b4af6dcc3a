package origin

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
)

// TestBooks plays the changes in testdata/books.json and compares the versions of streams, in the book and in one restored from its
// contents.
func TestBooks(t *testing.T) {
	raw, err := os.ReadFile("testdata/books.json")
	must.NoError(t, err)
	var rows []struct {
		Name  string
		Steps []struct {
			At core.Millis
			// Add, Settle and Begin name a version, and Of the streams that begin.
			Add, Settle, Begin string
			Of                 []core.RequestID
			// Stream is looked up if Want is set, which is ? if its version is not known.
			Stream core.RequestID
			Want   string
		}
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			b := New()
			for i, s := range row.Steps {
				if s.Add != "" {
					b.AddVersion(s.At, "s", s.Add)
				}
				if s.Settle != "" {
					b.Settle("s", s.Settle)
				}
				var streams []Stream
				for _, id := range s.Of {
					streams = append(streams, NewStream("o", id))
				}
				if s.Begin != "" {
					b.Begin(s.At, s.Begin, streams)
				}
				if s.Want == "" {
					continue
				}
				stream := Stream(0)
				if s.Stream != "" {
					stream = NewStream("o", s.Stream)
				}
				for _, book := range []*Book{b, Restore(b.Services(), b.Records())} {
					version, ok := book.Version(s.At, "s", stream)
					if !ok {
						version = "?"
					}
					must.Eq(t, s.Want, version, must.Sprintf("step %d", i))
				}
			}
		})
	}
	must.NotEq(t, NewStream("o", "a"), NewStream("p", "a"))
}
