package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
)

// Server accepts calls from the other hosts.
type Server struct {
	address string
	key     []byte
	tls     *tls.Config
	log     *slog.Logger
	rpc     *rpc.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewServer returns a server for the address; tlsConfig may be nil for plain TCP.
func NewServer(address string, key []byte, tlsConfig *tls.Config, log *slog.Logger) *Server {
	return &Server{
		address: address, key: key, tls: tlsConfig, log: log,
		rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{},
	}
}

// Register offers the receiver's methods under a service name; call it before Start.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register RPC service %q: %w", name, err)
	}
	return nil
}

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
	s.wg.Go(s.accept)
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
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		s.wg.Go(func() { s.serve(conn) })
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	if err := greetClient(conn, s.key); err != nil {
		s.log.Warn("peer refused", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	s.rpc.ServeConn(conn)
}

// Stop closes the listener and every connection.
func (s *Server) Stop(context.Context) error {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	err := s.listener.Close()
	s.wg.Wait()
	if err != nil {
		return fmt.Errorf("close peer listener: %w", err)
	}
	return nil
}
