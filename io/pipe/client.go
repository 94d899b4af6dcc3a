package pipe

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"cyclamenford/core"
	"cyclamenford/io/sock"
)

const (
	// dialTimeout allows for many round trips inside a region; an endpoint that does not answer within it is considered
	// dead.
	dialTimeout = 400 * time.Millisecond
	// maxIdle is how long an idle connection is kept at most, also if the endpoint sends no Keep-Alive timeout.
	maxIdle = 4 * core.Second
	// idleMargin is subtracted from the endpoint's Keep-Alive timeout, because a request takes time to reach the endpoint.
	idleMargin = 500 * core.Millis(1)
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 32
	readBufferSize     = 4 << 10
	// maxDirectWrite is a size of requests that the send buffer of an idle connection always holds.
	maxDirectWrite = 4 << 10
	// maxCarriedNames limits the names of requests that a connection remembers, the latest ones.
	maxCarriedNames = 32
	// maxStrayAnswers limits the late answers to earlier requests that are skipped before the connection is closed.
	maxStrayAnswers = 2
)

// ErrNotSent means that no byte of the request has left this host.
var ErrNotSent = errors.New("the request was not sent")

var errNoSocket = errors.New("the connection is not a TCP socket")

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial connects to an address. It returns the carrier of the connection, empty if it is direct. An error wraps unix.ECONNREFUSED only if
	// no process listens at the address.
	Dial(ctx context.Context, address string) (conn net.Conn, carrier string, err error)
	// Isolated reports whether this host is taken to reach no endpoint itself, so that its direct connections are not to be used.
	Isolated() bool
}

// Options configures a Client.
type Options struct {
	// LocalAddress is the local address of the connections, nil for any.
	LocalAddress net.IP
	// Dialer opens the connections; nil connects directly.
	Dialer Dialer
	Clock  core.Clock
}

// direct is a Dialer that knows no other way.
type direct struct{ net.Dialer }

// Dial connects directly.
func (d *direct) Dial(ctx context.Context, address string) (net.Conn, string, error) {
	conn, err := d.DialContext(ctx, "tcp", address)
	return conn, "", err
}

// Isolated returns false.
func (d *direct) Isolated() bool { return false }

// Client sends requests to endpoints and keeps a pool of idle connections for reuse.
type Client struct {
	options Options
	dialer  Dialer

	mu    sync.Mutex
	idle  map[poolKey][]*conn
	dials int64
}

// poolKey identifies the connections that a request may reuse.
type poolKey struct{ address, group string }

// ErrSentTooLate means that a request was not sent because no connection was there by its SendBy. It wraps ErrNotSent.
var ErrSentTooLate = fmt.Errorf("%w: too late", ErrNotSent)

// Request is an HTTP request to the endpoint that listens at Address.
type Request struct {
	Address string
	// Group separates connections: a request reuses only those of its group.
	Group  string
	Method string
	// Target is the request target of the HTTP request line: the path with the query. Host is the value of the Host header.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Name is what answers name the request by. A request reuses no connection that has carried one of the same name lately, such as an
	// earlier attempt: a late copy of that answer would look like its own. Names that are never used again may be left empty.
	Name string
	// SendBy is the time on the client's clock after which the request is not sent any more; 0 means no limit.
	SendBy core.Millis
	// MaxIdle limits how long a reused connection may have been idle, for requests that must not be repeated; 0 means
	// no limit.
	MaxIdle core.Millis
	// IsAnswer reports whether a response names this request; nil accepts every response.
	IsAnswer func(*http.Response) bool
	// NamesNone reports whether a response names no request. Such a response counts as the answer only on a connection on which
	// no answer has named its request: later it may be an earlier answer once more. If it is nil, IsAnswer decides.
	NamesNone func(*http.Response) bool
	// NameOf returns the name of the request that a response names, empty if it names none. If it is not nil, a body that ends with its connection
	// must not hold the head of an answer to a request that the connection has carried.
	NameOf func(*http.Response) string
}

func (r Request) poolKey() poolKey { return poolKey{address: r.Address, group: r.Group} }

// conn is a connection to an endpoint with its read buffer.
type conn struct {
	net.Conn
	// carrier is the host that carries the connection, empty if it is direct. Whether the endpoint has received a whole request is not known
	// across a carrier, so that such a connection serves one request only.
	carrier string
	pool    poolKey
	reader  *bufio.Reader
	// limit restricts how many bytes the reader may read from the connection.
	limit *limitedReader
	// named means that an answer on the connection has named its request.
	named bool
	// used means that the connection has carried a request.
	used bool
	// carried holds the hashes of the names of the latest requests, nextCarried being the place of the oldest one once it is full.
	carried     []uint64
	nextCarried int
	// idleSince is when the connection was returned to the pool, and idleLimit how long it may stay there.
	idleSince core.Millis
	idleLimit core.Millis
}

