package greet

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"

	"cyclamenford/core"
	"cyclamenford/core/member"
	"cyclamenford/io/front"
	"cyclamenford/io/listen"
	"cyclamenford/io/meter"
	"cyclamenford/io/share"
)

// maxBodyBytes limits the size of one announcement.
const maxBodyBytes = 256 << 10

// AnnouncementServer is the HTTP server for endpoints' announcements.
type AnnouncementServer struct {
	*listen.Server
	keys   []string
	sharer *share.Sharer
	meter  *meter.Meter
	log    *slog.Logger
}

// New returns a server on the address. keys are the hashes of the accepted endpoint keys; without any, it accepts
// announcements without a key.
func New(address string, keys []string, tlsConfig *tls.Config, s *share.Sharer, m *meter.Meter, log *slog.Logger) *AnnouncementServer {
	g := &AnnouncementServer{keys: keys, sharer: s, meter: m, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", g.announce)
	o := listen.Options{Name: "endpoints", Address: address, Tls: tlsConfig, HeaderTimeout: core.Second, ReadTimeout: core.Second}
	g.Server = listen.New(o, mux, log)
	return g
}

// DecodeAnnouncement decodes and validates an announcement.
func DecodeAnnouncement(body []byte) (core.Announcement, error) {
	var a core.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("decode announcement: %w", err)
	}
	if err := a.Validate(); err != nil {
		return a, fmt.Errorf("check announcement: %w", err)
	}
	return a, nil
}

// announce authenticates, decodes and applies one announcement, and logs it unless it only renews a known one.
func (g *AnnouncementServer) announce(w http.ResponseWriter, r *http.Request) {
	if !g.authorized(r.Header.Get("Authorization")) {
		g.meter.Count("announcements_refused_total", 1)
		http.Error(w, "the endpoint's key is not known", http.StatusUnauthorized)
		return
	}
	var raw json.RawMessage
	if err := json.NewDecoder(listen.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&raw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, err := DecodeAnnouncement(raw)
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

// authorized reports whether the Authorization header carries an accepted key, or no keys are configured.
func (g *AnnouncementServer) authorized(authorization string) bool {
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
