package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenford/io/sock"
)

// dialTimeout is many round trips inside a region; a host that is silent that long is taken for lost.
const dialTimeout = 500 * time.Millisecond

// ErrNotSent means that the call has not left this host.
var ErrNotSent = errors.New("the call was not sent")

// Client calls other hosts and keeps one connection to each.
type Client struct {
	key  []byte
	tls  *tls.Config
	from net.IP
	sent atomic.Int64
	recv atomic.Int64

	mu    sync.Mutex
	conns map[string]*connection
}

type connection struct {
	mu sync.Mutex
	// present is the link that takes new calls.
	present *link
	// attempt is the link being made, which all callers wait for.
	attempt *attempt
}

// link is one TCP connection with its calls in progress.
type link struct {
	client *rpc.Client
	calls  int
	// retired tells that it takes no new calls and is closed after its last one.
	retired bool
}

type attempt struct {
	done chan struct{}
	err  error
}

// NewClient returns a client that calls from the given IP, any if nil; tlsConfig may be nil for plain TCP.
func NewClient(key []byte, tlsConfig *tls.Config, from net.IP) *Client {
	return &Client{key: key, tls: tlsConfig, from: from, conns: map[string]*connection{}}
}

// Bytes returns how many bytes were sent and received over all connections.
func (c *Client) Bytes() (sent, received int64) {
	return c.sent.Load(), c.recv.Load()
}

// Call invokes a method at an address and waits for the reply or the end of ctx.
//
// A link whose call ran out of time takes no new calls, since it may be a silent partition; the calls in progress on it
// keep their own time.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn := c.connection(address)
	l, err := conn.take(ctx, c, address)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w: %w", method, address, ErrNotSent, err)
	}
	call := l.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	conn.release(l, errors.Is(err, context.DeadlineExceeded) || errors.Is(err, rpc.ErrShutdown))
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return nil
}

func (c *Client) connection(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		conn = &connection{}
		c.conns[address] = conn
	}
	return conn
}

// Stop closes every connection.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.mu.Lock()
		if conn.present != nil {
			_ = conn.present.client.Close()
			conn.present = nil
		}
		conn.mu.Unlock()
	}
	return nil
}

// Start does nothing; connections are made when they are needed.
func (c *Client) Start(context.Context) error {
	return nil
}

// take returns a link with one more call on it.
func (conn *connection) take(ctx context.Context, c *Client, address string) (*link, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for conn.present == nil {
		a := conn.attempt
		if a == nil {
			a = &attempt{done: make(chan struct{})}
			conn.attempt = a
			go conn.connect(c, address, a)
		}
		conn.mu.Unlock()
		select {
		case <-a.done:
		case <-ctx.Done():
		}
		conn.mu.Lock()
		if a.err != nil {
			return nil, a.err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	conn.present.calls++
	return conn.present, nil
}

// release ends a call on a link; a retired link is closed after its last call.
func (conn *connection) release(l *link, retire bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	l.calls--
	if retire {
		l.retired = true
		if conn.present == l {
			conn.present = nil
		}
	}
	if l.retired && l.calls == 0 {
		// The other end may have closed it before; nothing is left to be done about that.
		_ = l.client.Close()
	}
}

// connect makes a connection for all callers that wait for it.
func (conn *connection) connect(c *Client, address string, a *attempt) {
	raw, err := c.dial(address)
	if err == nil {
		if err = greetServer(raw, c.key); err != nil {
			err = errors.Join(err, raw.Close())
		}
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.attempt = nil
	if a.err = err; err == nil {
		conn.present = &link{client: rpc.NewClient(raw)}
	}
	close(a.done)
}

func (c *Client) dial(address string) (net.Conn, error) {
	d := sock.Dialer(c.from, dialTimeout)
	raw, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: raw, sent: &c.sent, recv: &c.recv}
	if c.tls == nil {
		return counted, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	config := c.tls.Clone()
	config.ServerName = host
	return tls.Client(counted, config), nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent, recv *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recv.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
