package setup

import (
	"io"
	"log/slog"
)

const (
	formatText = "Text"
	formatJSON = "Json"
)

var logLevels = map[string]slog.Level{
	"Debug": slog.LevelDebug, "Info": slog.LevelInfo, "Warn": slog.LevelWarn, "Error": slog.LevelError,
}

// NewLogger returns a logger that writes to w as the settings say.
func NewLogger(w io.Writer, s LogSettings) *slog.Logger {
	o := &slog.HandlerOptions{Level: logLevels[s.Level]}
	if s.Format == formatJSON {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}
