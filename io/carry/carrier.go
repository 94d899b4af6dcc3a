package carry

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cyclamenford/core"
	"cyclamenford/io/loop"
	"cyclamenford/io/meter"
	"cyclamenford/io/sock"
)

const (
	// maxCarried limits the connections that a host carries, each with two sockets and two buffers.
	maxCarried = 200
	// copyBufferBytes is the size of a buffer for one direction of a connection.
	copyBufferBytes = 16 << 10
	// carrierDialTimeout is below DialTimeout, so that a carrier's answer arrives within it.
	carrierDialTimeout = 300 * time.Millisecond
	waitPollInterval   = 5 * time.Millisecond
)

// Carrier connects other hosts to endpoints.
type Carrier struct {
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	isolated func() bool
	meter    *meter.Meter
	log      *slog.Logger
	leaving  atomic.Bool
	carried  atomic.Int64
	buffers  sync.Pool
}

// NewCarrier returns a carrier that connects from an IP, or from any if it is nil. It refuses while isolated reports that this host reaches no endpoint.
func NewCarrier(from net.IP, isolated func() bool, m *meter.Meter, log *slog.Logger) *Carrier {
	d := sock.Dialer(from, carrierDialTimeout)
	return &Carrier{
		dial: d.DialContext, isolated: isolated, meter: m, log: log,
		buffers: sync.Pool{New: func() any { return new([copyBufferBytes]byte) }},
	}
}

// Leave makes the carrier refuse new connections.
func (c *Carrier) Leave() { c.leaving.Store(true) }

// Wait blocks until this host carries no connection or ctx ends.
func (c *Carrier) Wait(ctx context.Context) {
	for c.carried.Load() > 0 && ctx.Err() == nil {
		loop.Sleep(ctx, waitPollInterval)
	}
}

