package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"

	"cyclamenford/core"
	"cyclamenford/io/dial"
)

// callLog counts the executions of plain calls and keeps their outputs, by idempotency key.
type callLog struct {
	mu           sync.Mutex
	runsByKey    map[string]int
	outputsByKey map[string]json.RawMessage
}

func newCallLog() *callLog {
	return &callLog{runsByKey: map[string]int{}, outputsByKey: map[string]json.RawMessage{}}
}

func (l *callLog) counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runsByKey)
}

// record counts an execution of a call. It does not deduplicate, like a service that cannot detect repeated calls.
func (l *callLog) record(key string, output json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByKey[key]++
	l.outputsByKey[key] = output
}

func (l *callLog) output(key string) (json.RawMessage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	output, ok := l.outputsByKey[key]
	return output, ok
}

// servePlainCall executes one call of a plain service.
func (s *Server) servePlainCall(w http.ResponseWriter, r *http.Request, run dial.Run) {
	release, err := s.batch.acquireSlot(r.Context(), run.Priority)
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
		s.calls.record(run.IdempotencyKey, output)
	}
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, dial.Result{RequestID: run.RequestID, AttemptID: run.AttemptID, Output: output})
}

// serveCallResult returns the output of an executed call, or 404 if the stand-in has not executed it.
func (s *Server) serveCallResult(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("Key")
	output, ok := s.calls.output(key)
	if !ok {
		writeJSON(w, http.StatusNotFound, dial.Refusal{Outcome: core.NotRun, Detail: "not seen"})
		return
	}
	writeJSON(w, http.StatusOK, dial.CallOutput{Key: key, Output: output})
}
