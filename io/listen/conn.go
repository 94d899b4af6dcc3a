package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
)

// Side names one side of a connection.
type Side string

// The sides that may have ended a connection. No side has ended one that is open.
const (
	NoSide Side = ""
	Client Side = "Client"
	Host   Side = "Host"
)

// conn is a client's connection. It records which side has ended it.
type conn struct {
	net.Conn

	mu    sync.Mutex
	ended Side
}

// trackingListener accepts connections as conns.
type trackingListener struct{ net.Listener }

// Accept returns the next connection of a client.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// EndedBy returns which side has ended the connection of a request, from the request's context.
func EndedBy(ctx context.Context) Side {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return NoSide
	}
	return c.endedBy()
}

// withConn adds a connection that the HTTP server has accepted to the context of its requests.
func withConn(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(accepted))
}

// connOf returns the connection below the TLS layer, if there is one.
func connOf(accepted net.Conn) *conn {
	if t, ok := accepted.(*tls.Conn); ok {
		accepted = t.NetConn()
	}
	c, _ := accepted.(*conn)
	return c
}

// Read reads from the client.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.markEnded(Client)
	}
	return n, err
}

// Write writes to the client.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.markEnded(Client)
	}
	return n, err
}

// CloseWrite ends the sending side, after which net/http waits before it closes a connection with unread bytes: closing it at
// once would reset it and could take the answer away before the client has read it.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.markEnded(Host)
	return c.Conn.Close()
}

// markEnded records the side that has ended the connection first.
func (c *conn) markEnded(by Side) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == NoSide {
		c.ended = by
	}
}

func (c *conn) endedBy() Side {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}
