package carry

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

var (
	// errUnproven means that a carried connection has ended without a proof of what its endpoint has done.
	errUnproven = errors.New("the carried connection has ended without a mark of its endpoint's end")
	// errReset means that the carrier has marked a reset by the endpoint.
	errReset = fmt.Errorf("the endpoint of the carried connection: %w", unix.ECONNRESET)
)

// markedConn is a connection to an endpoint whose carrier marks an end in order, and a reset. Read returns io.EOF only at the mark of an end, and an
// error that wraps unix.ECONNRESET only at that of a reset.
type markedConn struct {
	net.Conn
	in *bufio.Reader
	// left is the number of bytes of the present frame that were not read.
	left int
	// ended means that the mark was read, and proves an end in order.
	ended bool
	// written counts the bytes of all writes that have begun, so that a write in progress never matches the mark.
	written atomic.Int64
}

func newMarkedConn(conn net.Conn) *markedConn {
	return &markedConn{Conn: conn, in: bufio.NewReader(conn)}
}

// EndedInOrder reports whether Read has returned io.EOF, which proves that the endpoint has received all that was written and has ended the
// connection in order.
func (c *markedConn) EndedInOrder() bool { return c.ended }

// SingleUse marks a connection that carries one request only: nobody knows whether a carrier will be there for the next one.
func (c *markedConn) SingleUse() {}

// Write writes to the endpoint.
func (c *markedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	return n, hideLinkEnd(err)
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
	return n, hideLinkEnd(err)
}

// readHeader reads the length of the next frame. It returns io.EOF, now and when it is called again, if the mark comes in its place.
func (c *markedConn) readHeader() error {
	header, err := c.in.Peek(frameHeaderBytes)
	if err != nil {
		return hideLinkEnd(err)
	}
	if c.left = int(binary.BigEndian.Uint16(header)); c.left > 0 {
		_, err := c.in.Discard(frameHeaderBytes)
		return err
	}
	mark, err := c.in.Peek(endBytes)
	if err != nil {
		return hideLinkEnd(err)
	}
	received, written := binary.BigEndian.Uint64(mark[frameHeaderBytes:]), uint64(c.written.Load())
	if received == endpointReset {
		return errReset
	}
	if received != written {
		return fmt.Errorf("%w: %w: the endpoint has received %d of %d bytes", errUnproven, io.ErrUnexpectedEOF, received, written)
	}
	c.ended = true
	return io.EOF
}

// rawConn is a connection to an endpoint whose carrier does not mark ends, so that none is proven.
type rawConn struct{ net.Conn }

// EndedInOrder returns false.
func (c rawConn) EndedInOrder() bool { return false }

// SingleUse is that of markedConn.
func (c rawConn) SingleUse() {}

// Read reads what the endpoint has sent. It never returns io.EOF.
func (c rawConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, hideLinkEnd(err)
}

// Write writes to the endpoint.
func (c rawConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	return n, hideLinkEnd(err)
}

// hideLinkEnd replaces the end or the reset of the connection to the carrier, which says nothing about the endpoint.
func hideLinkEnd(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, unix.ECONNRESET) {
		return fmt.Errorf("%w: %w: %s", errUnproven, io.ErrUnexpectedEOF, err.Error())
	}
	return err
}
