package pipe

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
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
	// held holds the bytes from the first possible start of a head on.
	held []byte
}

// add takes the next bytes of the body, and reports whether they complete a head.
func (f *headFinder) add(p []byte) bool {
	f.held = append(f.held, p...)
	for {
		start := bytes.Index(f.held, statusLineStart)
		if start < 0 {
			f.held = slices.Delete(f.held, 0, max(0, len(f.held)-len(statusLineStart)+1))
			return false
		}
		f.held = slices.Delete(f.held, 0, start)
		end := bytes.Index(f.held, headEnd)
		if end < 0 && len(f.held) < maxHeadBytes {
			return false
		}
		if end >= 0 && f.isHead(f.held[:end+len(headEnd)]) {
			return true
		}
		f.held = slices.Delete(f.held, 0, 1)
	}
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
