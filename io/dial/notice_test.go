package dial

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/core/notice"
)

// TestNotices reads cases from a data file. It guards against attributing a notice to an endpoint when the response
// belongs to another attempt or another incarnation.
func TestNotices(t *testing.T) {
	raw, err := os.ReadFile("testdata/notices.json")
	must.NoError(t, err)
	var rows []struct {
		Name, Call string
		Status     int
		Header     map[string]string
		Body       json.RawMessage
		Want       notice.Notice
		Limit      limit.Statement
		Unread     bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for name, value := range row.Header {
					w.Header().Set(name, value)
				}
				w.WriteHeader(row.Status)
				_, _ = w.Write(row.Body)
			}))
			defer server.Close()
			target := core.Target{Life: core.Life{Endpoint: "e", Incarnation: 7}, Address: strings.TrimPrefix(server.URL, "http://")}
			var got notice.Notice
			var stated limit.Statement
			unread := false
			c := newClient(func(l core.Life, s EndpointState) {
				must.Eq(t, target.Life, l)
				got, stated, unread = s.Notice, s.Limit, s.HeaderError != nil
			}, nil)
			call(c, row.Call, target)
			must.Eq(t, row.Want, got)
			must.Eq(t, row.Limit, stated)
			must.Eq(t, row.Unread, unread)
		})
	}
}

func TestProbeWithoutPermitTellsWhetherTheEndpointHasEnded(t *testing.T) {
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	target := core.Target{Address: strings.TrimPrefix(server.URL, "http://")}
	denied := func(context.Context, core.Life, core.Millis) bool { return false }
	c := newClient(ignoreState, denied)
	_, gone, err := c.Probe(context.Background(), target)
	must.False(t, gone)
	must.ErrorIs(t, err, ErrNoPermit)
	must.Zero(t, served)
	server.Close()
	_, gone, err = c.Probe(context.Background(), target)
	must.True(t, gone)
	must.Error(t, err)
}
