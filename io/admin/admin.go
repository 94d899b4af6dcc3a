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

// maxBodyBytes limits the body of every request, also that of a settings subtree.
const maxBodyBytes = 1 << 20

// Admin is the HTTP server for operators.
type Admin struct {
	*listen.Server
	keys    []tree.Key
	control io.Control
	broker  *broker.Broker
	clock   core.Clock
	log     *slog.Logger
}

// New returns an Admin that accepts the given operator keys.
func New(address string, keys []tree.Key, tlsConfig *tls.Config, c io.Control, b *broker.Broker, clock core.Clock, log *slog.Logger) *Admin {
	a := &Admin{keys: keys, control: c, broker: b, clock: clock, log: log}
	o := listen.Options{Name: "operators", Address: address, Tls: tlsConfig, HeaderTimeout: core.Second}
	a.Server = listen.New(o, a.routes(), log)
	return a
}

// routes registers the handlers.
func (a *Admin) routes() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, f func(author string, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, f) })
	}
	handle("GET /v1/status", a.getStatus)
	handle("GET /v1/hosts", a.listHosts)
	handle("GET /v1/endpoints", a.listEndpoints)
	handle("GET /v1/pools", a.listPools)
	handle("GET /v1/decisions/{request}", a.listDecisions)
	handle("GET /v1/settings", a.listSettings)
	handle("GET /v1/settings/{path...}", a.getSettings)
	handle("PUT /v1/settings/{path...}", a.setSettings)
	handle("DELETE /v1/settings/{path...}", a.setSettings)
	handle("GET /v1/history/{path...}", a.listHistory)
	handle("GET /v1/wait/{revision}", a.waitForRevision)
	handle("PUT /v1/drains/{endpoint}", a.setDrain)
	handle("DELETE /v1/drains/{endpoint}", a.setDrain)
	handle("GET /v1/evacuated", a.listEvacuations)
	handle("PUT /v1/evacuated/{domain}", a.setEvacuation)
	handle("DELETE /v1/evacuated/{domain}", a.setEvacuation)
	handle("GET /v1/quarantine", a.listSuspects)
	handle("DELETE /v1/quarantine/{content}", a.releaseFromQuarantine)
	handle("GET /v1/orders", a.listOrders)
	handle("POST /v1/orders", a.placeOrder)
	handle("GET /v1/calls/{organisation}/{key}", a.getCall)
	return mux
}

// statusError is an error that determines the HTTP status of the response.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }

func (e *statusError) Unwrap() error { return e.err }

// badRequest returns an error with HTTP status 400.
func badRequest(format string, args ...any) error {
	return &statusError{status: http.StatusBadRequest, err: fmt.Errorf(format, args...)}
}

// serve authenticates the operator, calls the handler, and writes its result or error as JSON.
func (a *Admin) serve(w http.ResponseWriter, r *http.Request, f func(string, *http.Request) (any, error)) {
	author, ok := a.authenticate(r.Header.Get("Authorization"))
	if !ok {
		a.writeJSON(w, http.StatusUnauthorized, errorBody{Error: "the operator's key is not known"})
		return
	}
	r.Body = listen.MaxBytesReader(w, r.Body, maxBodyBytes)
	value, err := f(author, r)
	var withStatus *statusError
	switch {
	case err == nil:
		a.writeJSON(w, http.StatusOK, value)
	case errors.As(err, &withStatus):
		a.writeJSON(w, withStatus.status, errorBody{Error: err.Error()})
	case errors.Is(err, io.ErrNoQuorum):
		a.writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: err.Error()})
	default:
		a.writeJSON(w, http.StatusInternalServerError, errorBody{Error: err.Error()})
	}
}

// errorBody is the JSON body of an error response.
type errorBody struct{ Error string }

func (a *Admin) writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		// The status has already been sent, so the error can only be logged. Usually the operator has disconnected.
		a.log.Debug("cannot write the response to an operator", "err", err)
	}
}

// authenticate returns the name of the operator key in the Authorization header, or false if the key is unknown.
func (a *Admin) authenticate(authorization string) (string, bool) {
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
