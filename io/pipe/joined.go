package pipe

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLateHeadBytes limits the head of another answer in a body; common servers send no longer ones.
	maxLateHeadBytes = 8 << 10
	// maxCandidates limits the status lines of a body that are looked at, which bounds the time that this takes.
	maxCandidates = 1000
)

// ErrJoinedAnswers means that a body which ends with its connection holds the head of another answer.
var ErrJoinedAnswers = errors.New("the body holds another answer to a request of its connection")

var (
	statusLineStart = []byte("HTTP/1.1 ")
	headEnd         = []byte("\r\n\r\n")
)

// headFinder finds heads of answers in a body that ends with its connection: only the head of a late answer tells where the body has ended.
type headFinder struct {
	isForeign func(*http.Response) bool
	// held holds the unscanned bytes from the first possible status line on.
	held []byte
	// candidates is the number of status lines that began no head.
	candidates int
}

// add takes the next bytes of the body, and reports whether they complete a head.
func (f *headFinder) add(p []byte) bool {
	if f.candidates >= maxCandidates {
		return false
	}
	f.held = append(f.held, p...)
	rest := f.held
	for f.candidates < maxCandidates {
		start := bytes.Index(rest, statusLineStart)
		if start < 0 {
			rest = rest[max(0, len(rest)-len(statusLineStart)+1):]
			break
		}
		rest = rest[start:]
		head := rest[:min(len(rest), maxLateHeadBytes)]
		end := bytes.Index(head, headEnd)
		if end < 0 && len(rest) < maxLateHeadBytes {
			break
		}
		if end >= 0 && f.isHead(head[:end+len(headEnd)]) {
			return true
		}
		f.candidates++
		rest = rest[1:]
	}
	f.held = append(f.held[:0], rest...)
	return false
}

func (f *headFinder) isHead(raw []byte) bool {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	return err == nil && f.isForeign(resp)
}

// newHeadFinder returns a finder of answers that name a request which the connection has carried lately, or nil if answers name none.
func (x *conn) newHeadFinder(r Request) *headFinder {
	if r.NameOf == nil {
		return nil
	}
	return &headFinder{isForeign: func(resp *http.Response) bool {
		name := r.NameOf(resp)
		return name != "" && slices.Contains(x.carried, xxhash.Sum64String(name))
	}}
}
