package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/io/dial"
)

// stream buffers the events of one generation. The generation continues without readers until resumeGrace has passed.
type stream struct {
	mu sync.Mutex
	// firstSeq is the number of the first event in events.
	firstSeq uint64
	events   []string
	done     bool
	checksum string
	// updated is closed and replaced on every change.
	updated chan struct{}
	readers int
	// readersChanged is the time of the last change of readers.
	readersChanged time.Time
	resumeGrace    time.Duration
	cancel         context.CancelFunc
}

// streams holds the streams that can be resumed, by attempt.
type streams struct {
	mu        sync.Mutex
	byAttempt map[core.AttemptID]*stream
}

func (s *streams) put(id core.AttemptID, st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byAttempt[id] = st
}

func (s *streams) get(id core.AttemptID) (*stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.byAttempt[id]
	return st, ok
}

func (s *streams) remove(id core.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byAttempt, id)
}

func (st *stream) appendEvent(text string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.events = append(st.events, text)
	st.notifyReaders()
}

func (st *stream) finish(checksum string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.done, st.checksum = true, checksum
	st.notifyReaders()
}

// notifyReaders wakes all readers. The caller holds the mutex.
func (st *stream) notifyReaders() {
	close(st.updated)
	st.updated = make(chan struct{})
}

// abandoned reports whether the stream has had no reader for longer than resumeGrace.
func (st *stream) abandoned() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.readers == 0 && time.Since(st.readersChanged) > st.resumeGrace
}

// addReaders changes the number of readers by n, which may be negative.
func (st *stream) addReaders(n int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers += n
	st.readersChanged = time.Now()
}

// eventAt returns the event with the given number. If it does not exist yet, ok is false, done reports whether the
// stream has ended, and changed is closed on the next change.
func (st *stream) eventAt(seq uint64) (text string, ok, done bool, changed <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if i := int(seq - st.firstSeq); i < len(st.events) {
		return st.events[i], true, false, nil
	}
	return "", false, st.done, st.updated
}

// serveStream starts a generation and streams its events.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, run dial.Run) {
	ctx, cancel := context.WithCancel(s.ctx)
	st := &stream{
		firstSeq: max(1, run.From), updated: make(chan struct{}), readersChanged: time.Now(),
		resumeGrace: run.ResumeGraceMs.Duration(), cancel: cancel,
	}
	s.batch.streams.put(run.AttemptID, st)
	st.addReaders(1)
	s.wg.Go(func() { s.runGeneration(ctx, run, st) })
	s.writeEvents(w, r, run.AttemptID, st, st.firstSeq)
}

// runGeneration generates the tokens of a run, ends its stream with a checksum and keeps the stream for resumeGrace.
func (s *Server) runGeneration(ctx context.Context, run dial.Run, st *stream) {
	defer st.cancel()
	release, err := s.batch.acquireSlot(ctx, run.Priority)
	if err != nil {
		return
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(run.Prior)
	complete := s.generateTokens(ctx, run, st, hash)
	release()
	if complete {
		st.finish(fmt.Sprintf("%016x", hash.Sum64()))
		sleep(s.ctx, float64(st.resumeGrace/time.Millisecond), false)
	}
	s.batch.streams.remove(run.AttemptID)
}

// generateTokens simulates the prefill, a tenth as long if the prefix is cached, and appends the tokens to the stream. It
// reports whether all tokens were generated.
func (s *Server) generateTokens(ctx context.Context, run dial.Run, st *stream, hash *xxhash.Digest) bool {
	f := s.currentFault()
	prefill := float64(s.options.WorkMs)
	if s.cache.lookUpAndAdd(run.Prefix) {
		prefill /= 10
	}
	if !sleep(ctx, prefill*f.Slow, f.Stall) {
		return false
	}
	seed := answerSeed(run)
	for n := int(st.firstSeq); n <= s.tokenCount(run); n++ {
		f = s.currentFault()
		if !sleep(ctx, float64(s.options.TokenMs)*f.Slow, f.Stall) || st.abandoned() {
			return false
		}
		text := token(seed, n)
		_, _ = hash.WriteString(text)
		st.appendEvent(text)
	}
	return true
}

// writeEvents streams the events as server-sent events, starting with number next.
func (s *Server) writeEvents(w http.ResponseWriter, r *http.Request, attempt core.AttemptID, st *stream, next uint64) {
	defer st.addReaders(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", string(attempt))
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	sent := 0
	for {
		text, ok, done, changed := st.eventAt(next)
		if done {
			_, _ = fmt.Fprintf(w, "event: done\ndata: {\"Count\":%d,\"Checksum\":%q}\n\n", next-1, st.checksum)
			return
		}
		if ok {
			quoted, _ := json.Marshal(text)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"Text\":%s}\n\n", next, quoted)
			_ = flusher.Flush()
			next++
			sent++
			if cut := s.currentFault().CutAfter; cut > 0 && sent >= cut {
				panic(http.ErrAbortHandler)
			}
			continue
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// serveResume streams the events of an earlier attempt, starting with the number From.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	attempt := core.AttemptID(r.PathValue("attempt"))
	w.Header().Set("Attempt-Id", string(attempt))
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	st, ok := s.batch.streams.get(attempt)
	if err != nil || !ok || from < st.firstSeq {
		writeJSON(w, http.StatusNotFound, dial.Refusal{Outcome: core.NotRun, Detail: "no such stream"})
		return
	}
	st.addReaders(1)
	s.writeEvents(w, r, attempt, st, from)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	attempt := core.AttemptID(r.PathValue("attempt"))
	w.Header().Set("Attempt-Id", string(attempt))
	if st, ok := s.batch.streams.get(attempt); ok {
		st.cancel()
	}
}
