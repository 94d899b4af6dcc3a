package setup

import (
	"io"
	"log/slog"

	"cyclamenford/io/logs"
)

const (
	formatText = "Text"
	formatJSON = "Json"
)

var logLevels = map[string]slog.Level{
	"Debug": slog.LevelDebug, "Info": slog.LevelInfo, "Warn": slog.LevelWarn, "Error": slog.LevelError,
}

// NewLogger returns a logger with the level and format of the settings. It writes through w, which limits the rate and does
// not block on its output.
func NewLogger(w *logs.Writer, s LogSettings) *slog.Logger {
	return slog.New(logs.NewHandler(w, func(out io.Writer) slog.Handler { return newHandler(out, s) }))
}

func newHandler(w io.Writer, s LogSettings) slog.Handler {
	o := &slog.HandlerOptions{Level: logLevels[s.Level], ReplaceAttr: logs.LimitValue}
	if s.Format == formatJSON {
		return slog.NewJSONHandler(w, o)
	}
	return slog.NewTextHandler(w, o)
}
