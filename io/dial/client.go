package dial

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/reply"
	"cyclamenford/io/meter"
	"cyclamenford/io/trace"
)

const (
	maxIdlePerEndpoint = 64
	idleTimeout        = 30 * time.Second
	controlTimeout     = 2 * time.Second
	probeTimeout       = 300 * time.Millisecond
	// maxHeaderBytes limits the headers of a response, including those of preceding informational (1xx) responses.
	maxHeaderBytes = 64 << 10
	// MaxAnswerBytes limits the body of a response that is not streamed.
	MaxAnswerBytes = 4 << 20
)

// Error describes a failed call to an endpoint and whether the endpoint may have run the work.
type Error struct {
	// Outcome is NotRun only with proof that the work did not run: nothing was sent, or the endpoint rejected the call
	// before running it.
	Outcome core.Outcome
	Reason  core.Reason
	// Refused is true if the endpoint answered with an error.
	Refused bool
	// ConnectionLost is true if the connection failed after the request may have been sent.
	ConnectionLost bool
	Err            error
}

// Error formats the outcome, the reason and the underlying error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Outcome, e.Reason, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// Client sends runs, orders, probes and cancellations to endpoints.
type Client struct {
	tracer  *trace.Tracer
	connect ConnectFunc
	onState StateHandler
	permit  PermitFunc
	scheme  string
	meter   *meter.Meter
	log     *slog.Logger
	// pooled reuses connections. unpooled opens a new connection for each call, because net/http may resend a request
	// automatically when a reused connection fails.
	pooled   *http.Client
	unpooled *http.Client
}

// ConnectFunc opens a TCP connection to an endpoint. Its errors wrap syscall.ECONNREFUSED only if no process listens at the address.
type ConnectFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a Client that opens its connections by connect, or directly if that is nil. It uses plain HTTP if tlsConfig is nil. The client calls onState with what endpoints report about themselves in their responses, and asks permit
// before each call other than a run, unless it is nil.
func New(tlsConfig *tls.Config, connect ConnectFunc, tracer *trace.Tracer, onState StateHandler, permit PermitFunc, m *meter.Meter, log *slog.Logger) *Client {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	if connect == nil {
		connect = new(net.Dialer).DialContext
	}
	return &Client{
		connect: connect, tracer: tracer, onState: onState, permit: permit, scheme: scheme, meter: m, log: log,
		pooled:   httpClient(transport(tlsConfig, connect, false)),
		unpooled: httpClient(transport(tlsConfig, connect, true)),
	}
}

// httpClient returns a client that does not follow redirects: an endpoint's answer does not decide where its work runs.
func httpClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// transport returns the HTTP transport for reused connections, or for one connection per call if unpooled is true.
func transport(tlsConfig *tls.Config, connect ConnectFunc, unpooled bool) *http.Transport {
	t := &http.Transport{
		DialContext: dialPlain(connect), DisableKeepAlives: unpooled,
		MaxIdleConnsPerHost: maxIdlePerEndpoint, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression: true,
	}
	if tlsConfig != nil {
		t.DialTLSContext = dialTLS(connect, tlsConfig)
	}
	return t
}

// Call runs work whose answer is not streamed. Only repeatable work uses a reused connection.
func (c *Client) Call(ctx context.Context, target core.Target, run Run, repeatable bool) (Result, error) {
	client := c.unpooled
	if repeatable {
		client = c.pooled
	}
	a, connected, err := c.postRun(ctx, client, exchange{name: "Run", target: target, attempt: run.AttemptID, due: reply.JSON}, run)
	if err != nil {
		return Result{}, transportError(err, connected)
	}
	defer a.Body.Close()
	var r Result
	if err := c.readJSON(a, &r); err != nil {
		return Result{}, err
	}
	if r.AttemptID != run.AttemptID || r.RequestID != run.RequestID {
		return Result{}, c.refuse(a, ErrWrongAttempt)
	}
	if r.Output == nil {
		return Result{}, c.refuse(a, errIncomplete)
	}
	c.reportState(a)
	return r, nil
}

