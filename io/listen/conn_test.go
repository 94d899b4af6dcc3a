package listen

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"cyclamenford/bench/kept"
)

const testBodyBytes = 1400

// post returns a request with a body of testBodyBytes.
func post(t *testing.T, id string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://test.example/", strings.NewReader(strings.Repeat("x", testBodyBytes)))
	must.NoError(t, err)
	r.Header.Set("Id", id)
	return r
}

// TestRequestsTellWhichSideHasEndedTheirConnection guards against a log in which a connection that the host has closed looks like a
// client that has left.
func TestRequestsTellWhichSideHasEndedTheirConnection(t *testing.T) {
	for _, side := range []Side{ByClient, ByHost, Neither} {
		t.Run(string(side), func(t *testing.T) {
			began, ended := make(chan struct{}), make(chan Side, 1)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// The server watches the connection once the body was read.
				_, err := io.Copy(io.Discard, r.Body)
				test.NoError(t, err)
				close(began)
				select {
				case <-r.Context().Done():
				case <-time.After(200 * time.Millisecond):
				}
				ended <- EndedBy(r.Context())
			})
			s := New(Options{Name: "test", Address: "127.0.0.1:0"}, handler, slog.New(slog.DiscardHandler))
			must.NoError(t, s.Start(context.Background()))
			c, err := kept.Dial(s.Addr().String(), nil)
			must.NoError(t, err)
			request := post(t, "1")
			go func() { _, _, _ = c.Ask(request, 10*time.Second) }()
			<-began
			stopped, cancel := context.WithCancel(context.Background())
			cancel()
			switch side {
			case ByClient:
				must.NoError(t, c.Close())
			case ByHost:
				must.Error(t, s.Stop(stopped))
				must.Zero(t, s.handlers.Count(), must.Sprint("the handler has logged how its request ended"))
			}
			must.Eq(t, side, <-ended)
			_ = s.Stop(stopped)
		})
	}
}
