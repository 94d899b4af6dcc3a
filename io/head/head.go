package head

import (
	"bytes"
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// maxReportedLine limits the bytes of a malformed line that its error holds.
const maxReportedLine = 80

// ErrMalformed means that a line of a head is not one that HTTP/1.1 lets a sender write.
var ErrMalformed = errors.New("the head of the answer is malformed")

// lineKind is a kind of line of a head.
type lineKind int

// The kinds of lines. With noLine, the bytes that come belong to no head.
const (
	noLine lineKind = iota
	statusLine
	fieldLine
)

// Checker checks heads in the bytes that come on a connection. Each line must end in CRLF, and each one below the status line must begin
// with a field name (RFC 9112, sections 2.2, 5.1 and 5.2).
//
// The parser of net/http is more lenient: it takes a name with a space for an unknown one, joins a line that begins with white space to the
// one before it, and lets a line end in LF alone. Each of these can hide the field that frames the body. Its result does not tell what it was
// lenient with.
//
// The zero value expects no head.
type Checker struct {
	next lineKind
	// interim means that the head is that of an interim (1xx) answer, which another head follows.
	interim bool
	// begun holds the beginning of a line whose end has not come.
	begun []byte
	err   error
}

// Expect makes the next byte the first one of a head. Interim answers in front of the final one belong to it.
func (c *Checker) Expect() { *c = Checker{next: statusLine} }

// Add takes the next bytes of the connection. Those behind the end of a head and behind a malformed line are passed over. The caller limits
// the length of heads.
func (c *Checker) Add(raw []byte) {
	for c.next != noLine && len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n') + 1
		if end == 0 {
			c.begun = append(c.begun, raw...)
			return
		}
		whole := raw[:end]
		if len(c.begun) > 0 {
			whole = append(c.begun, whole...)
			c.begun = nil
		}
		if c.err = c.checkLine(whole); c.err != nil {
			c.next = noLine
		}
		raw = raw[end:]
	}
}

// Err returns an error that wraps ErrMalformed if a line of the present head is malformed.
func (c *Checker) Err() error { return c.err }

// checkLine checks a line with its end, and determines what follows it.
func (c *Checker) checkLine(whole []byte) error {
	content, ok := bytes.CutSuffix(whole, []byte("\r\n"))
	if !ok {
		return malformed("a line that does not end in CRLF", whole)
	}
	if c.next == statusLine {
		_, status, _ := bytes.Cut(content, []byte(" "))
		c.next, c.interim = fieldLine, bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
		return nil
	}
	if len(content) == 0 {
		c.next = noLine
		if c.interim {
			c.next = statusLine
		}
		return nil
	}
	name, _, _ := bytes.Cut(content, []byte(":"))
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("a field name that is no token", content)
	}
	return nil
}

// malformed returns an error with the beginning of a line.
func malformed(what string, raw []byte) error {
	return fmt.Errorf("%w: %s: %q", ErrMalformed, what, raw[:min(len(raw), maxReportedLine)])
}
