package pipe

import (
	"bufio"
	"errors"
	"io"
	"math"

	"cyclamenford/io/head"
)

const (
	// maxHeadBytes limits the head of an answer, interim answers before it included; common servers accept less.
	maxHeadBytes = 64 << 10
	// maxInterimAnswers limits the interim (1xx) answers before the final one.
	maxInterimAnswers = 8
	// maxStrayBytes limits the body of a late answer to an earlier request that is skipped.
	maxStrayBytes = 256 << 10
	// noLimit is used while a body is read, because the reader of the body enforces its own limit.
	noLimit = math.MaxInt64
)

// ErrAnswerTooLarge means that an endpoint sent more than an answer may contain; the connection is closed.
var ErrAnswerTooLarge = errors.New("the endpoint's answer exceeds a size limit")

// limitedReader reads from a connection and returns an error once the remaining number of bytes has been read. It also checks the heads of answers.
type limitedReader struct {
	source    io.Reader
	remaining int64
	heads     head.Checker
}

// expectHead makes the next byte that is read through a buffer on top of the reader the first one of a head.
func (r *limitedReader) expectHead(buffer *bufio.Reader) {
	r.heads.Expect()
	// What is buffered can be peeked without an error.
	buffered, _ := buffer.Peek(buffer.Buffered())
	r.heads.Add(buffered)
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrAnswerTooLarge
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.source.Read(p)
	r.heads.Add(p[:n])
	if r.remaining != noLimit {
		r.remaining -= int64(n)
	}
	return n, err
}
