package flow

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/core/tree"
)

// TestResumedStreamsThatAreNotTheRestAreRefused guards against a resumed stream that looks whole and holds other events.
func TestResumedStreamsThatAreNotTheRestAreRefused(t *testing.T) {
	raw, err := os.ReadFile("testdata/resumed.json")
	must.NoError(t, err)
	var rows []struct {
		Name, Body, Text string
		After            uint64
		Reason           core.Reason
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			r, engine := startEngine(t, row.Body)
			sink := &textSink{}
			q := Request{ID: "r", Sink: sink, TeamSettings: tree.Team{Organisation: "o"}}
			_, problem := r.Resume(context.Background(), q, r.token(q, "a", engine), row.After)
			reason := core.Reason("")
			if problem != nil {
				reason = problem.Reason
			}
			must.Eq(t, row.Reason, reason)
			must.Eq(t, row.Text, sink.text)
		})
	}
}

// TestAResumedStreamThatStallsEnds guards against a caller that waits without end for an engine that sends nothing.
func TestAResumedStreamThatStallsEnds(t *testing.T) {
	r, engine := startEngine(t, "id: 1\ndata: {\"Text\":\"a\"}\n\n"+stalls)
	sink := &textSink{}
	q := Request{ID: "r", Sink: sink, TeamSettings: tree.Team{Organisation: "o"}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, problem := r.Resume(ctx, q, r.token(q, "a", engine), 0)
	must.NotNil(t, problem)
	must.NoError(t, ctx.Err())
	must.Eq(t, "a", sink.text)
}

// TestAResumedStreamEndsWhenTheHostStops guards against a resumed stream that holds up a stop until its connection is closed.
func TestAResumedStreamEndsWhenTheHostStops(t *testing.T) {
	r, engine := startEngine(t, stalls)
	q := Request{ID: "r", Sink: &textSink{}, TeamSettings: tree.Team{Organisation: "o"}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r.EndRequests()
	_, problem := r.Resume(ctx, q, r.token(q, "a", engine), 0)
	must.NoError(t, ctx.Err())
	must.NotNil(t, problem)
	must.Eq(t, core.ReasonHostStopping, problem.Reason)
}

// TestOnlyARefusalShowsThatAStreamIsGone guards against callers that give up a stream because of an answer that is not due.
func TestOnlyARefusalShowsThatAStreamIsGone(t *testing.T) {
	for _, row := range []struct {
		name, kind, body string
		status, want     int
		reason           core.Reason
	}{
		{"a refusal", "application/json", `{"Outcome":"NotRun"}`, http.StatusNotFound, http.StatusGone, core.ReasonUnknownStream},
		{"a page", "text/html", "x", http.StatusBadGateway, http.StatusBadGateway, core.ReasonBadAnswer},
		{"a success of another type", "text/plain", "x", http.StatusOK, http.StatusBadGateway, core.ReasonBadAnswer},
	} {
		t.Run(row.name, func(t *testing.T) {
			r, engine := startEngineOf(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", row.kind)
				w.Header().Set("Attempt-Id", "a")
				w.WriteHeader(row.status)
				_, _ = w.Write([]byte(row.body))
			})
			q := Request{ID: "r", Sink: &textSink{}, TeamSettings: tree.Team{Organisation: "o"}}
			_, problem := r.Resume(context.Background(), q, r.token(q, "a", engine), 0)
			must.NotNil(t, problem)
			must.Eq(t, row.want, problem.Status)
			must.Eq(t, row.reason, problem.Reason)
		})
	}
}
