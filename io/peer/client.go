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

// dialTimeout covers many round trips inside a region; a host that does not answer in this time is treated as unreachable.
const dialTimeout = 500 * time.Millisecond

// maxLinksPerCall is the number of links that a call tries: the open one, which the other host may have closed, and a new one.
const maxLinksPerCall = 2

// ErrNotSent means that the call failed before it was sent, so that the other host has not run it.
var ErrNotSent = errors.New("the call was not sent")

// Client calls methods of other hosts. It sends new calls to a host over one connection at a time, and connects anew once the other side
// has closed it.
type Client struct {
	key           []byte
	tls           *tls.Config
	from          net.IP
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64

	mu    sync.Mutex
	hosts map[string]*hostLinks
}

// hostLinks holds the connections to one address.
type hostLinks struct {
	mu sync.Mutex
	// current is the link for new calls, nil if there is none.
	current *link
	// dialing is the connection attempt in progress, which all callers wait for.
	dialing *dialAttempt
}

// link is one TCP connection with its calls in progress.
type link struct {
	client *rpc.Client
	// conn is the connection below client.
	conn       *countedConn
	inProgress int
	// retired is true if the link accepts no new calls and is closed after the last one in progress.
	retired bool
	// closed is true once this client has closed the connection.
	closed bool
}

// dialAttempt is an attempt to connect; done is closed when it ends, and err is valid after that.
type dialAttempt struct {
	done chan struct{}
	err  error
}

// NewClient returns a client that connects from the given IP, or from any if it is nil. Without a tlsConfig it uses
// plain TCP.
func NewClient(key []byte, tlsConfig *tls.Config, from net.IP) *Client {
	return &Client{key: key, tls: tlsConfig, from: from, hosts: map[string]*hostLinks{}}
}

// TransferredBytes returns the number of bytes sent and received over all connections.
func (c *Client) TransferredBytes() (sent, received int64) {
	return c.sentBytes.Load(), c.receivedBytes.Load()
}

// Call invokes a method at an address and waits for the reply or the end of ctx.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	return c.CallWhileReceiving(ctx, 0, address, method, args, reply)
}

// CallWhileReceiving is Call, and also gives up once its link has received nothing for the time silence, so that a lost host is told from a large
// reply that takes long to arrive; 0 sets no limit.
//
// A call that finds its link closed by the other host was not sent, and is sent over another one. After a call on a link exceeds its
// deadline, the link is retired, since the network may be partitioned. The calls in progress on it continue until their own deadlines.
func (c *Client) CallWhileReceiving(ctx context.Context, silence time.Duration, address, method string, args, reply any) error {
	conn := c.hostLinks(address)
	for range maxLinksPerCall {
		l, err := conn.acquireWithin(ctx, silence, c, address)
		if err != nil {
			return fmt.Errorf("call %s at %s: %w: %w", method, address, ErrNotSent, err)
		}
		err = l.call(ctx, silence, method, args, reply)
		// net/rpc returns ErrShutdown for a call that it has not sent, and for one in progress on a link that this client closes.
		broken := errors.Is(err, rpc.ErrShutdown)
		if closed := conn.release(l, errors.Is(err, context.DeadlineExceeded) || broken); broken && !closed {
			continue
		}
		if err != nil {
			return fmt.Errorf("call %s at %s: %w", method, address, err)
		}
		return nil
	}
	return fmt.Errorf("call %s at %s: %w: %w", method, address, ErrNotSent, rpc.ErrShutdown)
}

// OpenStream opens a connection of its own to a host, over which the host's HandleStreams gets what is written to it.
func (c *Client) OpenStream(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.openStream(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	return conn, nil
}

func (c *Client) openStream(ctx context.Context, address string) (net.Conn, error) {
	d := sock.Dialer(c.from, dialTimeout)
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn, err := c.secure(raw, address)
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	// The handshake sets its own deadline.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err = authenticateServer(conn, c.key)
	if err == nil {
		_, err = conn.Write([]byte{streamMark})
	}
	if !stop() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return conn, nil
}

// secure returns a connection with TLS over the given one, or that one if the client uses none.
func (c *Client) secure(raw net.Conn, address string) (net.Conn, error) {
	if c.tls == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config := c.tls.Clone()
	config.ServerName = host
	return tls.Client(raw, config), nil
}

// hostLinks returns the links of an address and creates an empty entry if there is none.
func (c *Client) hostLinks(address string) *hostLinks {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.hosts[address]
	if !ok {
		conn = &hostLinks{}
		c.hosts[address] = conn
	}
	return conn
}

// Stop closes every connection.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.hosts {
		conn.mu.Lock()
		if conn.current != nil {
			conn.current.close()
			conn.current = nil
		}
		conn.mu.Unlock()
	}
	return nil
}

