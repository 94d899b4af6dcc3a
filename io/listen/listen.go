package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"cyclamenford/core"
	"cyclamenford/io/loop"
)

const (
	// lookTime is how long one look of Stop at the open connections lasts.
	lookTime = 50 * time.Millisecond
	// lastHandlersWait is how long Stop waits for handlers whose connections it has closed, so that their last log lines are written.
	lastHandlersWait = 100 * time.Millisecond
)

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
	IdleTimeout    core.Millis
	MaxHeaderBytes int
	// WrapListener, if not nil, returns the listener to use in place of the TCP listener, below TLS.
	WrapListener func(net.Listener) net.Listener
}

// Server serves an HTTP handler on one address.
type Server struct {
	options Options
	http    *http.Server
	log     *slog.Logger
	// listener is nil before Start.
	listener net.Listener
	// handlers counts the handlers in progress.
	handlers loop.WorkCounter
}

// New returns a Server that does not listen until Start.
func New(o Options, h http.Handler, log *slog.Logger) *Server {
	s := &Server{options: o, log: log}
	s.http = &http.Server{
		Handler: s.handler(h), MaxHeaderBytes: o.MaxHeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout.Duration(), ReadTimeout: o.ReadTimeout.Duration(),
		IdleTimeout: o.IdleTimeout.Duration(), ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// handler returns a handler that counts the requests in progress and logs those whose connections this host has closed.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handlers.Add(1)
		defer s.handlers.Add(-1)
		defer func() {
			if EndedBy(r.Context()) == Host {
				s.log.Warn("connection closed beneath a request", "for", s.options.Name, "client", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
			}
		}()
		h.ServeHTTP(w, r)
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
	l = trackingListener{Listener: l}
	if s.options.Tls != nil {
		l = tls.NewListener(l, s.options.Tls)
	}
	s.listener = l
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener ended", "for", s.options.Name, "err", err)
		}
	}()
	return nil
}

// Addr returns the address on which the server listens. It must be called after Start.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// CloseIdle closes idle connections now and all others after their current response. New connections are still
// accepted, and closed after one request.
func (s *Server) CloseIdle() {
	s.http.SetKeepAlivesEnabled(false)
}

// Stop closes the listener and waits for the requests in flight. When ctx ends, it closes the connections of the
// remaining ones.
func (s *Server) Stop(ctx context.Context) error {
	for {
		// Each call begins with short pauses between its looks at the connections, which grow to half a second.
		look, cancel := context.WithTimeout(ctx, lookTime)
		err := s.http.Shutdown(look)
		cancel()
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded):
			err = errors.Join(err, s.http.Close())
			s.waitForHandlers()
			return fmt.Errorf("shut down the listener for %s: %w", s.options.Name, err)
		}
	}
}

// waitForHandlers waits a short time for the handlers whose connections were closed, which log how their requests ended.
func (s *Server) waitForHandlers() {
	ctx, cancel := context.WithTimeout(context.Background(), lastHandlersWait)
	defer cancel()
	if err := s.handlers.Wait(ctx); err != nil {
		s.log.Warn("handlers still run after the stop", "for", s.options.Name, "requests", s.handlers.Count())
	}
}
