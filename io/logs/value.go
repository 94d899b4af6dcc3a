package logs

import (
	"log/slog"
	"reflect"
	"unicode/utf8"
)

// maxValueBytes limits the text of one attribute, before it is quoted. What others send may be in it.
const maxValueBytes = 1 << 10

// LimitValue cuts a text or error that is too long for a line. It is meant for slog.HandlerOptions.
func LimitValue(_ []string, a slog.Attr) slog.Attr {
	var text string
	switch a.Value.Kind() {
	case slog.KindString:
		text = a.Value.String()
	case slog.KindAny:
		err, ok := a.Value.Any().(error)
		if v := reflect.ValueOf(err); !ok || v.Kind() == reflect.Pointer && v.IsNil() {
			return a
		}
		text = err.Error()
	}
	if len(text) <= maxValueBytes {
		return a
	}
	end := maxValueBytes
	for !utf8.RuneStart(text[end]) {
		end--
	}
	return slog.String(a.Key, text[:end]+"...")
}
