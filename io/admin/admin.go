package admin

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"

	"cyclamenford/core"
	"cyclamenford/core/tree"
	"cyclamenford/io"
	"cyclamenford/io/broker"
	"cyclamenford/io/front"
	"cyclamenford/io/listen"
)

// maxBodyBytes bounds one subtree.
const maxBodyBytes = 1 << 20

// Admin serves operators.
type Admin struct {
	*listen.Server
	keys    []tree.Key
	control io.Control
	broker  *broker.Broker
	log     *slog.Logger
}

// New returns an operators' interface for the given keys.
func New(address string, keys []tree.Key, tlsConfig *tls.Config, c io.Control, b *broker.Broker, log *slog.Logger) *Admin {
	a := &Admin{keys: keys, control: c, broker: b, log: log}
	o := listen.Options{Name: "operators", Address: address, Tls: tlsConfig, HeaderTimeout: core.Second}
	a.Server = listen.New(o, a.routes(), log)
	return a
}

func (a *Admin) routes() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, f func(author string, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, f) })
	}
	handle("GET /v1/status", a.status)
	handle("GET /v1/hosts", a.hosts)
	handle("GET /v1/endpoints", a.endpoints)
	handle("GET /v1/pools", a.pools)
	handle("GET /v1/decisions/{request}", a.decisions)
	handle("GET /v1/settings", a.listSettings)
	handle("GET /v1/settings/{path...}", a.getSettings)
	handle("PUT /v1/settings/{path...}", a.setSettings)
	handle("DELETE /v1/settings/{path...}", a.setSettings)
	handle("GET /v1/history/{path...}", a.history)
	handle("GET /v1/wait/{revision}", a.wait)
	handle("PUT /v1/drains/{endpoint}", a.drain)
	handle("DELETE /v1/drains/{endpoint}", a.drain)
	handle("GET /v1/quarantine", a.quarantine)
	handle("DELETE /v1/quarantine/{content}", a.pardon)
	handle("GET /v1/orders", a.orders)
	handle("POST /v1/orders", a.placeOrder)
	handle("GET /v1/calls/{organisation}/{key}", a.call)
	return mux
}

// statusError is an error with an HTTP status.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }

func (e *statusError) Unwrap() error { return e.err }

func badRequest(format string, args ...any) error {
	return &statusError{status: http.StatusBadRequest, err: fmt.Errorf(format, args...)}
}

func (a *Admin) serve(w http.ResponseWriter, r *http.Request, f func(string, *http.Request) (any, error)) {
	author, ok := a.author(r.Header.Get("Authorization"))
	if !ok {
		a.writeJSON(w, http.StatusUnauthorized, failure{Error: "the operator's key is not known"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	value, err := f(author, r)
	var withStatus *statusError
	switch {
	case err == nil:
		a.writeJSON(w, http.StatusOK, value)
	case errors.As(err, &withStatus):
		a.writeJSON(w, withStatus.status, failure{Error: err.Error()})
	case errors.Is(err, io.ErrNoQuorum):
		a.writeJSON(w, http.StatusServiceUnavailable, failure{Error: err.Error()})
	default:
		a.writeJSON(w, http.StatusInternalServerError, failure{Error: err.Error()})
	}
}

// failure is the body of an error.
type failure struct{ Error string }

func (a *Admin) writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		// The operator has gone; the status has been sent.
		a.log.Debug("answer an operator", "err", err)
	}
}

// author returns the name of the operator's key.
func (a *Admin) author(authorization string) (string, bool) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return "", false
	}
	hash := front.HashKey(key)
	for _, k := range a.keys {
		if strings.EqualFold(k.Sha256, hash) {
			return k.Name, true
		}
	}
	return "", false
}
