package dial

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"cyclamenford/core"
	"cyclamenford/io/trace"
)

const (
	connectTimeout     = 400 * time.Millisecond
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

// ErrWrongAttempt reports a response with the request or attempt ID of another attempt.
var ErrWrongAttempt = errors.New("the answer belongs to another attempt")

// ErrTooLarge reports a response longer than MaxAnswerBytes.
var ErrTooLarge = errors.New("the answer is too large")

// Client sends runs, orders, probes and cancellations to endpoints.
type Client struct {
	tracer  *trace.Tracer
	dialer  *net.Dialer
	onState StateHandler
	permit  PermitFunc
	scheme  string
	// pooled reuses connections. unpooled opens a new connection for each call, because net/http may resend a request
	// automatically when a reused connection fails.
	pooled   *http.Client
	unpooled *http.Client
}

// New returns a Client. It binds connections to the local IP from, or to any if from is nil. It uses plain HTTP if
// tlsConfig is nil. The client calls onState with what endpoints report about themselves in their responses, and asks permit
// before each call other than a run, unless it is nil.
func New(tlsConfig *tls.Config, from net.IP, tracer *trace.Tracer, onState StateHandler, permit PermitFunc) *Client {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	d := &net.Dialer{Timeout: connectTimeout, LocalAddr: &net.TCPAddr{IP: from}}
	return &Client{
		dialer: d, tracer: tracer, onState: onState, permit: permit, scheme: scheme,
		pooled:   &http.Client{Transport: transport(tlsConfig, d, false)},
		unpooled: &http.Client{Transport: transport(tlsConfig, d, true)},
	}
}

// transport returns the HTTP transport for reused connections, or for one connection per call if unpooled is true.
func transport(tlsConfig *tls.Config, d *net.Dialer, unpooled bool) *http.Transport {
	return &http.Transport{
		DialContext: d.DialContext, TLSClientConfig: tlsConfig, DisableKeepAlives: unpooled,
		MaxIdleConnsPerHost: maxIdlePerEndpoint, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// attemptHeader names the attempt that a response answers.
const attemptHeader = "Attempt-Id"

// Call runs work whose answer is not streamed. Only repeatable work uses a reused connection.
func (c *Client) Call(ctx context.Context, target core.Target, run Run, repeatable bool) (Result, error) {
	client := c.unpooled
	if repeatable {
		client = c.pooled
	}
	sentAt := time.Now()
	resp, connected, err := c.postRun(ctx, client, target, run)
	if err != nil {
		return Result{}, transportError(err, connected)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return Result{}, &Error{Outcome: core.Unknown, Reason: core.ReasonConnectionLost, ConnectionLost: true, Err: err}
	}
	if len(raw) > MaxAnswerBytes {
		return Result{}, &Error{Outcome: core.Failed, Reason: core.ReasonBadAnswer, Err: ErrTooLarge}
	}
	r, err := parseResult(raw, run)
	if err == nil {
		c.reportState(target, sentAt, resp)
	}
	return r, err
}

// parseResult decodes a result and checks that it belongs to the attempt.
func parseResult(raw []byte, run Run) (Result, error) {
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return Result{}, &Error{Outcome: core.Failed, Reason: core.ReasonBadAnswer, Err: fmt.Errorf("decode answer: %w", err)}
	}
	if r.AttemptID != run.AttemptID || r.RequestID != run.RequestID {
		return Result{}, &Error{Outcome: core.Unknown, Reason: core.ReasonBadAnswer, Err: ErrWrongAttempt}
	}
	return r, nil
}

// postRun sends the work and returns the response if the endpoint accepted it. The second result reports whether the
// connection was established, so that data may have been sent.
func (c *Client) postRun(ctx context.Context, client *http.Client, target core.Target, run Run) (*http.Response, bool, error) {
	body, err := json.Marshal(run)
	if err != nil {
		return nil, false, fmt.Errorf("encode run: %w", err)
	}
	var connected, reused atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(i.Reused)
		},
	})
	req, err := http.NewRequestWithContext(traceCtx, http.MethodPost, c.url(target.Address, "/v1/run"), bytes.NewReader(body))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	c.tracer.Inject(ctx, req.Header)
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return nil, connected.Load(), err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, true, nil
	}
	defer resp.Body.Close()
	c.reportState(target, sentAt, resp)
	// On a reused connection a refusal that names no attempt may be that of an earlier one, sent once more.
	if named := resp.Header.Get(attemptHeader); named != string(run.AttemptID) && (named != "" || reused.Load()) {
		return nil, true, &Error{Outcome: core.Unknown, Reason: core.ReasonBadAnswer, Err: ErrWrongAttempt}
	}
	return nil, true, refusalError(resp)
}

// refusalError converts an error response of an endpoint into an Error.
func refusalError(resp *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes))
	if err != nil {
		return &Error{Outcome: core.Unknown, Reason: core.ReasonConnectionLost, ConnectionLost: true, Err: err}
	}
	var r Refusal
	if err := json.Unmarshal(raw, &r); err != nil || r.Outcome == "" {
		return &Error{Outcome: core.Failed, Reason: core.ReasonBadAnswer, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	reason := core.ReasonEndpointFailed
	if r.Outcome == core.NotRun {
		reason = core.ReasonEndpointRefused
	}
	return &Error{Outcome: r.Outcome, Reason: reason, Refused: true, Err: errors.New(r.Detail)}
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
	sentAt := time.Now()
	resp, err := c.pooled.Do(req)
	if err != nil {
		return
	}
	c.reportState(target, sentAt, resp)
	_ = resp.Body.Close()
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
	sentAt := time.Now()
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return Health{}, isConnectionRefused(err), fmt.Errorf("probe %s: %w", target.Address, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxAnswerBytes)).Decode(&h); err != nil {
		return Health{}, false, fmt.Errorf("decode probe of %s: %w", target.Address, err)
	}
	if (core.Life{Endpoint: h.ID, Incarnation: h.Incarnation}) == target.Life {
		c.reportState(target, sentAt, resp)
	}
	return h, false, nil
}

// probeConnection opens a connection without a request, which shows whether the endpoint has ended.
func (c *Client) probeConnection(ctx context.Context, target core.Target) (h Health, gone bool, err error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", target.Address)
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
	c.pooled.CloseIdleConnections()
	return nil
}

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
	sentAt := time.Now()
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	c.reportState(target, sentAt, resp)
	var r Result
	if resp.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(resp.Body, MaxAnswerBytes)).Decode(&r) != nil {
		return nil, false
	}
	return r.Output, true
}
