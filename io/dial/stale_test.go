package dial

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// TestEarlierRefusalOnAReusedConnectionProvesNothing guards against telling a client that its request has not run, because an
// endpoint wrote an earlier refusal once more.
func TestEarlierRefusalOnAReusedConnectionProvesNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		// refusals holds the attempts that the refusals of the calls after the first name.
		refusals []string
		want     core.Outcome
	}{
		{"names no attempt", []string{""}, core.Unknown},
		{"names another attempt", []string{"other"}, core.Unknown},
		{"names the attempt", []string{"a"}, core.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var run Run
				must.NoError(t, json.NewDecoder(r.Body).Decode(&run))
				w.Header().Set("Content-Type", "application/json")
				calls++
				if calls == 1 {
					must.NoError(t, json.NewEncoder(w).Encode(Result{RequestID: run.RequestID, AttemptID: run.AttemptID, Output: json.RawMessage("1")}))
					return
				}
				if named := c.refusals[calls-2]; named != "" {
					w.Header().Set(attemptHeader, named)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				must.NoError(t, json.NewEncoder(w).Encode(Refusal{Outcome: core.NotRun}))
			}))
			defer server.Close()
			client := newClient(ignoreState, nil)
			target := core.Target{Life: core.Life{Endpoint: "e", Incarnation: 7}, Address: strings.TrimPrefix(server.URL, "http://")}
			run := Run{RequestID: "r", AttemptID: "a"}
			_, err := client.Call(context.Background(), target, run, true)
			must.NoError(t, err)
			_, err = client.Call(context.Background(), target, run, true)
			var e *Error
			must.True(t, errors.As(err, &e))
			must.Eq(t, c.want, e.Outcome)
		})
	}
}
