package setup

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/clock"
	"cyclamenford/io/logs"
)

// TestOneLineDoesNotUseUpTheBudget guards against bytes of an endpoint that fill the log and push out all other lines.
func TestOneLineDoesNotUseUpTheBudget(t *testing.T) {
	const received, longestLine = 64 << 10, 4 << 10
	for _, format := range []string{formatText, formatJSON} {
		var out bytes.Buffer
		lines := logs.New(&out, Defaults().Log.BytesPerSecond, clock.New(1))
		must.NoError(t, lines.Start(context.Background()))
		log := NewLogger(lines, LogSettings{Level: "Info", Format: format})
		head := strings.Repeat("\x00é", received/3)
		log.Warn("text", "request", "r", "err", head)
		log.Info("error", "request", "r", "err", errors.New(head))
		must.NoError(t, lines.Stop(context.Background()))
		written := strings.SplitAfter(strings.TrimSpace(out.String()), "\n")
		must.SliceLen(t, 2, written)
		for _, line := range written {
			must.LessEq(t, longestLine, len(line))
			must.StrContains(t, line, "...")
		}
	}
}
