package head

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// checkParts checks bytes that come in parts of a length.
func checkParts(c *Checker, raw string, length int) error {
	for len(raw) > 0 {
		n := min(length, len(raw))
		c.Add([]byte(raw[:n]))
		raw = raw[n:]
	}
	return c.Err()
}

// TestCheck guards against malformed lines that are missed where reads split them, and against bodies that are taken for heads.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		malformed bool
	}{
		{name: "sound", raw: "HTTP/1.1 200 OK\r\nId: a\r\nX-Empty:\r\n\r\nbody of\n any: kind"},
		{name: "no field", raw: "HTTP/1.1 200 OK\r\n\r\n\nbody"},
		{name: "interim", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nId: a\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\nbo dy\n"},
		{name: "unfinished", raw: "HTTP/1.1 200 OK\r\nId"},
		{name: "space in a name", raw: "HTTP/1.1 200 OK\r\nI d: a\r\n\r\n", malformed: true},
		{name: "space behind a name", raw: "HTTP/1.1 200 OK\r\nId : a\r\n\r\n", malformed: true},
		{name: "folded", raw: "HTTP/1.1 200 OK\r\nId: a\r\n b: c\r\n\r\n", malformed: true},
		{name: "line feed in front of a name", raw: "HTTP/1.1 200 OK\r\nId: a\r\n\nX: b\r\n\r\n", malformed: true},
		{name: "line feed at the end of the status line", raw: "HTTP/1.1 200 OK\nId: a\r\n\r\n", malformed: true},
		{name: "no colon", raw: "HTTP/1.1 200 OK\r\nI d\r\n\r\n", malformed: true},
		{name: "behind an interim head", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nI d: a\r\n\r\n", malformed: true},
		{name: "in an interim head", raw: "HTTP/1.1  103 Early\r\nI d: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", malformed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for length := range len(c.raw) {
				var checker Checker
				must.NoError(t, checkParts(&checker, c.raw, length+1), must.Sprint("no head is expected"))
				checker.Expect()
				err := checkParts(&checker, c.raw, length+1)
				must.Eq(t, c.malformed, err != nil)
				if c.malformed {
					must.ErrorIs(t, err, ErrMalformed)
				}
			}
		})
	}
}

// TestErrorsAreShort guards against log lines as long as a head may be.
func TestErrorsAreShort(t *testing.T) {
	var checker Checker
	checker.Expect()
	checker.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("x y", 10_000) + "\r\n"))
	must.ErrorIs(t, checker.Err(), ErrMalformed)
	must.Less(t, 3*maxReportedLine, len(checker.Err().Error()))
}
