package pipe

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/io/wall"
)

// TestAbortAfterCloseLeavesTheNextRequestAlone guards against a late abort that closes a connection which carries another request by then.
func TestAbortAfterCloseLeavesTheNextRequestAlone(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(begun)
			<-release
		}
		_, _ = io.WriteString(w, "answer")
	}))
	defer server.Close()
	c := New(Options{Clock: wall.New()})
	request := Request{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/first", Host: "a"}
	first, err := c.Do(context.Background(), request)
	must.NoError(t, err)
	_, err = first.ReadAll(100)
	must.NoError(t, err)
	first.Close()
	answered := make(chan error)
	go func() {
		request.Target = "/second"
		second, err := c.Do(context.Background(), request)
		if err == nil {
			defer second.Close()
			_, err = second.ReadAll(100)
		}
		answered <- err
	}()
	<-begun
	first.Abort()
	close(release)
	must.NoError(t, <-answered)
	must.Eq(t, 1, c.Dials())
}
