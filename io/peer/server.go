package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"cyclamenford/io/loop"
	"cyclamenford/io/sock"
)

// Server accepts connections of other hosts and serves their RPC calls.
type Server struct {
	address string
	key     []byte
	tls     *tls.Config
	log     *slog.Logger
	rpc     *rpc.Server

	listener net.Listener
	// open counts the open connections.
	open loop.WorkCounter

	// streams serves connections that carry bytes instead of calls, nil if there are none.
	streams func(conn net.Conn)

	mu sync.Mutex
	// conns holds the open connections.
	conns  map[net.Conn]use
	closed bool
}

// use is what a connection is used for.
type use int

const (
	handshaking use = iota
	calls
	stream
)

// streamMark is the first byte of a connection that carries a stream. No call begins with it.
const streamMark = 0

// streamEndReserve is what a stop leaves of its time for the ends of the streams that it resets, and streamEndShare the part (1/8) of a short stop
// that this takes at most.
const (
	streamEndReserve = 50 * time.Millisecond
	streamEndShare   = 8
)

// pastDeadline ends a read without taking any bytes.
var pastDeadline = time.Unix(1, 0)

// NewServer returns a server for the address. Without a tlsConfig it uses plain TCP.
func NewServer(address string, key []byte, tlsConfig *tls.Config, log *slog.Logger) *Server {
	return &Server{
		address: address, key: key, tls: tlsConfig, log: log,
		rpc: rpc.NewServer(), conns: map[net.Conn]use{},
	}
}

// Register publishes the receiver's methods under a service name. It must be called before Start.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register RPC service %q: %w", name, err)
	}
	return nil
}

// HandleStreams sets the function that serves connections of OpenStream, from behind the handshake on, and returns when it is done with one. It must
// be called before Start.
func (s *Server) HandleStreams(serve func(conn net.Conn)) { s.streams = serve }

// Start listens and serves connections in the background.
func (s *Server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	s.listener = l
	s.open.Go(s.accept)
	return nil
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.log.Error("accept peer connection", "err", err)
			}
			return
		}
		if !s.track(conn, handshaking) {
			_ = conn.Close()
			return
		}
		s.open.Go(func() { s.serve(conn) })
	}
}

// track adds the connection to those that Stop ends, or returns false if the server has stopped. It is called again once the use of the
// connection is known.
func (s *Server) track(conn net.Conn, as use) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = as
	return true
}

// serve runs the handshake and then serves calls until the connection ends.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	if err := authenticateClient(conn, s.key); err != nil {
		s.log.Warn("peer connection rejected", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	if !s.track(conn, calls) {
		return
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		// The other side has closed the connection before its first call, or this server stops.
		return
	}
	if first[0] != streamMark {
		s.rpc.ServeConn(&prefixedConn{Conn: conn, prefix: first})
		return
	}
	if s.streams == nil || !s.track(conn, stream) {
		return
	}
	if err := sock.DetectLoss(conn); err != nil {
		s.log.Warn("set the time limits of a stream", "remote", conn.RemoteAddr(), "err", err)
	}
	s.streams(conn)
}

// prefixedConn is a connection of which the first bytes have been read already.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}

// Stop closes the listener, reads no further calls, and waits for streams and for the calls in progress, which still get their replies.
// Shortly before ctx ends, it resets the remaining streams: an orderly end could be taken for that of the bytes that they carry. When ctx
// ends, it closes the connections of the remaining calls.
func (s *Server) Stop(ctx context.Context) error {
	err := s.listener.Close()
	s.endConns(func(conn net.Conn, as use) error {
		switch as {
		case calls:
			// net/rpc serves the calls that it has read, and then closes the connection.
			return conn.SetReadDeadline(pastDeadline)
		case stream:
			return nil
		}
		return conn.Close()
	})
	streams, cancel := untilStreamEnd(ctx)
	defer cancel()
	if s.open.Wait(streams) != nil {
		s.resetStreams()
	}
	waitErr := s.open.Wait(ctx)
	if waitErr != nil {
		s.endConns(func(conn net.Conn, _ use) error { return conn.Close() })
	}
	if err := errors.Join(err, waitErr); err != nil {
		return fmt.Errorf("stop peer server: %w", err)
	}
	return nil
}

// untilStreamEnd returns a context that ends when a stop until the end of ctx resets the remaining streams.
func untilStreamEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	left := time.Until(end)
	return context.WithTimeout(ctx, left-min(streamEndReserve, left/streamEndShare))
}

func (s *Server) resetStreams() {
	streams := 0
	s.endConns(func(conn net.Conn, as use) error {
		if as == stream {
			streams++
			sock.Reset(conn)
		}
		return nil
	})
	if streams > 0 {
		s.log.Warn("streams reset: the time of the stop is over", "streams", streams)
	}
}

// endConns takes no further connections and calls end for each open one.
func (s *Server) endConns(end func(conn net.Conn, as use) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn, as := range s.conns {
		// An error means that the connection has ended.
		_ = end(conn, as)
	}
}
