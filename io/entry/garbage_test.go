package entry

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/event"
	"cyclamenford/core/order"
	"cyclamenford/io/meter"
	"cyclamenford/io/pipe"
	"cyclamenford/io/wall"
)

// TestAConnectionThatBroughtGarbageIsClosed guards against a request on a connection whose endpoint has sent garbage.
func TestAConnectionThatBroughtGarbageIsClosed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	clock := wall.New()
	client := pipe.New(pipe.Options{Clock: clock})
	defer func() { must.NoError(t, client.Stop(t.Context())) }()
	r := &request{entry: &Entry{log: slog.New(slog.DiscardHandler), meter: meter.New()}}
	for range 2 {
		resp, err := client.Do(t.Context(), pipe.Request{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/", Host: "h"})
		must.NoError(t, err)
		_, err = resp.ReadAll(1)
		must.NoError(t, err)
		must.Eq(t, order.Garbled, r.recordGarbage(&order.Grant{}, resp, newAnswerWriter(nil, clock, event.None), nil, errNoEvents))
		resp.Close()
	}
	must.Eq(t, 2, client.Dials())
}
