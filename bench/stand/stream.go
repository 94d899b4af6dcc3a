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

// stream is one generation; it runs on while nobody reads, for its grace.
type stream struct {
	mu       sync.Mutex
	first    uint64
	events   []string
	done     bool
	checksum string
	changed  chan struct{}
	readers  int
	detached time.Time
	grace    time.Duration
	cancel   context.CancelFunc
}

// streams holds the generations that can still be read, by attempt.
type streams struct {
	mu sync.Mutex
	m  map[core.AttemptID]*stream
}

func (s *streams) put(id core.AttemptID, x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[id] = x
}

func (s *streams) get(id core.AttemptID) (*stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.m[id]
	return x, ok
}

func (s *streams) remove(id core.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, id)
}

func (x *stream) add(text string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events = append(x.events, text)
	x.wake()
}

func (x *stream) finish(checksum string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.done, x.checksum = true, checksum
	x.wake()
}

func (x *stream) wake() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// abandoned reports whether nobody has read for longer than the grace.
func (x *stream) abandoned() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.readers == 0 && time.Since(x.detached) > x.grace
}

func (x *stream) attach(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.readers += n
	x.detached = time.Now()
}

// next returns the event with the given number; ok is false while there is none yet.
func (x *stream) next(seq uint64) (text string, ok, done bool, changed <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if i := int(seq - x.first); i < len(x.events) {
		return x.events[i], true, false, nil
	}
	return "", false, x.done, x.changed
}

func (s *Server) generateStream(w http.ResponseWriter, r *http.Request, run dial.Run) {
	ctx, cancel := context.WithCancel(s.ctx)
	x := &stream{
		first: max(1, run.From), changed: make(chan struct{}), detached: time.Now(),
		grace: run.ResumeGraceMs.Duration(), cancel: cancel,
	}
	s.batch.streams.put(run.AttemptID, x)
	x.attach(1)
	s.wg.Go(func() { s.generate(ctx, run, x) })
	s.follow(w, r, run.AttemptID, x, x.first)
}

// generate writes one token after the other and closes the stream.
func (s *Server) generate(ctx context.Context, run dial.Run, x *stream) {
	defer x.cancel()
	release, err := s.batch.enter(ctx, run.Priority)
	if err != nil {
		return
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(run.Prior)
	complete := s.writeTokens(ctx, run, x, hash)
	release()
	if complete {
		x.finish(fmt.Sprintf("%016x", hash.Sum64()))
		sleep(s.ctx, float64(x.grace/time.Millisecond), false)
	}
	s.batch.streams.remove(run.AttemptID)
}

func (s *Server) writeTokens(ctx context.Context, run dial.Run, x *stream, hash *xxhash.Digest) bool {
	f := s.currentFault()
	prefill := float64(s.options.WorkMs)
	if s.cache.use(run.Prefix) {
		prefill /= 10
	}
	if !sleep(ctx, prefill*f.Slow, f.Stall) {
		return false
	}
	seed := seedOf(run)
	for n := int(x.first); n <= s.tokensOf(run); n++ {
		f = s.currentFault()
		if !sleep(ctx, float64(s.options.TokenMs)*f.Slow, f.Stall) || x.abandoned() {
			return false
		}
		text := token(seed, n)
		_, _ = hash.WriteString(text)
		x.add(text)
	}
	return true
}

// follow writes the events from a number on to a reader.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, attempt core.AttemptID, x *stream, next uint64) {
	defer x.attach(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", string(attempt))
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	sent := 0
	for {
		text, ok, done, changed := x.next(next)
		if done {
			_, _ = fmt.Fprintf(w, "event: done\ndata: {\"Count\":%d,\"Checksum\":%q}\n\n", next-1, x.checksum)
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

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	attempt := core.AttemptID(r.PathValue("attempt"))
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	x, ok := s.batch.streams.get(attempt)
	if err != nil || !ok || from < x.first {
		reply(w, http.StatusNotFound, dial.Refusal{Outcome: core.NotRun, Detail: "no such stream"})
		return
	}
	x.attach(1)
	s.follow(w, r, attempt, x, from)
}

func (s *Server) cancelAttempt(_ http.ResponseWriter, r *http.Request) {
	if x, ok := s.batch.streams.get(core.AttemptID(r.PathValue("attempt"))); ok {
		x.cancel()
	}
}
