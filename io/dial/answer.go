package dial

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"cyclamenford/core"
	"cyclamenford/core/reply"
)

var (
	// ErrWrongAttempt reports a response with the request or attempt ID of another attempt.
	ErrWrongAttempt = errors.New("the answer belongs to another attempt")
	// ErrTooLarge reports a response longer than MaxAnswerBytes.
	ErrTooLarge = errors.New("the answer is too large")

	errIncomplete = errors.New("the answer lacks a field")
	errWrongKey   = errors.New("the answer lacks the output of the key")
	errWrongFence = errors.New("the answer belongs to another order")
	errNoUTF8     = errors.New("the answer is not UTF-8")
)

// attemptHeader names the attempt that a response answers.
const attemptHeader = "Attempt-Id"

// exchange is a call to an endpoint, with the answer that it is due.
type exchange struct {
	name   string
	target core.Target
	// attempt is the attempt that the answer must belong to, empty if the call has none.
	attempt core.AttemptID
	due     reply.Kind
}

// answer is an endpoint's response to an exchange.
type answer struct {
	exchange
	*http.Response
	sentAt time.Time
	// reused is true if the connection had carried an earlier call.
	reused bool
}

// do sends a request and returns its answer if that is an error or the success that is due. The second result reports whether the
// connection was established, so that data may have been sent.
func (c *Client) do(client *http.Client, x exchange, req *http.Request) (*answer, bool, error) {
	var conn atomic.Pointer[checkedConn]
	var connected, reused atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if checked, ok := i.Conn.(*checkedConn); ok {
				// On a new connection the head may have come already, if its endpoint does not wait for the request.
				if i.Reused {
					checked.expectHead()
				}
				conn.Store(checked)
				if checked.singleUse {
					// The request is written after this, by the same goroutine.
					req.Header.Set("Connection", "close")
				}
			}
			connected.Store(true)
			reused.Store(i.Reused)
		},
	})
	sentAt := time.Now()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, connected.Load(), err
	}
	a := &answer{exchange: x, Response: resp, sentAt: sentAt, reused: reused.Load()}
	if err := cmp.Or(conn.Load().checkHead(), a.check()); err != nil {
		return nil, true, errors.Join(c.refuse(a, err), resp.Body.Close())
	}
	return a, true, nil
}

// accepted returns the answer of do if it is a success. It converts an error of the endpoint into an Error.
func (c *Client) accepted(a *answer, connected bool, err error) (*answer, bool, error) {
	if err != nil || a.StatusCode == http.StatusOK {
		return a, connected, err
	}
	defer a.Body.Close()
	c.reportState(a)
	return nil, true, c.refusalError(a)
}

// head returns what the head of an answer says of its body.
func (a *answer) head() reply.Head {
	return reply.Head{Status: a.StatusCode, Length: a.ContentLength, Types: a.Header["Content-Type"], Encodings: a.Header["Content-Encoding"]}
}

// check returns an error if the head of an answer shows that it is not due.
func (a *answer) check() error {
	if a.StatusCode < http.StatusOK || a.StatusCode/100 == 3 {
		return fmt.Errorf("%w: status %d", reply.ErrNotDue, a.StatusCode)
	}
	if err := a.due.Check(a.head()); err != nil {
		return fmt.Errorf("check head: %w", err)
	}
	if a.attempt == "" || a.names(a.attempt) || a.namesNone() && !a.mustName() {
		return nil
	}
	return ErrWrongAttempt
}

// mustName reports whether the head of an answer must name its attempt. The body of a whole answer does. On a reused connection an
// error that names none may be that of an earlier attempt, sent once more.
func (a *answer) mustName() bool {
	if a.StatusCode == http.StatusOK {
		return a.due == reply.Events
	}
	return a.reused
}

// names reports whether the head of an answer names an attempt and no other.
func (a *answer) names(attempt core.AttemptID) bool {
	named := a.Header[attemptHeader]
	return len(named) == 1 && named[0] == string(attempt)
}

// namesNone reports whether the head of an answer names no attempt.
func (a *answer) namesNone() bool {
	return len(a.Header[attemptHeader]) == 0
}

// refuse logs and counts an answer that is not the one that is due, and returns the error of its call. Such an answer does not show
// whether the work has run.
func (c *Client) refuse(a *answer, why error) error {
	c.log.Warn("endpoint sent garbage", "call", a.name, "endpoint", a.target.Endpoint, "incarnation", a.target.Incarnation,
		"attempt", a.attempt, "status", a.StatusCode, "type", a.Header["Content-Type"], "names", a.Header[attemptHeader],
		"reused", a.reused, "err", why)
	c.meter.Count("endpoint_garbage_total", 1, "call", a.name)
	return &Error{Outcome: core.Unknown, Reason: core.ReasonBadAnswer, Err: why}
}

// readJSON decodes the body of an answer, which is one JSON document, into value.
func (c *Client) readJSON(a *answer, value any) error {
	raw, err := io.ReadAll(io.LimitReader(a.Body, MaxAnswerBytes+1))
	if err != nil {
		return &Error{Outcome: core.Unknown, Reason: core.ReasonConnectionLost, ConnectionLost: true, Err: fmt.Errorf("read answer: %w", err)}
	}
	switch {
	case len(raw) > MaxAnswerBytes:
		return c.refuse(a, ErrTooLarge)
	case !utf8.Valid(raw):
		return c.refuse(a, errNoUTF8)
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return c.refuse(a, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// refusalError converts an error response of an endpoint into an Error.
func (c *Client) refusalError(a *answer) error {
	if err := reply.CheckError(a.head()); err != nil {
		return c.refuse(a, fmt.Errorf("check error: %w", err))
	}
	var r Refusal
	if err := c.readJSON(a, &r); err != nil {
		return err
	}
	switch r.Outcome {
	case core.NotRun:
		return &Error{Outcome: core.NotRun, Reason: core.ReasonEndpointRefused, Refused: true, Err: errors.New(r.Detail)}
	case core.Failed:
		return &Error{Outcome: core.Failed, Reason: core.ReasonEndpointFailed, Refused: true, Err: errors.New(r.Detail)}
	}
	return c.refuse(a, fmt.Errorf("%w: outcome %q of an error", reply.ErrNotDue, r.Outcome))
}
