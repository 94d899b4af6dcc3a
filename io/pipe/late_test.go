package pipe

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/clock"
)

// TestRequestIsNotSentAfterItsTime guards against requests that reach an endpoint after their permit has expired, such as when
// connecting takes long.
func TestRequestIsNotSentAfterItsTime(t *testing.T) {
	arrived := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
	defer server.Close()
	c := New(Options{Clock: clock.New(1000)})
	r := Request{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/", Host: "h", SendBy: 999}
	_, err := c.Do(t.Context(), r)
	must.ErrorIs(t, err, ErrSentTooLate)
	must.True(t, NotSent(err))
	must.Zero(t, arrived)
	r.SendBy = 1000
	resp, err := c.Do(t.Context(), r)
	must.NoError(t, err)
	resp.Close()
	must.Eq(t, 1, arrived)
}
