package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"cyclamenford/core"
)

// Options are the settings of a server.
type Options struct {
	// Name tells whose listener it is, for errors and logs.
	Name    string
	Address string
	// Tls is nil for plain text.
	Tls *tls.Config
	// HeaderTimeout bounds the reading of a request's header, and ReadTimeout that of the whole request, 0 for no bound.
	HeaderTimeout, ReadTimeout core.Millis
	// IdleTimeout is how long a connection may wait for its next request, 0 for no bound.
	IdleTimeout    core.Millis
	MaxHeaderBytes int
	// Wrap may put something around the listener; nil for nothing.
	Wrap func(net.Listener) net.Listener
}

// Server serves a handler.
type Server struct {
	options Options
	http    *http.Server
	log     *slog.Logger
}

// New returns a server that is not listening yet.
func New(o Options, h http.Handler, log *slog.Logger) *Server {
	return &Server{options: o, log: log, http: &http.Server{
		Handler: h, MaxHeaderBytes: o.MaxHeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout.Duration(), ReadTimeout: o.ReadTimeout.Duration(),
		IdleTimeout: o.IdleTimeout.Duration(),
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
}

// Start listens and serves in the background.
func (s *Server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.options.Name, err)
	}
	if s.options.Wrap != nil {
		l = s.options.Wrap(l)
	}
	if s.options.Tls != nil {
		l = tls.NewListener(l, s.options.Tls)
	}
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener ended", "for", s.options.Name, "err", err)
		}
	}()
	return nil
}

// CloseIdle closes the connections that carry no request, and every other one after its answer; new ones are still taken.
func (s *Server) CloseIdle() {
	s.http.SetKeepAlivesEnabled(false)
}

// Stop closes the listener and waits for the requests in flight; those still there when ctx ends are cut off.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut the listener for %s down: %w", s.options.Name, errors.Join(err, s.http.Close()))
	}
	return nil
}
