package entry

import (
	"net/http"
	"strings"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/reach"
	"cyclamenford/core/reply"
	"cyclamenford/io/pipe"
)

// next is what follows the end of an attempt.
type next string

const (
	// again means that another endpoint is asked for.
	again next = "again"
	// answered means that the client has an endpoint's whole answer, and refused that it has one of the relay's own.
	answered next = "answered"
	refused  next = "refused"
	// cut means that the answer to the client has begun and ends before its end.
	cut next = "cut"
	// gone means that the client has left.
	gone next = "gone"
)

// The reasons why a grant is not used besides those of a refusal.
const (
	clientGone       core.Reason = "ClientGone"
	endpointUnusable core.Reason = "EndpointUnusable"
	notPermitted     core.Reason = "NotPermitted"
	otherPermitted   core.Reason = "OtherPermitted"
)

// attemptRecord holds what the log says of the present attempt at an endpoint.
type attemptRecord struct {
	number int
	// waited is the time from the grant until the request was sent, and took that from then to the end.
	waited, took core.Millis
	// resp is the endpoint's answer, nil if none could be read. logged means that a line of its own holds it.
	resp   *pipe.Response
	logged bool
	// err is why the answer could not be read or forwarded completely.
	err error
	// events and bytes are those that the client had before.
	events int
	bytes  int64
}

// beginAttempt counts an attempt and begins its record.
func (r *request) beginAttempt(out *answerWriter) {
	r.attempts++
	r.record = attemptRecord{
		number: r.attempts, waited: r.entry.clock.Now() - r.sending.grantedAt, events: out.events, bytes: out.bytes,
	}
}

// endUnsent records and logs the end of a grant that is not used.
func (r *request) endUnsent(g *order.Grant, how order.AttemptOutcome, why core.Reason, then next) {
	r.recordAttempt(g, how, 0)
	r.entry.log.Info("attempt ended", append(r.grantAttrs(g, r.attempts+1), "how", how, "next", then, "reason", why,
		"waited_ms", r.entry.clock.Now()-r.sending.grantedAt)...)
}

// logAttempt logs the end of the present attempt.
func (r *request) logAttempt(g *order.Grant, out *answerWriter, how order.AttemptOutcome, then next) {
	a := r.record
	attrs := append(r.grantAttrs(g, a.number), "how", how, "next", then, "waited_ms", a.waited, "took_ms", a.took)
	if r.due() == reply.Events {
		attrs = append(attrs, "events", out.events-a.events, "last_event", out.lastEvent)
	} else {
		attrs = append(attrs, "bytes", out.bytes-a.bytes)
	}
	if a.resp != nil && !a.logged {
		attrs = append(attrs, r.responseAttrs(a.resp)...)
		if r.due() != reply.Events || a.resp.Status != http.StatusOK {
			attrs = append(attrs, "type", strings.Join(a.resp.Header["Content-Type"], ", "))
		}
	}
	if a.err != nil {
		attrs = append(attrs, "err", a.err)
	}
	if a.resp != nil && a.resp.UntilClose {
		r.entry.meter.Count("answers_until_close_total", 1, "way", string(wayOf(a.resp)), "how", string(how))
	}
	r.entry.log.Info("attempt ended", attrs...)
}

// grantAttrs returns the log attributes of an attempt at a granted endpoint. The scheduler's number of the grant differs from that of the
// attempt after grants that were not used.
func (r *request) grantAttrs(g *order.Grant, attempt int) []any {
	attrs := []any{"request", r.incoming.ID, "service", r.service, "endpoint", g.Endpoint, "attempt", attempt}
	if g.Attempt != attempt {
		attrs = append(attrs, "grant", g.Attempt)
	}
	if g.Version != "" {
		attrs = append(attrs, "version", g.Version)
	}
	return attrs
}

// responseAttrs returns the log attributes of how an answer came.
func (r *request) responseAttrs(resp *pipe.Response) []any {
	attrs := []any{
		"status", resp.Status, "length", resp.Length, "reused", resp.Reused, "written", resp.Written, "request_bytes", len(r.body),
	}
	if resp.Carrier != "" {
		attrs = append(attrs, "carrier", resp.Carrier)
	}
	if resp.UntilClose {
		attrs = append(attrs, "until_close", true, "unproven", resp.Unproven)
	}
	return attrs
}

// wayOf returns the way of the connection that an answer came by.
func wayOf(resp *pipe.Response) reach.Way {
	if resp.Carrier != "" {
		return reach.Carried
	}
	return reach.Direct
}

// nextOf returns what follows the last attempt, after which the client gets the problem if there is one.
func (r *request) nextOf(out *answerWriter, p *core.Problem) next {
	switch {
	case out.finished, !out.started && r.isErrorAnswerDue(p):
		return answered
	case r.clientGone():
		return gone
	case out.started:
		return cut
	case p == nil:
		return gone
	}
	return refused
}

// isErrorAnswerDue reports whether the client gets an endpoint's error answer in the place of a problem.
func (r *request) isErrorAnswerDue(p *core.Problem) bool {
	return p != nil && p.Outcome != core.NotRun && r.errorAnswer != nil
}
