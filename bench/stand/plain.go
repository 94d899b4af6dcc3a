package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"

	"cyclamenford/core"
	"cyclamenford/io/dial"
)

// callLog counts the effects of plain calls by idempotency key.
type callLog struct {
	mu      sync.Mutex
	effects map[string]int
	outputs map[string]json.RawMessage
}

func newCallLog() *callLog {
	return &callLog{effects: map[string]int{}, outputs: map[string]json.RawMessage{}}
}

func (l *callLog) counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.effects)
}

// run counts an effect; it does not look for doubles, as a service that can't tell them.
func (l *callLog) run(key string, output json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[key]++
	l.outputs[key] = output
}

func (l *callLog) output(key string) (json.RawMessage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	output, ok := l.outputs[key]
	return output, ok
}

// plain runs one operation of a plain service.
func (s *Server) plain(w http.ResponseWriter, r *http.Request, run dial.Run) {
	release, err := s.batch.enter(r.Context(), run.Priority)
	if err != nil {
		return
	}
	defer release()
	f := s.currentFault()
	if !sleep(r.Context(), float64(s.options.WorkMs)*f.Slow, f.Stall) {
		return
	}
	output, err := json.Marshal(struct{ Service, Call, By string }{run.Model, run.Call, string(s.options.ID)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if run.IdempotencyKey != "" {
		s.calls.run(run.IdempotencyKey, output)
	}
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, dial.Result{RequestID: run.RequestID, AttemptID: run.AttemptID, Output: output})
}

// ran answers whether a call was run.
func (s *Server) ran(w http.ResponseWriter, r *http.Request) {
	output, ok := s.calls.output(r.URL.Query().Get("Key"))
	if !ok {
		reply(w, http.StatusNotFound, dial.Refusal{Outcome: core.NotRun, Detail: "not seen"})
		return
	}
	reply(w, http.StatusOK, dial.Result{Output: output})
}
