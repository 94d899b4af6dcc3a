package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Side names one side of a connection.
type Side string

// The sides that may have ended a connection. Neither has ended one that is open.
const (
	Neither  Side = ""
	ByClient Side = "Client"
	ByHost   Side = "Host"
)

// retiredReadTimeout is how long a retired connection waits for the rest of a request's head, and of a body that the handler has not read.
// net/http waits up to the idle timeout, or without a limit.
const retiredReadTimeout = 500 * time.Millisecond

// pastDeadline ends a read without taking any bytes.
var pastDeadline = time.Unix(1, 0)

// conn is a client's connection. It records which side has ended it, and knows whether anything of its next request has been read.
//
// A retired connection takes no further request, and ends once none is in progress. Only its own reads end it: a read ends without
// a byte if nothing of the next request has been read, and goes on otherwise. Closing it from another goroutine, as net/http closes idle
// connections, could drop a request that was just read and is not parsed yet.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// out takes the writes in place of Conn, if it is not nil.
	out     io.Writer
	ended   Side
	retired bool
	// active means that a request is in progress: its head has been parsed, and its answer is not complete.
	active bool
	// answered means that the handler of the request in progress has returned.
	answered bool
	// readSinceWrite means that bytes have arrived since the last write. If no request is in progress, they are the beginning of the next
	// one, or of a TLS handshake.
	readSinceWrite bool
	// readDeadline is what the HTTP server has set, and retiredDeadline when a retired connection no longer waits for the rest of a request.
	readDeadline, retiredDeadline time.Time
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// EndedBy returns which side has ended the connection of a request, from the request's context.
func EndedBy(ctx context.Context) Side {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return Neither
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Redirect makes what the HTTP server writes to the connection of a request, from the request's context, go to the writer that open returns
// for the connection, until the returned function is called by the request's handler. If open returns nil, nothing changes.
func Redirect(ctx context.Context, open func(net.Conn) io.Writer) (restore func()) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	c.setOut(open(c.Conn))
	return func() { c.setOut(nil) }
}

// setOut sets the writer that takes the writes, or nil.
func (c *conn) setOut(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = w
}

// withConn adds a connection that the HTTP server has accepted to the context of its requests.
func withConn(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(accepted))
}

// connOf returns an accepted connection as it was below the TLS layer, if there is one.
func connOf(accepted net.Conn) *conn {
	if t, ok := accepted.(*tls.Conn); ok {
		accepted = t.NetConn()
	}
	return accepted.(*conn)
}

// trackingListener accepts connections as conns.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection of a client.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.server.track(accepted), nil
}

// Read reads from the client.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordError(err)
	if n > 0 {
		c.readSinceWrite = true
		c.applyReadDeadline()
	}
	return n, err
}

// Write writes to the client.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.readSinceWrite = false
	out := c.out
	c.mu.Unlock()
	if out == nil {
		out = c.Conn
	}
	n, err := out.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordError(err)
	return n, err
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(c.effectiveDeadline())
}

// CloseWrite ends the sending side. net/http calls it and waits before it closes a connection with unread bytes, since a reset could
// take the answer away before the client has read it.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.ended == Neither {
		c.ended = ByHost
	}
	c.mu.Unlock()
	c.server.forget(c)
	return c.Conn.Close()
}

// retire ends the connection once no request is in progress. It reports whether none was.
func (c *conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.applyReadDeadline()
	return c.isUnread()
}

// changeState follows the state that the HTTP server gives to the connection.
func (c *conn) changeState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.answered = s == http.StateActive, false
	c.applyReadDeadline()
}

// handlerEnded records that the handler of the request in progress has returned.
func (c *conn) handlerEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	c.applyReadDeadline()
}

// isUnread reports whether no request is in progress and nothing of the next one has been read. The caller holds the lock.
func (c *conn) isUnread() bool { return !c.active && !c.readSinceWrite }

// effectiveDeadline returns the deadline of reads. Those of a retired connection end at once while nothing of the next request has been
// read, and soon while its head is not complete or after its handler. The caller holds the lock.
func (c *conn) effectiveDeadline() time.Time {
	switch {
	case !c.retired || c.active && !c.answered:
		return c.readDeadline
	case c.isUnread():
		return pastDeadline
	case c.retiredDeadline.IsZero():
		c.retiredDeadline = time.Now().Add(retiredReadTimeout)
	}
	if !c.readDeadline.IsZero() && c.readDeadline.Before(c.retiredDeadline) {
		return c.readDeadline
	}
	return c.retiredDeadline
}

// applyReadDeadline sets the deadline anew after a change of a retired connection. The caller holds the lock.
func (c *conn) applyReadDeadline() {
	if c.retired {
		// It fails only on a closed connection.
		_ = c.Conn.SetReadDeadline(c.effectiveDeadline())
	}
}

// recordError records that the client has ended the connection, if an error shows that. The caller holds the lock.
func (c *conn) recordError(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && c.ended == Neither {
		c.ended = ByClient
	}
}
