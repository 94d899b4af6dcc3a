package logs

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
)

// flood logs lines about requests until the budget of the logger's writer runs low.
func flood(log *slog.Logger) {
	for i := range floodedLines {
		log.Info("decision", requestAttr, fmt.Sprint("flood-", i))
	}
}

// TestWarningsOnRequestsAreKept guards against a fault of a request that is nowhere in the log, since the request was sampled out.
func TestWarningsOnRequestsAreKept(t *testing.T) {
	const warnings = 20
	var out bytes.Buffer
	w := New(&out, 40_000, clock.New(1))
	must.NoError(t, w.Start(context.Background()))
	log := newTestLogger(w)
	flood(log)
	for i := range warnings {
		log.Warn("endpoint sent garbage", requestAttr, fmt.Sprint("request-", i))
		log.With("host", "a").Error("grant of another version", requestsAttr, []core.RequestID{"request"})
	}
	must.NoError(t, w.Stop(context.Background()))
	must.Eq(t, warnings, strings.Count(out.String(), "endpoint sent garbage"))
	must.Eq(t, warnings, strings.Count(out.String(), "grant of another version"))
}

// TestWarningsStayWithinTheRate guards against warnings without bound.
func TestWarningsStayWithinTheRate(t *testing.T) {
	const rate = 4000
	var out bytes.Buffer
	w := New(&out, rate, clock.New(1))
	must.NoError(t, w.Start(context.Background()))
	log := newTestLogger(w)
	for i := range floodedLines {
		log.Warn("endpoint sent garbage", requestAttr, fmt.Sprint("request-", i))
	}
	must.Positive(t, w.Dropped())
	must.NoError(t, w.Stop(context.Background()))
	written, _, _ := strings.Cut(out.String(), `{"msg":"log lines dropped"`)
	must.LessEq(t, rate*burstSeconds, len(written))
}

// TestAStalledOutputKeepsRoomForWarnings guards against a queue full of ordinary lines in which no warning has room.
func TestAStalledOutputKeepsRoomForWarnings(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out, 1<<24, clock.New(1))
	must.NoError(t, w.Start(context.Background()))
	log := newTestLogger(w)
	for range 2 * queueLength {
		log.Info("ordinary")
	}
	log.Warn("endpoint sent garbage", requestAttr, "request")
	close(out.release)
	must.NoError(t, w.Stop(context.Background()))
	must.True(t, strings.Contains(out.String(), "endpoint sent garbage"))
}
