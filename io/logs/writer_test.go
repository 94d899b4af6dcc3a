package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
)

// blockedOutput is an output whose Write blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestAStalledOutputHoldsNoWriterUp checks that Write drops lines instead of blocking when the output blocks.
func TestAStalledOutputHoldsNoWriterUp(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out, 1<<20, clock.New(1))
	must.NoError(t, w.Start(context.Background()))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queueLength {
			_, err := w.Write([]byte("a line\n"))
			must.NoError(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("Write blocks while the output is blocked")
	}
	must.Greater(t, 0, w.Dropped())
	close(out.release)
	must.NoError(t, w.Stop(context.Background()))
}

// TestTheRateBoundsWhatIsWritten checks that a burst writes no more than burstSeconds of the rate.
func TestTheRateBoundsWhatIsWritten(t *testing.T) {
	var out bytes.Buffer
	c := clock.New(1)
	w := New(&out, 100, c)
	must.NoError(t, w.Start(context.Background()))
	for range 1000 {
		_, err := w.Write([]byte("ten bytes\n"))
		must.NoError(t, err)
	}
	must.NoError(t, w.Stop(context.Background()))
	must.LessEq(t, 100*burstSeconds+200, out.Len())
}

// TestTheLinesOfARequestAreKeptTogether checks that two hosts with the same load and rate keep the same number of
// requests.
func TestTheLinesOfARequestAreKeptTogether(t *testing.T) {
	var a, b bytes.Buffer
	for _, out := range []*bytes.Buffer{&a, &b} {
		w := New(out, 4000, clock.New(1))
		must.NoError(t, w.Start(context.Background()))
		log := newTestLogger(w)
		for i := range 400 {
			log.Info("decision", requestAttr, fmt.Sprint("request-", i))
		}
		must.NoError(t, w.Stop(context.Background()))
	}
	kept := strings.Count(a.String(), "decision")
	must.Between(t, 20, kept, 300)
	must.Eq(t, kept, strings.Count(b.String(), "decision"))
}

// TestLinesOnSeveralRequestsLeaveRoomForOthers checks that lines that name many requests are dropped with these requests, so that
// they do not use up the budget of all other lines.
func TestLinesOnSeveralRequestsLeaveRoomForOthers(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, 40_000, clock.New(1))
	must.NoError(t, w.Start(context.Background()))
	log := newTestLogger(w)
	for i := range 4000 {
		log.Info("call ended", requestsAttr, []core.RequestID{core.RequestID(fmt.Sprint("request-", i))})
	}
	log.Warn("disk is full")
	must.NoError(t, w.Stop(context.Background()))
	must.StrContains(t, out.String(), "disk is full")
}

// floodedLines is more than the budget of any writer of these tests holds.
const floodedLines = 20_000

// newTestLogger returns a logger that writes through w as the program's loggers do.
func newTestLogger(w *Writer) *slog.Logger {
	return slog.New(NewHandler(w, func(out io.Writer) slog.Handler { return slog.NewJSONHandler(out, nil) }))
}

// TestLinesOnRequestsComeBack guards against a sampler that drops all requests for good after the budget was once used up.
func TestLinesOnRequestsComeBack(t *testing.T) {
	var out bytes.Buffer
	c := clock.New(1)
	w := New(&out, 4000, c)
	must.NoError(t, w.Start(context.Background()))
	log := newTestLogger(w)
	for range floodedLines {
		log.Info("ordinary")
	}
	c.Advance(burstSeconds * core.Second)
	log.Info("request ended", requestAttr, "request")
	must.NoError(t, w.Stop(context.Background()))
	must.True(t, strings.Contains(out.String(), "request ended"))
}

// TestTheLastDroppedLinesAreReported guards against a log that ends without saying that lines of its last second are missing.
func TestTheLastDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, 4000, clock.New(1))
	must.NoError(t, w.Start(context.Background()))
	log := newTestLogger(w)
	for range floodedLines {
		log.Info("ordinary")
	}
	must.NoError(t, w.Stop(context.Background()))
	must.True(t, strings.Contains(out.String(), "log lines dropped"))
	must.Zero(t, w.Dropped())
}