// Start does nothing; connections are made when they are needed.
func (c *Client) Start(context.Context) error {
	return nil
}

// acquireWithin is acquire with a time limit, 0 for none.
func (conn *hostLinks) acquireWithin(ctx context.Context, limit time.Duration, c *Client, address string) (*link, error) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	return conn.acquire(ctx, c, address)
}

// acquire returns the current link with one more call in progress, and connects first if there is no link.
func (conn *hostLinks) acquire(ctx context.Context, c *Client, address string) (*link, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for conn.current == nil {
		a := conn.dialing
		if a == nil {
			a = &dialAttempt{done: make(chan struct{})}
			conn.dialing = a
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
	conn.current.inProgress++
	return conn.current, nil
}

// call sends a call and waits for its reply, the end of ctx, or until nothing has been received for silence, if that is not 0.
func (l *link) call(ctx context.Context, silence time.Duration, method string, args, reply any) error {
	began := time.Now()
	call := l.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	var silent <-chan time.Time
	if silence > 0 {
		silent = time.After(silence)
	}
	for {
		select {
		case <-call.Done:
			return call.Error
		case <-ctx.Done():
			return ctx.Err()
		case <-silent:
			left := silence - min(time.Since(began), l.conn.sinceReceived())
			if left <= 0 {
				return context.DeadlineExceeded
			}
			silent = time.After(left)
		}
	}
}

// release ends a call on a link, and retires the link if asked to. A retired link is closed after its last call. It reports whether
// the link was closed before the call ended.
func (conn *hostLinks) release(l *link, retire bool) (closed bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	closed = l.closed
	l.inProgress--
	if retire {
		l.retired = true
		if conn.current == l {
			conn.current = nil
		}
	}
	if l.retired && l.inProgress == 0 {
		l.close()
	}
	return closed
}

// close closes the connection. The caller holds the lock of the host's links.
func (l *link) close() {
	l.closed = true
	// Ignores the error: the other side may have closed the connection already.
	_ = l.client.Close()
}

// connect makes one connection attempt on behalf of all waiting callers.
func (conn *hostLinks) connect(c *Client, address string, a *dialAttempt) {
	raw, counted, err := c.dial(address)
	if err == nil {
		if err = authenticateServer(raw, c.key); err != nil {
			err = errors.Join(err, raw.Close())
		}
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.dialing = nil
	if a.err = err; err == nil {
		conn.current = &link{client: rpc.NewClient(raw), conn: counted}
	}
	close(a.done)
}

// dial opens a TCP or TLS connection, and returns it with the one below it that counts its bytes.
func (c *Client) dial(address string) (net.Conn, *countedConn, error) {
	d := sock.Dialer(c.from, dialTimeout)
	raw, err := d.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	counted := &countedConn{Conn: raw, sent: &c.sentBytes, recv: &c.receivedBytes, opened: time.Now()}
	secured, err := c.secure(counted, address)
	if err != nil {
		return nil, nil, errors.Join(err, raw.Close())
	}
	return secured, counted, nil
}

// countedConn adds the bytes read and written to the client's counters.
type countedConn struct {
	net.Conn
	sent, recv *atomic.Int64
	opened     time.Time
	// receivedAfter is how long after opened the last bytes were received, in nanoseconds.
	receivedAfter atomic.Int64
}

// sinceReceived returns for how long no bytes have been received.
func (c *countedConn) sinceReceived() time.Duration {
	return time.Since(c.opened) - time.Duration(c.receivedAfter.Load())
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recv.Add(int64(n))
	if n > 0 {
		c.receivedAfter.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
