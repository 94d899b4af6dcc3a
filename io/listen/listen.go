package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenford/core"
	"cyclamenford/io/loop"
)

// lastHandlersWait is how long Stop waits for handlers whose connections it has closed, so that their last log lines are written.
const lastHandlersWait = 50 * time.Millisecond

// Options configure a Server.
type Options struct {
	// Name identifies the listener in errors and logs by those who use it, such as "callers".
	Name    string
	Address string
	// Tls is nil for plain HTTP.
	Tls *tls.Config
	// HeaderTimeout limits the time to read the headers of a request, and ReadTimeout the time to read the whole
	// request. 0 means no limit.
	HeaderTimeout, ReadTimeout core.Millis
	// IdleTimeout limits the time that a connection waits for its next request. 0 means no limit.
	IdleTimeout core.Millis
	// StopTimeout limits how long Stop waits for requests in progress, on a listener whose requests must not hold up other services. 0 means
	// no limit.
	StopTimeout    core.Millis
	MaxHeaderBytes int
	// WrapListener, if not nil, returns the listener to use in place of the TCP listener, below TLS.
	WrapListener func(net.Listener) net.Listener
}

// Server serves an HTTP handler on one address. A request that it has read whole gets its answer: before the time of a stop is over, only
// connections end of whose next request nothing has been read, or whose client does not go on with it.
type Server struct {
	options Options
	http    *http.Server
	log     *slog.Logger
	// listener is nil before Start. accepted is closed when no further connection is accepted.
	listener net.Listener
	accepted chan struct{}
	// handlers counts the handlers in progress, and open the open connections.
	handlers, open loop.WorkCounter
	// leaving means that each answer ends its connection.
	leaving atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	// stopping means that the server takes no further requests: new connections are retired, too.
	stopping bool
}

// New returns a Server that does not listen until Start.
func New(o Options, h http.Handler, log *slog.Logger) *Server {
	s := &Server{options: o, log: log, conns: map[*conn]struct{}{}}
	s.http = &http.Server{
		Handler: s.handler(h), MaxHeaderBytes: o.MaxHeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout.Duration(), ReadTimeout: o.ReadTimeout.Duration(),
		IdleTimeout: o.IdleTimeout.Duration(), ConnContext: withConn,
		ConnState: func(accepted net.Conn, state http.ConnState) { connOf(accepted).changeState(state) },
		ErrorLog:  slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// handler returns a handler that counts the requests in progress and logs those whose connections this host has closed.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handlers.Add(1)
		defer s.handlers.Add(-1)
		defer func() {
			if EndedBy(r.Context()) == ByHost {
				s.log.Warn("connection closed beneath a request", "for", s.options.Name, "client", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
			}
		}()
		out := &response{ResponseWriter: w, server: s}
		h.ServeHTTP(out, r)
		out.setHeader()
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.handlerEnded()
		}
	})
}

// Start opens the listener and serves requests in the background.
func (s *Server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.options.Name, err)
	}
	if s.options.WrapListener != nil {
		l = s.options.WrapListener(l)
	}
	l = trackingListener{Listener: l, server: s}
	if s.options.Tls != nil {
		l = tls.NewListener(l, s.options.Tls)
	}
	s.listener, s.accepted = l, make(chan struct{})
	go func() {
		defer close(s.accepted)
		if err := s.http.Serve(l); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener ended", "for", s.options.Name, "err", err)
		}
	}()
	return nil
}

// Addr returns the address on which the server listens. It must be called after Start.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// track returns an accepted connection as one that Stop ends.
func (s *Server) track(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, server: s}
	s.open.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.stopping {
		c.retire()
	}
	return c
}

// forget removes a connection that is closed.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	_, known := s.conns[c]
	delete(s.conns, c)
	s.mu.Unlock()
	if known {
		s.open.Add(-1)
	}
}

// Leave makes each answer from now on end its connection. Open and new connections are still served once, so that their clients
// learn from an answer that they have to go elsewhere.
func (s *Server) Leave() { s.leaving.Store(true) }

// EndIdle ends the open connections of whose next request nothing has been read, and the others after their current request. It
// returns the number of the former. New connections are still accepted.
func (s *Server) EndIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retireAll()
}

// retireAll retires the open connections and returns how many of them were idle. The caller holds the lock.
func (s *Server) retireAll() int {
	idle := 0
	for c := range s.conns {
		if c.retire() {
			idle++
		}
	}
	return idle
}

// Stop closes the listener and the connections of whose next request nothing has been read, and waits for the requests of the
// others. When ctx ends, it closes the connections of the remaining ones.
func (s *Server) Stop(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	if s.options.StopTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, s.options.StopTimeout.Duration())
		defer cancel()
		ctx = limited
	}
	s.Leave()
	err := s.listener.Close()
	<-s.accepted
	s.mu.Lock()
	s.stopping = true
	open := len(s.conns)
	idle := s.retireAll()
	s.mu.Unlock()
	s.log.Info("listener stops", "for", s.options.Name, "connections", open, "idle", idle, "requests", s.handlers.Count())
	err = errors.Join(err, s.open.Wait(ctx), s.http.Close())
	s.waitForHandlers()
	if err != nil {
		return fmt.Errorf("shut down the listener for %s: %w", s.options.Name, err)
	}
	return nil
}

// waitForHandlers waits a short time for the handlers whose connections were closed, which log how their requests ended.
func (s *Server) waitForHandlers() {
	ctx, cancel := context.WithTimeout(context.Background(), lastHandlersWait)
	defer cancel()
	if err := s.handlers.Wait(ctx); err != nil {
		s.log.Warn("handlers still run after the stop", "for", s.options.Name, "requests", s.handlers.Count())
	}
}
