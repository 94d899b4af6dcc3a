package story

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Write prints lines in order, with the milliseconds since the first; changes around the request are set in.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		mark := ""
		if !l.Own {
			mark = "  | "
		}
		_, err := fmt.Fprintf(w, "%8d ms  %-20s %s%s%s\n",
			l.Time.Sub(lines[0].Time).Milliseconds(), l.Host, mark, l.Msg, l.fields())
		if err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}

// fields writes the fields in the order of their names; a call's list of requests is only counted.
func (l Line) fields() string {
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
		// What came out of a JSON object can be written as JSON again.
		raw, _ := json.Marshal(v)
		fmt.Fprintf(&b, "  %s=%s", name, raw)
	}
	return b.String()
}
