package greet

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"

	"cyclamenford/core"
	"cyclamenford/core/member"
	"cyclamenford/io/front"
	"cyclamenford/io/meter"
	"cyclamenford/io/share"
)

// maxBodyBytes bounds one announcement.
const maxBodyBytes = 256 << 10

// Greeter serves endpoints.
type Greeter struct {
	address string
	keys    []string
	tls     *tls.Config
	sharer  *share.Sharer
	meter   *meter.Meter
	log     *slog.Logger
	server  *http.Server
}

// New returns a greeter; keys are the hashes of the endpoints' keys, and none means that every endpoint may announce itself.
func New(address string, keys []string, tlsConfig *tls.Config, s *share.Sharer, m *meter.Meter, log *slog.Logger) *Greeter {
	return &Greeter{address: address, keys: keys, tls: tlsConfig, sharer: s, meter: m, log: log}
}

// Start listens for endpoints.
func (g *Greeter) Start(context.Context) error {
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return fmt.Errorf("listen for endpoints: %w", err)
	}
	if g.tls != nil {
		l = tls.NewListener(l, g.tls)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", g.announce)
	g.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: core.Second.Duration(), ReadTimeout: core.Second.Duration(),
		ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := g.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("endpoints' listener ended", "err", err)
		}
	}()
	return nil
}

// Stop closes the listener.
func (g *Greeter) Stop(ctx context.Context) error {
	if err := g.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut endpoints' listener down: %w", err)
	}
	return nil
}

// Decode reads an announcement and checks it.
func Decode(body []byte) (core.Announcement, error) {
	var a core.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("decode announcement: %w", err)
	}
	if err := a.Check(); err != nil {
		return a, fmt.Errorf("check announcement: %w", err)
	}
	return a, nil
}

func (g *Greeter) announce(w http.ResponseWriter, r *http.Request) {
	if !g.knows(r.Header.Get("Authorization")) {
		g.meter.Count("announcements_refused_total", 1)
		http.Error(w, "the endpoint's key is not known", http.StatusUnauthorized)
		return
	}
	var raw json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&raw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, err := Decode(raw)
	if err != nil {
		g.meter.Count("announcements_refused_total", 1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	change := g.sharer.Announce(a)
	if change != member.Renewed {
		g.log.Info("announcement", "endpoint", a.ID, "incarnation", a.Incarnation, "change", change)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (g *Greeter) knows(authorization string) bool {
	if len(g.keys) == 0 {
		return true
	}
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return false
	}
	hash := front.HashKey(key)
	for _, k := range g.keys {
		if strings.EqualFold(k, hash) {
			return true
		}
	}
	return false
}
