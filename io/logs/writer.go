package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"cyclamenford/core"
)

const (
	// queueLength is the number of lines that wait for a slow output.
	queueLength = 4096
	// burstSeconds is how many seconds of the rate may be written at once.
	burstSeconds = 4
)

// Writer passes lines on to an output as long as the rate allows; the others are counted and dropped.
type Writer struct {
	out     io.Writer
	clock   core.Clock
	rate    float64
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	// told is when the dropped lines were last reported.
	told core.Millis

	mu     sync.Mutex
	budget float64
	last   core.Millis
}

// New returns a writer for at most bytesPerSecond; it writes once started.
func New(out io.Writer, bytesPerSecond int, clock core.Clock) *Writer {
	rate := float64(bytesPerSecond)
	return &Writer{
		out: out, clock: clock, rate: rate, budget: rate * burstSeconds, last: clock.Now(),
		lines: make(chan []byte, queueLength), done: make(chan struct{}),
	}
}

// Write takes one line in and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) allow(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.budget = min(w.rate*burstSeconds, w.budget+w.rate*float64(now-w.last)/float64(core.Second))
	w.last = now
	if w.budget < float64(n) {
		return false
	}
	w.budget -= float64(n)
	return true
}

// share is the number out of shares of the requests whose lines are kept: all while half of the budget is left.
func (w *Writer) share() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	filled := w.budget / (w.rate * burstSeconds)
	return uint64(shares * min(1, max(0, 2*filled)))
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Start begins to write.
func (w *Writer) Start(context.Context) error {
	go w.run()
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		line = append(w.droppedLine(), line...)
		// A log that cannot be written has nowhere to report to.
		_, _ = w.out.Write(line)
	}
}

// droppedLine says how many lines were dropped since it last did, once a second at most.
func (w *Writer) droppedLine() []byte {
	now := w.clock.Now()
	if now-w.told < core.Second {
		return nil
	}
	n := w.dropped.Swap(0)
	if n == 0 {
		return nil
	}
	w.told = now
	return fmt.Appendf(nil, "{\"msg\":\"log lines dropped\",\"lines\":%d,\"kept_share\":%.2f}\n", n, float64(w.share())/shares)
}

// Stop writes what is queued, until ctx ends.
func (w *Writer) Stop(ctx context.Context) error {
	select {
	case w.lines <- nil:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