// postRun sends the work and returns the answer if the endpoint accepted it. The second result reports whether the
// connection was established, so that data may have been sent.
func (c *Client) postRun(ctx context.Context, client *http.Client, x exchange, run Run) (*answer, bool, error) {
	body, err := json.Marshal(run)
	if err != nil {
		return nil, false, fmt.Errorf("encode run: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(x.target.Address, "/v1/run"), bytes.NewReader(body))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	c.tracer.Inject(ctx, req.Header)
	return c.accepted(c.do(client, x, req))
}

// transportError converts a transport error into an Error. Its outcome is NotRun only if no connection was established.
func transportError(err error, connected bool) error {
	var dialErr *Error
	if errors.As(err, &dialErr) {
		return dialErr
	}
	if !connected {
		return &Error{Outcome: core.NotRun, Reason: core.ReasonConnectionLost, Err: err}
	}
	return &Error{Outcome: core.Unknown, Reason: core.ReasonConnectionLost, ConnectionLost: true, Err: err}
}

// Cancel asks an endpoint to stop an attempt. It is a best-effort call whose errors are ignored.
func (c *Client) Cancel(target core.Target, attempt core.AttemptID) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if !c.permitted(ctx, target, 0) {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(target.Address, "/v1/cancel/"+string(attempt)), nil)
	if err != nil {
		return
	}
	a, _, err := c.do(c.pooled, exchange{name: "Cancel", target: target, due: reply.Body}, req)
	if err != nil {
		return
	}
	if a.names(attempt) || !a.reused && a.namesNone() {
		c.reportState(a)
	}
	_ = a.Body.Close()
}

// Probe queries the ID and incarnation of the endpoint at an address. gone is true if the address refuses connections.
func (c *Client) Probe(ctx context.Context, target core.Target) (h Health, gone bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !c.permitted(ctx, target, 0) {
		return c.probeConnection(ctx, target)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(target.Address, "/healthz"), nil)
	if err != nil {
		return Health{}, false, fmt.Errorf("make probe: %w", err)
	}
	a, _, err := c.do(c.unpooled, exchange{name: "Probe", target: target, due: reply.JSON}, req)
	if err != nil {
		return Health{}, isConnectionRefused(err), fmt.Errorf("probe %s: %w", target.Address, err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return Health{}, false, fmt.Errorf("probe %s: status %d", target.Address, a.StatusCode)
	}
	if err := c.readJSON(a, &h); err != nil {
		return Health{}, false, fmt.Errorf("read probe of %s: %w", target.Address, err)
	}
	if h.ID == "" || h.Incarnation == 0 {
		return Health{}, false, fmt.Errorf("probe %s: %w", target.Address, c.refuse(a, errIncomplete))
	}
	if (core.Life{Endpoint: h.ID, Incarnation: h.Incarnation}) == target.Life {
		c.reportState(a)
	}
	return h, false, nil
}

// probeConnection opens a connection without a request, which shows whether the endpoint has ended.
func (c *Client) probeConnection(ctx context.Context, target core.Target) (h Health, gone bool, err error) {
	conn, err := c.connect(ctx, "tcp", target.Address)
	if err != nil {
		return Health{}, isConnectionRefused(err), fmt.Errorf("probe %s: %w", target.Address, err)
	}
	return Health{}, false, errors.Join(fmt.Errorf("probe %s: %w", target.Address, ErrNoPermit), conn.Close())
}

func (c *Client) url(address, path string) string {
	return c.scheme + "://" + address + path
}

// Start does nothing: connections are opened on demand.
func (c *Client) Start(context.Context) error {
	return nil
}

// Stop closes idle connections.
func (c *Client) Stop(context.Context) error {
	c.CloseIdle()
	return nil
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

// FetchOutput asks an endpoint for the output of a call by its idempotency key. It returns false if the endpoint did not run
// the call or did not answer.
func (c *Client) FetchOutput(ctx context.Context, target core.Target, key string) ([]byte, bool) {
	if !c.permitted(ctx, target, fetchPermitWait) {
		return nil, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(target.Address, "/v1/calls?Key="+url.QueryEscape(key)), nil)
	if err != nil {
		return nil, false
	}
	a, _, err := c.accepted(c.do(c.unpooled, exchange{name: "FetchOutput", target: target, due: reply.JSON}, req))
	if err != nil {
		c.log.Info("output not fetched", "endpoint", target.Endpoint, "key", key, "err", err)
		return nil, false
	}
	defer a.Body.Close()
	output, err := c.readOutput(a, key)
	if err != nil {
		c.log.Info("output not fetched", "endpoint", target.Endpoint, "key", key, "err", err)
		return nil, false
	}
	c.reportState(a)
	return output, true
}

// readOutput returns the output of the call with the given key from an answer.
func (c *Client) readOutput(a *answer, key string) ([]byte, error) {
	var r CallOutput
	if err := c.readJSON(a, &r); err != nil {
		return nil, err
	}
	if r.Key != key || r.Output == nil {
		return nil, c.refuse(a, errWrongKey)
	}
	return r.Output, nil
}
