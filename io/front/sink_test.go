package front

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startStream starts a server that writes a stream to its caller, and returns the caller's answer.
func startStream(t *testing.T, write func(*eventSink)) *http.Response {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		write(&eventSink{writer: w, control: http.NewResponseController(w), timeout: time.Second})
	}))
	t.Cleanup(server.Close)
	resp, err := http.Get(server.URL)
	must.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// TestAStreamThatTheHostCutsEndsBehindAWholeEvent guards against events that stay in the buffers of the HTTP server, in parts or whole.
func TestAStreamThatTheHostCutsEndsBehindAWholeEvent(t *testing.T) {
	for _, size := range []int{1, 100, 5000, 100_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			text, want := strings.Repeat("x", size), ""
			for n := range 60 {
				want += fmt.Sprintf("id: %d\ndata: {\"Text\":%q}\n\n", n+1, text)
			}
			resp := startStream(t, func(s *eventSink) {
				for n := range 60 {
					if err := s.Event(uint64(n+1), text); err != nil {
						t.Error(err)
					}
				}
				panic(http.ErrAbortHandler)
			})
			got, err := io.ReadAll(resp.Body)
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			must.True(t, want == string(got), must.Sprintf("%d of %d bytes", len(got), len(want)))
		})
	}
}

// TestAWholeEventIsNotHeldBack guards against an event that waits for the next one in the buffers of the HTTP server.
func TestAWholeEventIsNotHeldBack(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	resp := startStream(t, func(s *eventSink) {
		if err := s.Event(1, "x"); err != nil {
			t.Error(err)
		}
		<-held
	})
	event := make([]byte, len("id: 1\ndata: {\"Text\":\"x\"}\n\n"))
	_, err := io.ReadFull(resp.Body, event)
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: {\"Text\":\"x\"}\n\n", string(event))
}
