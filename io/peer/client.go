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
	mu     sync.Mutex
	client *rpc.Client
	// attempt is the connection being made, which all callers wait for.
	attempt *attempt
}

type attempt struct {
	done   chan struct{}
	client *rpc.Client
	err    error
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
// A connection whose call ran out of time is closed, since it may be a silent partition.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn := c.connection(address)
	client, err := conn.get(ctx, c, address)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w: %w", method, address, ErrNotSent, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
		if errors.Is(err, context.DeadlineExceeded) {
			conn.drop(client)
		}
	}
	if errors.Is(err, rpc.ErrShutdown) {
		conn.drop(client)
	}
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
		if conn.client != nil {
			_ = conn.client.Close()
			conn.client = nil
		}
		conn.mu.Unlock()
	}
	return nil
}

// Start does nothing; connections are made when they are needed.
func (c *Client) Start(context.Context) error {
	return nil
}

func (conn *connection) get(ctx context.Context, c *Client, address string) (*rpc.Client, error) {
	conn.mu.Lock()
	if conn.client != nil {
		defer conn.mu.Unlock()
		return conn.client, nil
	}
	a := conn.attempt
	if a == nil {
		a = &attempt{done: make(chan struct{})}
		conn.attempt = a
		go conn.connect(c, address, a)
	}
	conn.mu.Unlock()
	select {
	case <-a.done:
		return a.client, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
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
		a.client = rpc.NewClient(raw)
		conn.client = a.client
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

func (conn *connection) drop(client *rpc.Client) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.client == client {
		_ = client.Close()
		conn.client = nil
	}
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
