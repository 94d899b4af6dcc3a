package event

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxIDDigits limits the digits of an id, so that each is an int64.
const maxIDDigits = 18

// None is the id before the first event of a stream.
const None = -1

var (
	// ErrNoEvent means that bytes of a stream are not an event.
	ErrNoEvent = errors.New("not an event")
	// ErrOrder means that an event is not the next one of its stream.
	ErrOrder = errors.New("not the next event")
)

var (
	idName   = []byte("id")
	dataName = []byte("data")
)

// Grammar describes the events of a platform: an optional leading field with a number, a field "id" with a number, one or more
// fields "data", each on a line, and an empty line.
type Grammar struct {
	// LeadingField is the name of the optional field, empty if there is none.
	LeadingField string
}

// Parse returns the id of an event, which includes its empty line. All bytes that are not an event give an error that wraps ErrNoEvent.
func (g Grammar) Parse(raw []byte) (int64, error) {
	lines := bytes.Split(raw, []byte("\n"))
	// The last element is what follows the line end of the empty line.
	n := len(lines) - 1
	if n < 3 || len(lines[n]) > 0 || len(trim(lines[n-1])) > 0 {
		return 0, fmt.Errorf("%w: incomplete", ErrNoEvent)
	}
	fields := lines[:n-1]
	if value, ok := cutField(fields[0], []byte(g.LeadingField)); ok && g.LeadingField != "" {
		if _, err := parseNumber(value); err != nil {
			return 0, fmt.Errorf("%s: %w", g.LeadingField, err)
		}
		fields = fields[1:]
	}
	value, ok := cutField(fields[0], idName)
	if !ok || len(fields) < 2 {
		return 0, fmt.Errorf("%w: no id, or no data", ErrNoEvent)
	}
	id, err := parseNumber(value)
	if err != nil {
		return 0, fmt.Errorf("id: %w", err)
	}
	for _, line := range fields[1:] {
		if _, ok := cutField(line, dataName); !ok {
			return 0, fmt.Errorf("%w: unknown field", ErrNoEvent)
		}
	}
	return id, nil
}

// trim removes the carriage return before a line end.
func trim(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// cutField returns the value of a field with the given name. Other control characters than a tab make the line invalid.
func cutField(line, name []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(trim(line), name)
	if !ok || len(value) == 0 || value[0] != ':' {
		return nil, false
	}
	if bytes.IndexFunc(value, isControl) >= 0 {
		return nil, false
	}
	return bytes.TrimPrefix(value[1:], []byte(" ")), true
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// parseNumber parses a decimal number without sign or leading zeros.
func parseNumber(text []byte) (int64, error) {
	if len(text) == 0 || len(text) > maxIDDigits || len(text) > 1 && text[0] == '0' {
		return 0, fmt.Errorf("%w: bad number", ErrNoEvent)
	}
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%w: bad number", ErrNoEvent)
		}
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoEvent, err)
	}
	return n, nil
}
