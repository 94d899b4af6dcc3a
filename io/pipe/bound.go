package pipe

import (
	"errors"
	"io"
	"math"
)

const (
	// maxHead bounds the bytes of an answer's head with the interim answers before it: more than common servers accept.
	maxHead = 64 << 10
	// maxInterim is how many interim answers may come before the final one.
	maxInterim = 8
	// maxStray bounds the body of a late answer to another request that is skipped.
	maxStray = 256 << 10
	// unbounded lets a body pass, whose reader has a bound of its own.
	unbounded = math.MaxInt64
)

// ErrEndless means that an endpoint sent more than an answer may have; the connection is closed.
var ErrEndless = errors.New("the endpoint sent more than an answer may have")

// bounded reads from a connection until a number of bytes has come.
type bounded struct {
	from io.Reader
	left int64
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrEndless
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.from.Read(p)
	if b.left != unbounded {
		b.left -= int64(n)
	}
	return n, err
}
