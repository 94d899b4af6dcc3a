package logs

import (
	"context"
	"io"
	"log/slog"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

// requestAttr is the log attribute that holds the request ID, and requestsAttr the one that holds the IDs of several.
const (
	requestAttr  = "request"
	requestsAttr = "requests"
)

// shareScale is the denominator of the share of requests whose lines are kept.
const shareScale = 1024

// sampler drops the lines of some requests when the writer's budget runs low. It selects requests by a hash of their
// ID, so that all hosts keep the same requests and the lines of a kept request are complete. Records of level Warn and above are
// passed on whichever request they belong to.
type sampler struct {
	slog.Handler
	warnings slog.Handler
	writer   *Writer
}

// NewHandler returns a handler that passes records to handlers that write to w, which newHandler makes. It drops the ordinary records of
// some requests when the budget of w runs low.
func NewHandler(w *Writer, newHandler func(io.Writer) slog.Handler) slog.Handler {
	return sampler{Handler: newHandler(w), warnings: newHandler(warnings{w}), writer: w}
}

// Handle passes a record on, or drops and counts it if it is an ordinary one of requests none of which is kept at present.
func (s sampler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		return s.warnings.Handle(ctx, r)
	}
	kept := true
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case requestAttr:
			kept = isKept(a.Value.String(), s.writer.keptShare())
			return false
		case requestsAttr:
			ids, ok := a.Value.Any().([]core.RequestID)
			share := s.writer.keptShare()
			kept = !ok || slices.ContainsFunc(ids, func(id core.RequestID) bool { return isKept(string(id), share) })
			return false
		}
		return true
	})
	if !kept {
		s.writer.dropped.Add(1)
		return nil
	}
	return s.Handler.Handle(ctx, r)
}

// isKept reports whether the lines of a request are kept at a share.
func isKept(id string, share uint64) bool { return xxhash.Sum64String(id)%shareScale < share }

// WithAttrs returns a handler that adds attributes to each record.
func (s sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return sampler{Handler: s.Handler.WithAttrs(attrs), warnings: s.warnings.WithAttrs(attrs), writer: s.writer}
}

// WithGroup returns a handler that puts the attributes of each record into a group.
func (s sampler) WithGroup(name string) slog.Handler {
	return sampler{Handler: s.Handler.WithGroup(name), warnings: s.warnings.WithGroup(name), writer: s.writer}
}
