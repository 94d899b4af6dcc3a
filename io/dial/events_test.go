package dial

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
)

// latin1 returns a text with a byte for each of its characters.
func latin1(text string) []byte {
	var raw []byte
	for _, r := range text {
		raw = append(raw, byte(r))
	}
	return raw
}

// readStream reads the events of a stream to its end and returns their text and how it ended.
func readStream(s *Stream) (text, end string) {
	for {
		event, err := s.Next()
		var e *Error
		switch {
		case err == nil && event.Done:
			return text, "Done"
		case err == nil:
			text += event.Text
		case !errors.As(err, &e):
			return text, err.Error()
		case e.ConnectionLost:
			return text, "Cut"
		case e.Reason == core.ReasonBadAnswer:
			return text, "Garbage"
		default:
			return text, string(e.Outcome)
		}
	}
}

// TestBytesThatAreNotTheNextEventEndTheAttempt guards against garbage of an engine that is skipped, or taken for a cut connection.
func TestBytesThatAreNotTheNextEventEndTheAttempt(t *testing.T) {
	raw, err := os.ReadFile("testdata/streams.json")
	must.NoError(t, err)
	var rows []struct {
		Name, Body, Text, End string
		// Latin1 sends a byte for each character of the body.
		Latin1 bool
		From   uint64
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		body := []byte(row.Body)
		if row.Latin1 {
			body = latin1(row.Body)
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(attemptHeader, "a")
			_, _ = w.Write(body)
		}))
		target := core.Target{Life: core.Life{Endpoint: "e", Incarnation: 7}, Address: strings.TrimPrefix(server.URL, "http://")}
		c := newClient(ignoreState, nil)
		for call, open := range map[string]func() (*Stream, error){
			"Stream": func() (*Stream, error) {
				return c.Stream(context.Background(), target, Run{RequestID: "r", AttemptID: "a", From: row.From})
			},
			"Resume": func() (*Stream, error) { return c.Resume(context.Background(), target, "a", max(1, row.From)) },
		} {
			t.Run(row.Name+"/"+call, func(t *testing.T) {
				s, err := open()
				must.NoError(t, err)
				defer s.Close()
				text, end := readStream(s)
				must.Eq(t, row.Text, text)
				must.Eq(t, row.End, end)
			})
		}
		server.Close()
	}
}
