package story

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Write prints the lines of a timeline with the milliseconds since the first one. Events around the request are indented.
func Write(w io.Writer, lines []LogLine) error {
	for _, l := range lines {
		indent := ""
		if !l.NamesRequest {
			indent = "  | "
		}
		_, err := fmt.Fprintf(w, "%8d ms  %-20s %s%s%s\n",
			l.Time.Sub(lines[0].Time).Milliseconds(), l.Host, indent, l.Msg, l.formatFields())
		if err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}

// formatFields formats the fields sorted by name. The list of requests of a stage call is replaced by its length.
func (l LogLine) formatFields() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		v := l.Fields[name]
		if list, ok := v.([]any); ok && name == "requests" {
			fmt.Fprintf(&b, "  requests=%d", len(list))
			continue
		}
		if text, ok := v.(string); ok {
			fmt.Fprintf(&b, "  %s=%s", name, text)
			continue
		}
		// The value was decoded from JSON, so encoding cannot fail.
		raw, _ := json.Marshal(v)
		fmt.Fprintf(&b, "  %s=%s", name, raw)
	}
	return b.String()
}
