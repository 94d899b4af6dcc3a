package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/io/dial"
)

// crashExitCode is the exit code of the process after a simulated crash.
const crashExitCode = 70

// Server is one stand-in endpoint.
type Server struct {
	options     Options
	incarnation core.Incarnation
	startedAt   time.Time
	listener    net.Listener
	http        *http.Server
	batch       *batch
	cache       *cache
	calls       *callLog
	orders      *orderLog
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	// advertised is the announced address.
	advertised string

	mu    sync.Mutex
	fault Fault
	// sendTimes holds the time at which each run was sent.
	sendTimes     []time.Time
	runsByRequest map[core.RequestID]int
	// leaving is announced as a goodbye.
	leaving bool
	seq     uint64
	// leavingInAnswers marks the stand-in as leaving in the headers of answers, but not in announcements. toldLeaving holds the
	// time of the first such answer to each host.
	leavingInAnswers bool
	toldLeaving      map[string]time.Time
	leaveBreaches    int
	// hostPauses holds the latest pause requested of each host.
	hostPauses    map[string]*hostPause
	pauseBreaches int
	// limitPerSecond is the limit that answers name at present, 0 for none. limits holds all that were named.
	limitPerSecond float64
	limits         []*namedLimit
}

// New returns a stand-in that has not been started.
func New(o Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	if o.Senders == nil {
		o.Senders = direct{}
	}
	s := &Server{
		options: o, incarnation: core.Incarnation(time.Now().UnixMicro()), startedAt: time.Now(), ctx: ctx, cancel: cancel,
		runsByRequest: map[core.RequestID]int{}, batch: newBatch(o.Slots), cache: newCache(o.CacheEntries, o.GapPercent), calls: newCallLog(),
		hostPauses: map[string]*hostPause{}, toldLeaving: map[string]time.Time{},
	}
	s.orders = newOrderLog(s)
	return s
}

// Start opens the listener, serves it and starts the announcements.
func (s *Server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("listen as stand-in: %w", err)
	}
	s.listener = l
	s.advertised = l.Addr().String()
	if s.options.Advertise != nil {
		s.advertised = s.options.Advertise(s.advertised)
	}
	s.http = &http.Server{Handler: s.addLimitHeader(s.addLeavingHeader(s.routes()))}
	s.wg.Go(func() { _ = s.http.Serve(l) })
	s.wg.Go(s.announceLoop)
	return nil
}

// Stop announces a goodbye, closes the listener and waits for the requests in progress.
func (s *Server) Stop(ctx context.Context) error {
	s.Leave()
	err := s.http.Shutdown(ctx)
	s.cancel()
	s.wg.Wait()
	if err != nil {
		return fmt.Errorf("stop stand-in: %w", err)
	}
	return nil
}

// Leave announces a goodbye and keeps serving requests.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.announce()
}

// Crash closes the listener and all connections immediately.
func (s *Server) Crash() {
	s.cancel()
	_ = s.http.Close()
}

// Address returns the address of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// ID returns the identifier of the endpoint.
func (s *Server) ID() core.EndpointID {
	return s.options.ID
}

// SetFault replaces the simulated failures.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// RunsByKey counts the executions of plain calls by their idempotency key. Calls without a key are not counted.
func (s *Server) RunsByKey() map[string]int {
	return s.calls.counts()
}

// StartedRuns counts the runs that have taken a slot of the batch.
func (s *Server) StartedRuns() int64 {
	return s.batch.startedCount()
}

// recordSendTime records when a run was sent.
func (s *Server) recordSendTime(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendTimes = append(s.sendTimes, at)
}

// RunsSentAfter counts the runs that were sent after the given time.
func (s *Server) RunsSentAfter(at time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, sent := range s.sendTimes {
		if sent.After(at) {
			n++
		}
	}
	return n
}

// currentFault returns the fault with its default for Slow.
func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Slow <= 0 {
		f.Slow = 1
	}
	return f
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", s.serveRun)
	mux.HandleFunc("GET /v1/resume/{attempt}", s.serveResume)
	mux.HandleFunc("POST /v1/cancel/{attempt}", s.serveCancel)
	mux.HandleFunc("GET /v1/calls", s.serveCallResult)
	mux.HandleFunc("POST /v1/orders", s.orders.serve)
	mux.HandleFunc("GET /v1/kv/{prefix}", s.serveKVExport)
	mux.HandleFunc("PUT /v1/kv/{prefix}", s.serveKVImport)
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("POST /control/fault", s.serveSetFault)
	mux.HandleFunc("POST /control/leave", func(http.ResponseWriter, *http.Request) { s.Leave() })
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.RunsByKey()) })
	return mux
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, dial.Health{ID: s.options.ID, Incarnation: s.incarnation})
}

