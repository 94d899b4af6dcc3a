package flow

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/io/dial"
	"cyclamenford/io/meter"
	"cyclamenford/io/trace"
	"cyclamenford/io/tries"
)

// textSink keeps the text that a caller gets.
type textSink struct{ text string }

func (s *textSink) Start(string) error { return nil }

func (s *textSink) Event(_ uint64, text string) error {
	s.text += text
	return nil
}

// stalls ends the body of an engine that then sends nothing.
const stalls = "STALLS"

// startEngine starts an engine that answers each call with a stream, and returns a runner and the engine's announcement.
func startEngine(t *testing.T, body string) (*Runner, core.Announcement) {
	body, stalled := strings.CutSuffix(body, stalls)
	return startEngineOf(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Attempt-Id", "a")
		_, _ = w.Write([]byte(body))
		if stalled {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	})
}

// startEngineOf starts an engine with the given handler, and returns a runner and the engine's announcement.
func startEngineOf(t *testing.T, serve http.HandlerFunc) (*Runner, core.Announcement) {
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	m, log := meter.New(), slog.New(slog.DiscardHandler)
	c := dial.New(nil, nil, trace.New(trace.Options{}), func(core.Life, dial.EndpointState) {}, nil, m, log)
	r := &Runner{Attempts: &tries.Attempts{Dial: c, Meter: m, Log: log}, options: Options{TokenKey: []byte("k")}}
	r.ended, r.end = context.WithCancel(context.Background())
	t.Cleanup(r.end)
	return r, core.Announcement{ID: "e", Incarnation: 7, Address: strings.TrimPrefix(server.URL, "http://")}
}

// TestGapInAStreamIsNoCutConnection guards against a request that is suspected of a crash because its engine sent garbage.
func TestGapInAStreamIsNoCutConnection(t *testing.T) {
	r, engine := startEngine(t, "id: 1\ndata: {\"Text\":\"a\"}\n\nid: 3\ndata: {\"Text\":\"c\"}\n\n")
	stream, err := r.Dial.Stream(context.Background(), engine.Target(), dial.Run{AttemptID: "a"})
	must.NoError(t, err)
	defer stream.Close()
	sink := &textSink{}
	s := &streamRun{runner: r, progress: &progress{request: Request{Sink: sink}}, next: 1, hash: xxhash.New(), sent: tries.Sent{Began: true}}
	_, err = s.forwardEvents(stream, time.NewTimer(time.Minute))
	var e *dial.Error
	must.True(t, errors.As(err, &e))
	must.False(t, e.ConnectionLost)
	must.Eq(t, core.ReasonBadAnswer, e.Reason)
	must.Eq(t, "a", sink.text)
}