// New returns a client whose connection pool is empty.
func New(o Options) *Client {
	c := &Client{options: o, dialer: o.Dialer, idle: map[poolKey][]*conn{}}
	if c.dialer == nil {
		c.dialer = &direct{sock.Dialer(o.LocalAddress, dialTimeout)}
	}
	return c
}

// Start does nothing; connections are opened on demand.
func (c *Client) Start(context.Context) error { return nil }

// Stop closes the idle connections.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var errs []error
	for key, list := range c.idle {
		for _, x := range list {
			errs = append(errs, x.Close())
		}
		delete(c.idle, key)
	}
	return errors.Join(errs...)
}

// Dials returns how many connections the client has tried to open.
func (c *Client) Dials() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// acquire returns an idle connection that is still open and has no unread bytes, or else a new connection.
func (c *Client) acquire(ctx context.Context, r Request) (*conn, error) {
	for {
		x := c.takeIdle(r)
		if x == nil {
			break
		}
		if x.isQuiet() {
			return x, nil
		}
		c.discard(x)
	}
	x, err := c.connect(ctx, r.poolKey())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return x, nil
}

// connect opens a new connection.
func (c *Client) connect(ctx context.Context, key poolKey) (*conn, error) {
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	raw, carrier, err := c.dialer.Dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	limit := &limitedReader{source: raw}
	return &conn{Conn: raw, carrier: carrier, pool: key, reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit, idleLimit: maxIdle}, nil
}

// ProcessEnded reports whether the process that listened at an address is gone, which a refused connection proves. If the
// host does not answer, that remains unknown and an error is returned.
func (c *Client) ProcessEnded(ctx context.Context, address string) (bool, error) {
	x, err := c.connect(ctx, poolKey{address: address})
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return true, nil
	case err != nil:
		return false, err
	}
	c.release(x)
	return false, nil
}

// takeIdle removes the most recently used idle connection that is fresh enough and has not carried the request's name from the pool and
// returns it, or nil if there is none. It closes the expired ones that it meets.
func (c *Client) takeIdle(r Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	key := r.poolKey()
	list := c.idle[key]
	if c.dialer.Isolated() {
		for _, x := range list {
			c.discard(x)
		}
		delete(c.idle, key)
		return nil
	}
	for i := len(list) - 1; i >= 0; i-- {
		x := list[i]
		if x.hasCarried(r) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		idle := now - x.idleSince
		if idle < x.idleLimit && (r.MaxIdle == 0 || idle < r.MaxIdle) {
			c.idle[key] = list
			return x
		}
		c.discard(x)
	}
	if len(list) > 0 {
		c.idle[key] = list
		return nil
	}
	delete(c.idle, key)
	return nil
}

// recordCarried remembers that the connection carries a request.
func (x *conn) recordCarried(r Request) {
	switch {
	case r.Name == "":
	case len(x.carried) < maxCarriedNames:
		x.carried = append(x.carried, xxhash.Sum64String(r.Name))
	default:
		x.carried[x.nextCarried] = xxhash.Sum64String(r.Name)
		x.nextCarried = (x.nextCarried + 1) % maxCarriedNames
	}
}

// hasCarried reports whether the connection has carried a request of the same name lately.
func (x *conn) hasCarried(r Request) bool {
	return r.Name != "" && slices.Contains(x.carried, xxhash.Sum64String(r.Name))
}

// release returns a connection to the pool after its last answer was read completely. It closes a connection with unread
// bytes, and one for which the pool has no room.
func (c *Client) release(x *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[x.pool]
	if x.carrier != "" || x.reader.Buffered() > 0 || len(list) >= maxIdlePerEndpoint {
		c.discard(x)
		return
	}
	x.idleSince = c.options.Clock.Now()
	c.idle[x.pool] = append(list, x)
}

// discard closes a connection that cannot be reused; it ignores errors of Close.
func (c *Client) discard(x *conn) {
	_ = x.Close()
}

// Sweep closes the idle connections that have exceeded their idle limit.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	for key, list := range c.idle {
		kept := list[:0]
		for _, x := range list {
			if now-x.idleSince < x.idleLimit {
				kept = append(kept, x)
				continue
			}
			c.discard(x)
		}
		if len(kept) == 0 {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = kept
	}
}

// isQuiet reports whether the connection is open, has no unread bytes, and the endpoint has received all that was written. An endpoint
// that has answered early may never read the rest of its request, which the sockets hold, nor the next request behind it.
func (x *conn) isQuiet() bool {
	if x.reader.Buffered() > 0 {
		return false
	}
	raw, err := x.socket()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN) && sock.HasReceivedAll(fd)
		return true
	})
	return err == nil && quiet
}

// socket gives access to the socket of the connection.
func (x *conn) socket() (syscall.RawConn, error) {
	tcp, ok := x.Conn.(*net.TCPConn)
	if !ok {
		return nil, errNoSocket
	}
	return tcp.SyscallConn()
}
