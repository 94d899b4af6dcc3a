package carry

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// errUnproven means that a carried connection has ended without a proof that its endpoint has ended it in order.
var errUnproven = errors.New("the carried connection has ended without a mark of its endpoint's end")

// markedConn is a connection to an endpoint whose carrier marks an end in order. Read returns io.EOF only at the mark.
type markedConn struct {
	net.Conn
	in *bufio.Reader
	// left is the number of bytes of the present frame that were not read.
	left int
	// ended means that the mark was read, and proves an end in order.
	ended bool
	// written counts the bytes of all writes that have begun.
	written atomic.Int64
}

func newMarkedConn(conn net.Conn) *markedConn {
	return &markedConn{Conn: conn, in: bufio.NewReader(conn)}
}

// EndedInOrder reports whether Read has returned io.EOF, which proves that the endpoint has received all that was written and has ended the
// connection in order.
func (c *markedConn) EndedInOrder() bool { return c.ended }

// Write writes to the endpoint.
func (c *markedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read reads what the endpoint has sent. One goroutine may call it at a time.
func (c *markedConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.in.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unprovenIfEOF(err)
}

// readHeader reads the length of the next frame. It returns io.EOF, now and when it is called again, if the mark comes in its place.
func (c *markedConn) readHeader() error {
	header, err := c.in.Peek(frameHeaderBytes)
	if err != nil {
		return unprovenIfEOF(err)
	}
	if c.left = int(binary.BigEndian.Uint16(header)); c.left > 0 {
		_, err := c.in.Discard(frameHeaderBytes)
		return err
	}
	mark, err := c.in.Peek(endBytes)
	if err != nil {
		return unprovenIfEOF(err)
	}
	if received, written := int64(binary.BigEndian.Uint64(mark[frameHeaderBytes:])), c.written.Load(); received != written {
		return fmt.Errorf("%w: %w: the endpoint has received %d of %d bytes", errUnproven, io.ErrUnexpectedEOF, received, written)
	}
	c.ended = true
	return io.EOF
}

// rawConn is a connection to an endpoint whose carrier does not mark ends, so that none is proven.
type rawConn struct{ net.Conn }

// EndedInOrder returns false.
func (c rawConn) EndedInOrder() bool { return false }

// Read reads what the endpoint has sent. It never returns io.EOF.
func (c rawConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, unprovenIfEOF(err)
}

// unprovenIfEOF replaces io.EOF, as which the end of the connection to the carrier is read.
func unprovenIfEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", errUnproven, io.ErrUnexpectedEOF)
	}
	return err
}
