package dial

import (
	"compress/gzip"
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

// scripted is what the endpoint of a test answers.
type scripted struct {
	Name, Call, Type, Body string
	Status                 int
	Header, Also           map[string]string
	// Gzip compresses the body if the request allows it.
	Gzip     bool
	Accepted bool
	Outcome  core.Outcome
}

// ServeHTTP writes the answer. Whatever follows a redirect gets a sound answer.
func (a scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/elsewhere" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"RequestID":"r","AttemptID":"a","Output":1}`))
		return
	}
	// A nil value keeps the server from adding a type of its own.
	w.Header()["Content-Type"] = nil
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	for name, value := range a.Header {
		w.Header().Set(name, value)
	}
	for name, value := range a.Also {
		w.Header().Add(name, value)
	}
	if !a.Gzip {
		w.WriteHeader(a.Status)
		_, _ = w.Write([]byte(a.Body))
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.WriteHeader(a.Status)
	z := gzip.NewWriter(w)
	_, _ = z.Write([]byte(a.Body))
	_ = z.Close()
}

// call performs the named call and returns whether its answer was accepted, and the outcome of its error.
func call(c *Client, name string, target core.Target) (bool, core.Outcome) {
	ctx := context.Background()
	run := Run{RequestID: "r", AttemptID: "a"}
	var s *Stream
	var err error
	switch name {
	case "Run":
		_, err = c.Call(ctx, target, run, false)
	case "Stream":
		s, err = c.Stream(ctx, target, run)
	case "Resume":
		s, err = c.Resume(ctx, target, "a", 1)
	case "Probe":
		_, _, err = c.Probe(ctx, target)
	case "Ran":
		_, ran := c.FetchOutput(ctx, target, "k")
		return ran, ""
	case "Order":
		_, err = c.Order(ctx, target, "k", Order{Fence: 3})
	case "Cancel":
		c.Cancel(target, "a")
	}
	if s != nil {
		s.Close()
	}
	var e *Error
	if errors.As(err, &e) {
		return false, e.Outcome
	}
	return err == nil, ""
}

// TestAnswersThatAreNotDueAreRefused guards against an answer whose own head or bytes decide how far it is checked.
func TestAnswersThatAreNotDueAreRefused(t *testing.T) {
	raw, err := os.ReadFile("testdata/answers.json")
	must.NoError(t, err)
	var rows []scripted
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			server := httptest.NewServer(row)
			defer server.Close()
			target := core.Target{Life: core.Life{Endpoint: "e", Incarnation: 7}, Address: strings.TrimPrefix(server.URL, "http://")}
			accepted, outcome := call(newClient(ignoreState, nil), row.Call, target)
			must.Eq(t, row.Accepted, accepted)
			must.Eq(t, row.Outcome, outcome)
		})
	}
}
