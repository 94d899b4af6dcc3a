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
	// queueLength is the number of lines that may wait for a slow output.
	queueLength = 4096
	// burstSeconds is the largest burst, in seconds of the rate.
	burstSeconds = 4
	// reservedLines of the queue and reservedShare of the largest burst are for lines of level Warn and above only.
	reservedLines = queueLength / 8
	reservedShare = 1.0 / 8
)

// Writer writes lines to an output in the background and limits their rate with a token bucket. It drops and counts
// the lines that exceed the rate or find the queue full. A part of both is kept for warnings.
type Writer struct {
	out   io.Writer
	clock core.Clock
	// rate is in bytes per second.
	rate float64
	// lines is the queue of the background goroutine; nil ends it.
	lines   chan []byte
	dropped atomic.Int64
	// done is closed when the background goroutine has ended.
	done chan struct{}
	// droppedReportedAt is when the number of dropped lines was last written.
	droppedReportedAt core.Millis

	mu sync.Mutex
	// budget is the number of bytes that may be written at the time budgetAt.
	budget   float64
	budgetAt core.Millis
}

// New returns a writer to out that is limited to bytesPerSecond on average. It writes nothing before Start.
func New(out io.Writer, bytesPerSecond int, clock core.Clock) *Writer {
	rate := float64(bytesPerSecond)
	return &Writer{
		out: out, clock: clock, rate: rate, budget: rate * burstSeconds, budgetAt: clock.Now(),
		lines: make(chan []byte, queueLength), done: make(chan struct{}),
	}
}

// Write queues or drops one ordinary line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	return w.write(line, w.reservedBudget(), reservedLines)
}

// warnings is the output for lines of level Warn and above: all of its writer's budget and queue.
type warnings struct{ writer *Writer }

// Write queues or drops one line. It never blocks and never fails.
func (o warnings) Write(line []byte) (int, error) { return o.writer.write(line, 0, 0) }

// write queues one line, or drops it if less than spareBytes of the budget or spareLines of the queue would be left.
func (w *Writer) write(line []byte, spareBytes float64, spareLines int) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refill()
	size := float64(len(line))
	if w.budget < size+spareBytes || len(w.lines) >= queueLength-spareLines {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		w.budget -= size
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// reservedBudget returns the bytes of the budget that are for lines of level Warn and above only.
func (w *Writer) reservedBudget() float64 { return w.rate * burstSeconds * reservedShare }

// refill adds to the budget what has become free since the last call. The caller holds mu.
func (w *Writer) refill() {
	now := w.clock.Now()
	w.budget = min(w.rate*burstSeconds, w.budget+w.rate*float64(now-w.budgetAt)/float64(core.Second))
	w.budgetAt = now
}

// keptShare returns the share of requests whose lines are kept, in units of 1/shareScale. It is the full share while
// at least half of the budget for ordinary lines is left, and falls linearly to 0 below that.
func (w *Writer) keptShare() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refill()
	reserved := w.reservedBudget()
	filled := (w.budget - reserved) / (w.rate*burstSeconds - reserved)
	return uint64(shareScale * min(1, max(0, 2*filled)))
}

// Dropped returns the number of lines dropped since the last report of dropped lines was written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Start starts the background goroutine that writes.
func (w *Writer) Start(context.Context) error {
	go w.run()
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			if report := w.droppedReport(w.clock.Now()); report != nil {
				_, _ = w.out.Write(report)
			}
			return
		}
		if now := w.clock.Now(); now-w.droppedReportedAt >= core.Second {
			line = append(w.droppedReport(now), line...)
		}
		// There is nowhere to report that the log cannot be written.
		_, _ = w.out.Write(line)
	}
}

// droppedReport returns a line with the number of lines dropped since the last such line, nil if there are none.
func (w *Writer) droppedReport(now core.Millis) []byte {
	n := w.dropped.Swap(0)
	if n == 0 {
		return nil
	}
	w.droppedReportedAt = now
	return fmt.Appendf(nil, "{\"msg\":\"log lines dropped\",\"lines\":%d,\"kept_share\":%.2f}\n", n, float64(w.keptShare())/shareScale)
}

// Stop writes the queued lines and ends the background goroutine. It returns early with an error when ctx ends.
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