func (s *Server) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

// serveRun applies the simulated failures and dispatches a run by its kind.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	var run dial.Run
	if err := json.NewDecoder(r.Body).Decode(&run); err != nil {
		writeJSON(w, http.StatusBadRequest, dial.Refusal{Outcome: core.NotRun, Detail: err.Error()})
		return
	}
	w.Header().Set("Attempt-Id", string(run.AttemptID))
	from, sentAt := s.options.Senders.Origin(r.RemoteAddr)
	s.recordSendTime(sentAt)
	s.checkLeaving(from, sentAt)
	if s.rejectDuringPause(w, from, sentAt) {
		return
	}
	f := s.currentFault()
	if !f.Refuse {
		s.countRun(run.RequestID)
	}
	if f.Refuse {
		writeJSON(w, http.StatusServiceUnavailable, dial.Refusal{Outcome: core.NotRun, Detail: "told to refuse"})
		return
	}
	if bytes.Contains(run.Input, []byte(CrashMarker)) {
		s.crash()
		return
	}
	if f.Fail {
		writeJSON(w, http.StatusInternalServerError, dial.Refusal{Outcome: core.Failed, Detail: "told to fail"})
		return
	}
	switch {
	case run.Kind == core.Plain:
		s.servePlainCall(w, r, run)
	case run.Kind == core.Generate && run.Stream:
		s.serveStream(w, r, run)
	default:
		s.serveWholeAnswer(w, r, run)
	}
}

func (s *Server) countRun(id core.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsByRequest[id]++
}

// RunsByRequest counts the runs by request, except those that a pause or Fault.Refuse rejected.
func (s *Server) RunsByRequest() map[core.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runsByRequest)
}

// crash calls Options.OnCrash or ends the process.
func (s *Server) crash() {
	if s.options.OnCrash != nil {
		s.options.OnCrash()
		return
	}
	os.Exit(crashExitCode)
}

// serveWholeAnswer runs a stage and sends its answer without streaming.
func (s *Server) serveWholeAnswer(w http.ResponseWriter, r *http.Request, run dial.Run) {
	release, err := s.batch.acquireSlot(r.Context(), run.Priority)
	if err != nil {
		return
	}
	defer release()
	f := s.currentFault()
	workMs := float64(s.options.WorkMs)
	if run.Kind == core.Generate {
		workMs += float64(s.options.TokenMs) * float64(s.tokenCount(run))
	}
	if !sleep(r.Context(), workMs*f.Slow, f.Stall) {
		return
	}
	output, err := json.Marshal(s.outputFor(run))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, http.StatusOK, dial.Result{RequestID: run.RequestID, AttemptID: run.AttemptID, Output: output})
}

// outputFor returns the generated text, or a hash of the run for the other kinds of stages.
func (s *Server) outputFor(run dial.Run) map[string]string {
	if run.Kind == core.Generate {
		return map[string]string{"Text": GeneratedText(run, s.tokenCount(run))}
	}
	return map[string]string{string(run.Kind): fmt.Sprintf("%016x", answerSeed(run))}
}

// tokenCount returns the number of tokens to generate.
func (s *Server) tokenCount(run dial.Run) int {
	if run.MaxTokens > 0 {
		return min(run.MaxTokens, s.options.Tokens)
	}
	return s.options.Tokens
}

// sleep waits for the given milliseconds, or until ctx is cancelled if stall is set. It reports whether the wait
// was completed.
func sleep(ctx context.Context, ms float64, stall bool) bool {
	if stall {
		<-ctx.Done()
		return false
	}
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// serveKVExport sends 64 KiB of zeros as the KV cache of a cached prefix.
func (s *Server) serveKVExport(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 16, 64)
	if err != nil || !s.cache.has(prefix) {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, 64<<10))
}

// serveKVImport adds a prefix to the cache and ignores the body.
func (s *Server) serveKVImport(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 16, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.cache.add(prefix)
}
