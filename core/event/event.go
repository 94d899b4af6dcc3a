package event

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
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

// Grammar describes the events of a platform: an optional leading field with a number, a field "id" with a number, one or more
// fields "data", each on a line, and an empty line.
type Grammar struct {
	// LeadingField is the name of the optional field, empty if there is none.
	LeadingField string
}

// Parse returns the id of an event, which includes its empty line. All bytes that are not an event give an error that wraps ErrNoEvent.
func (g Grammar) Parse(raw []byte) (int64, error) {
	id, size, err := g.parseFirst(raw)
	switch {
	case err != nil:
		return 0, err
	case size == 0:
		return 0, fmt.Errorf("%w: incomplete", ErrNoEvent)
	case size < len(raw):
		return 0, fmt.Errorf("%w: bytes after the empty line", ErrNoEvent)
	}
	return id, nil
}

// parseFirst returns the id and the size in bytes of the event at the beginning of raw. The size is 0 while the event is incomplete.
// An error means that its complete lines begin no event.
func (g Grammar) parseFirst(raw []byte) (id int64, size int, err error) {
	line, rest := cutLine(raw)
	if value, ok := cutField(line, g.LeadingField); ok && g.LeadingField != "" {
		if _, err := parseNumber(value); err != nil {
			return 0, 0, fmt.Errorf("%s: %w", g.LeadingField, err)
		}
		line, rest = cutLine(rest)
	}
	if len(line) == 0 {
		return 0, 0, nil
	}
	value, ok := cutField(line, "id")
	if !ok {
		return 0, 0, fmt.Errorf("%w: no id", ErrNoEvent)
	}
	if id, err = parseNumber(value); err != nil {
		return 0, 0, fmt.Errorf("id: %w", err)
	}
	for n := 0; ; n++ {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			return 0, 0, nil
		}
		if len(trim(line)) == 0 {
			if n == 0 {
				return 0, 0, fmt.Errorf("%w: no data", ErrNoEvent)
			}
			return id, len(raw) - len(rest), nil
		}
		if value, ok := cutField(line, "data"); !ok || !utf8.Valid(value) {
			return 0, 0, fmt.Errorf("%w: unknown field, or data that is not UTF-8", ErrNoEvent)
		}
	}
}

// cutLine returns the first line with its line end, empty if none is complete, and the bytes after it.
func cutLine(raw []byte) (line, rest []byte) {
	end := bytes.IndexByte(raw, '\n') + 1
	return raw[:end], raw[end:]
}

// trim removes the line end of a line.
func trim(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// cutField returns the value of a field with the given name. Other control characters than a tab make the line invalid.
func cutField(line []byte, name string) ([]byte, bool) {
	line = trim(line)
	if len(line) <= len(name) || string(line[:len(name)]) != name || line[len(name)] != ':' {
		return nil, false
	}
	value := line[len(name)+1:]
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, false
		}
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

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
