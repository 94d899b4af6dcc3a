package dial

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"

	"cyclamenford/io/head"
)

// checkedConn is a connection to an endpoint on which the heads of answers are checked as they were sent.
type checkedConn struct {
	net.Conn
	// singleUse means that the connection carries one call only.
	singleUse bool

	// mu guards heads, since one goroutine of net/http reads and another one begins the next call.
	mu    sync.Mutex
	heads head.Checker
}

// newCheckedConn returns a connection whose first bytes are a head.
func newCheckedConn(raw net.Conn) *checkedConn {
	c := &checkedConn{Conn: raw, singleUse: isSingleUse(raw)}
	c.expectHead()
	return c
}

// isSingleUse reports whether a connection to an endpoint must not be reused, as one that another host carries.
func isSingleUse(conn net.Conn) bool {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	_, ok := conn.(interface{ SingleUse() })
	return ok
}

// expectHead makes the next byte the first one of a head.
func (c *checkedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads.Expect()
}

func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads.Add(p[:n])
	return n, err
}

// checkHead returns an error that wraps head.ErrMalformed if the last head was malformed. It closes the connection then, so that it is not used again.
func (c *checkedConn) checkHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.heads.Err(); err != nil {
		return errors.Join(err, c.Close())
	}
	return nil
}

// dialPlain returns a function that opens TCP connections with checked heads.
func dialPlain(connect ConnectFunc) ConnectFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(raw), nil
	}
}

// dialTLS returns a function that opens TLS connections with checked heads.
func dialTLS(connect ConnectFunc, config *tls.Config) ConnectFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		raw, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := config.Clone()
		if config.ServerName == "" {
			config.ServerName = host
		}
		secured := tls.Client(raw, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(fmt.Errorf("TLS handshake with %s: %w", address, err), raw.Close())
		}
		return newCheckedConn(secured), nil
	}
}
