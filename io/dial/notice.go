package dial

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/core/notice"
	"cyclamenford/io/pause"
)

// The response headers in which an endpoint reports that it is leaving or pausing, or names a limit.
const (
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
	headerLimit      = "Server-Limit"
)

const (
	// fetchPermitWait and resumePermitWait are how long these calls wait for a permit of an endpoint that names a limit. Other
	// calls than runs are sent only if a permit is free.
	fetchPermitWait  = core.Second
	resumePermitWait = core.Second
)

// ErrNoPermit reports that a call was not sent because the limit that its endpoint names does not allow it now.
var ErrNoPermit = errors.New("the endpoint's limit allows no further request now")

// EndpointState is what the headers of one response report about its endpoint.
type EndpointState struct {
	Notice notice.Notice
	Limit  limit.Statement
	// SentAge is the time since the request was sent.
	SentAge core.Millis
	// HeaderError is the error of a header that could not be parsed and was ignored, otherwise nil.
	HeaderError error
}

// StateHandler handles what a response reports about an incarnation of an endpoint.
type StateHandler func(l core.Life, s EndpointState)

// PermitFunc waits up to the given time for the permit to send a request to an incarnation of an endpoint, and reports whether
// it may be sent.
type PermitFunc func(ctx context.Context, l core.Life, wait core.Millis) bool

// reportState passes what an answer reports about its endpoint to the handler. It must only be called once the answer is known to
// be that of its call.
func (c *Client) reportState(a *answer) {
	s := EndpointState{
		Notice: notice.Notice{Leaving: a.Header.Get(headerLeaving) == "1"},
		// Rounded up, so that the request does not seem to be newer than it is.
		SentAge: core.Millis(time.Since(a.sentAt).Milliseconds()) + 1,
	}
	if text := a.Header.Get(headerRetryAfter); text != "" && a.StatusCode == http.StatusServiceUnavailable {
		s.Notice.Pause, s.HeaderError = pause.ParseRetryAfter(text, a.Header.Get("Date"))
	}
	stated, err := limit.Parse(headerLimit, a.Header[headerLimit])
	s.Limit = stated
	s.HeaderError = errors.Join(s.HeaderError, err)
	c.onState(a.target.Life, s)
}

// permitted reports whether a call other than a run may be sent. Whoever starts a run takes its permit before.
func (c *Client) permitted(ctx context.Context, target core.Target, wait core.Millis) bool {
	return c.permit == nil || c.permit(ctx, target.Life, wait)
}