// Serve connects a stream of another host to the endpoint that it names, and returns when either side has ended.
func (c *Carrier) Serve(conn net.Conn) {
	asked, address, err := readRequest(conn)
	if err != nil {
		c.log.Debug("read the address to carry to", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	endpoint, answer, err := c.connect(address)
	if asked == marked && answer == notCarrying {
		answer = declined
	}
	c.meter.Count("carrier_connections_total", 1, "connected", yesOrNo(err == nil))
	if _, writeErr := conn.Write([]byte{byte(answer)}); err != nil || writeErr != nil {
		c.log.Info("connection not carried", "remote", conn.RemoteAddr(), "address", address, "err", errors.Join(err, writeErr))
		if endpoint != nil {
			sock.Reset(endpoint)
			c.carried.Add(-1)
		}
		return
	}
	defer c.carried.Add(-1)
	began := time.Now()
	sent, received, ended := c.copyBothWays(conn, endpoint, asked)
	c.meter.Count("carried_connections_ended_total", 1, "ended", string(ended))
	c.log.Info("connection carried", "remote", conn.RemoteAddr(), "address", address, "sent_bytes", sent, "received_bytes", received, "ended", ended, "marked", asked == marked,
		"took_ms", time.Since(began).Milliseconds(), "carried", c.carried.Load())
}

var (
	errLeaving  = errors.New("this host stops")
	errIsolated = errors.New("this host reaches no endpoint itself")
	errFull     = errors.New("this host carries as many connections as it may")
)

// connect connects to an endpoint and counts the connection as carried, or returns why it does not.
func (c *Carrier) connect(address string) (net.Conn, status, error) {
	switch {
	case c.leaving.Load():
		return nil, notCarrying, errLeaving
	case c.isolated():
		return nil, notCarrying, errIsolated
	case !core.IsAddress(address):
		return nil, notCarrying, core.NewFieldError("address", address, "IP:PORT")
	}
	if c.carried.Add(1) > maxCarried {
		c.carried.Add(-1)
		return nil, notCarrying, errFull
	}
	endpoint, err := c.dial(context.Background(), "tcp", address)
	if err == nil {
		return endpoint, connected, nil
	}
	c.carried.Add(-1)
	if errors.Is(err, unix.ECONNREFUSED) {
		return nil, refusedByEndpoint, err
	}
	return nil, unreachable, err
}

// ending is how a carried connection ended.
type ending string

const (
	// byEndpoint means that the endpoint has ended it in order, brokenByEndpoint that its connection broke, byHost that the other host is gone or
	// has closed it, and byStop that this host has reset it at the end of its stop.
	byEndpoint       ending = "Endpoint"
	brokenByEndpoint ending = "EndpointBroken"
	byHost           ending = "Host"
	byStop           ending = "Stop"
)

// copyBothWays copies bytes until either side ends, and returns once both directions have ended: how many bytes it has sent to the endpoint and received from it, and which side ended it.
func (c *Carrier) copyBothWays(conn, endpoint net.Conn, f framing) (sent, received int64, ended ending) {
	var hostEnded, stopEnded atomic.Bool
	toEndpoint := &countedWriter{to: endpoint}
	var toEndpointEnded sync.WaitGroup
	toEndpointEnded.Go(func() {
		if _, err := c.copy(toEndpoint, conn, 0); err == nil || !isWriteError(err) {
			// The other host or a stop has closed the connection, so that nobody waits for the answer.
			stopEnded.Store(errors.Is(err, net.ErrClosed))
			hostEnded.Store(true)
			sock.Reset(endpoint)
		}
	})
	headerBytes := 0
	if f == marked {
		headerBytes = frameHeaderBytes
	}
	received, err := c.copy(conn, endpoint, headerBytes)
	ended = byEndpoint
	mark, err := toEndpoint.endMarkFor(endpoint, err)
	if f == raw {
		mark = nil
	}
	if mark != nil {
		if _, writeErr := conn.Write(mark); writeErr != nil {
			err = writeError{writeErr}
		}
	}
	switch {
	case stopEnded.Load() || isWriteError(err) && errors.Is(err, net.ErrClosed):
		ended = byStop
	case hostEnded.Load() || isWriteError(err):
		ended = byHost
	case err != nil:
		ended = brokenByEndpoint
	}
	if err != nil && mark == nil {
		sock.Reset(conn)
	}
	_ = conn.Close()
	_ = endpoint.Close()
	toEndpointEnded.Wait()
	return toEndpoint.written, received, ended
}

// errNotReceived means that an endpoint has ended a connection before it had received all that was sent, or has reset it.
var errNotReceived = errors.New("the endpoint has not received all that was sent")

// countedWriter writes to an endpoint and counts the bytes that the socket has taken.
type countedWriter struct {
	to      net.Conn
	mu      sync.Mutex
	written int64
}

// Write writes to the endpoint.
func (w *countedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.to.Write(p)
	w.written += int64(n)
	return n, err
}

// endMarkFor returns the mark to send once the reading from the endpoint has ended with the given error, nil at its end. The mark is nil if the end
// proves nothing; the returned error is nil only for an end in order of an endpoint that has received all that was written.
func (w *countedWriter) endMarkFor(endpoint net.Conn, readErr error) (mark []byte, err error) {
	switch {
	case isWriteError(readErr):
		return nil, readErr
	case errors.Is(readErr, unix.ECONNRESET):
		return endMark(endpointReset), readErr
	case readErr != nil:
		return nil, readErr
	}
	// A write that the endpoint does not take any more would not end.
	if err := endpoint.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !sock.EndedInOrder(endpoint) {
		return nil, errNotReceived
	}
	return endMark(uint64(w.written)), nil
}

// writeError marks an error of the side that is written to.
type writeError struct{ error }

func (e writeError) Unwrap() error { return e.error }

func isWriteError(err error) bool { return errors.As(err, &writeError{}) }

// copy copies until the end of from, behind a frame header of the given size for each read. An error of to is a writeError.
func (c *Carrier) copy(to io.Writer, from net.Conn, headerBytes int) (int64, error) {
	buffer := c.buffers.Get().(*[copyBufferBytes]byte)
	defer c.buffers.Put(buffer)
	copied := int64(0)
	for {
		n, err := from.Read(buffer[headerBytes:])
		if n > 0 {
			if headerBytes > 0 {
				binary.BigEndian.PutUint16(buffer[:], uint16(n))
			}
			if _, err := to.Write(buffer[:headerBytes+n]); err != nil {
				return copied, writeError{err}
			}
			copied += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return copied, nil
		}
		if err != nil {
			return copied, err
		}
	}
}

func yesOrNo(b bool) string {
	if b {
		return "Yes"
	}
	return "No"
}
