package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/event"
	"cyclamenford/core/order"
	"cyclamenford/io/buffer"
	"cyclamenford/io/pipe"
)

const (
	eventBufferSize = 4 << 10
	// A stream counts as stalled after the longest of three times without a complete event: minStallTimeout,
	// stallAimFactor times the route's latency target, and stallGapFactor times its target for the gap between events.
	minStallTimeout = 2 * core.Second
	stallAimFactor  = 4
	stallGapFactor  = 8
	// maxEventBytes limits one event, which is buffered until it is complete.
	maxEventBytes = 256 << 10
	// loggedGarbageBytes limits what is logged of bytes that are not an event.
	loggedGarbageBytes = 64
)

// answerWriter writes an answer to the client and records how much of it has been written.
type answerWriter struct {
	w http.ResponseWriter
	// buffer holds what the client has not read, nil if nothing is buffered.
	buffer *buffer.Answer
	// started means that the header was written, and finished that the whole answer was.
	started  bool
	finished bool
	status   int
	clock    core.Clock
	// headerAt is when the header of the answer was written, 0 before that.
	headerAt core.Millis
	// lastEvent is the id of the last event that the client has, event.None before the first.
	lastEvent int64
	// answeredBy is the endpoint whose header the client has got.
	answeredBy core.EndpointID
	// events and bytes are what the client has got of endpoints' answers here.
	events int
	bytes  int64
}

// newAnswerWriter returns a writer for a client that has the events of the stream up to lastEvent.
func newAnswerWriter(w http.ResponseWriter, c core.Clock, lastEvent int64) *answerWriter {
	return &answerWriter{w: w, clock: c, lastEvent: max(event.None, lastEvent)}
}

// hopByHop lists the hop-by-hop headers, which are not forwarded. Those that Connection names were removed before the answer was checked.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// writeHeader writes the status and the header of an endpoint's answer without its hop-by-hop headers.
func (o *answerWriter) writeHeader(from core.EndpointID, status int, h http.Header) {
	for name, values := range h {
		if !slices.Contains(hopByHop, name) {
			o.w.Header()[name] = values
		}
	}
	o.started, o.status, o.headerAt, o.answeredBy = true, status, o.clock.Now(), from
	o.w.WriteHeader(status)
}

// headerDelay returns the time from a request's arrival until the header of the answer was written, or -1 if none was
// written.
func (o *answerWriter) headerDelay(arrived core.Millis) core.Millis {
	if !o.started {
		return -1
	}
	return o.headerAt - arrived
}

// writeBuffered writes an answer whose body was read completely.
func (o *answerWriter) writeBuffered(a *answer) {
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	o.writeHeader(a.from, a.status, a.header)
	// A write error means that the client has closed the connection; the answer then stays unfinished.
	n, err := o.w.Write(a.body)
	o.bytes += int64(n)
	o.finished = err == nil
}

// writeLong writes an answer of which only the beginning was read so far, and copies the rest of its body. If that fails,
// the answer is started and not finished.
func (o *answerWriter) writeLong(a *answer, rest *pipe.Response) error {
	a.header.Del("Content-Length")
	if rest.Length >= 0 {
		a.header.Set("Content-Length", strconv.FormatInt(rest.Length, 10))
	}
	o.writeHeader(a.from, a.status, a.header)
	began, err := o.w.Write(a.body)
	o.bytes += int64(began)
	if err != nil {
		return fmt.Errorf("forward answer: %w", err)
	}
	n, err := io.Copy(o.w, io.LimitReader(rest, maxAnswerBytes))
	o.bytes += n
	switch {
	case err != nil:
		return fmt.Errorf("forward answer: %w", err)
	case n == maxAnswerBytes:
		return fmt.Errorf("%w: over %d bytes", pipe.ErrAnswerTooLarge, maxAnswerBytes)
	}
	o.finished = true
	return nil
}

var (
	// errNoEvents means that a new stream has ended without an event.
	errNoEvents = errors.New("the stream ended without an event")
	// errBehind means that a stream has ended before an event that the client has.
	errBehind = errors.New("the stream ended before an event that the client has")
)

// stream forwards the events that the client lacks, each one as soon as it is complete, and returns how the stream ended. At bytes that
// are not the next event the attempt ends, and nothing of them is forwarded.
func (r *request) stream(ctx context.Context, g *order.Grant, resp *pipe.Response, out *answerWriter) order.AttemptOutcome {
	timeout := r.stallTimeout()
	stall := time.AfterFunc(timeout.Duration(), func() {
		r.entry.log.Warn("stream stalled", "request", r.incoming.ID, "endpoint", g.Endpoint, "bound_ms", timeout)
		resp.Abort()
	})
	defer stall.Stop()
	grammar, ids := r.entry.dialect.EventGrammar(), event.NewOrder(out.lastEvent)
	var raw []byte
	held := r.entry.buffers.Fixed()
	defer held.Set(0)
	part := make([]byte, eventBufferSize)
	for {
		n, readErr := resp.Read(part)
		raw = append(raw, part[:n]...)
		held.Set(len(raw))
		if readErr == nil && len(raw) > eventBufferSize && len(raw) <= maxEventBytes && !event.MayEnd(raw, len(raw)-n) {
			// A long event in small parts is not parsed anew with each of them.
			continue
		}
		batch, err := ids.Parse(grammar, raw)
		ids = batch.Order
		if batch.Events > 0 {
			stall.Reset(timeout.Duration())
			r.markBegun()
		}
		if len(batch.New) > 0 {
			r.bind(g)
			if err := out.writeEvents(g.Endpoint, resp, batch, ids.Received()); err != nil {
				r.record.err = err
				return order.Abandoned
			}
		}
		switch {
		case err != nil:
			return r.recordGarbage(g, resp, out, batch.Rest, err)
		case len(batch.Rest) > maxEventBytes:
			return r.recordGarbage(g, resp, out, batch.Rest, pipe.ErrAnswerTooLarge)
		case errors.Is(readErr, io.EOF) && len(batch.Rest) == 0 && !out.started && !r.takesUp():
			return r.recordGarbage(g, resp, out, nil, errNoEvents)
		case errors.Is(readErr, io.EOF) && len(batch.Rest) == 0 && ids.IsBehind():
			return r.recordGarbage(g, resp, out, nil, errBehind)
		case errors.Is(readErr, io.EOF) && len(batch.Rest) == 0:
			out.startStream(g.Endpoint, resp)
			out.finished = true
			return order.Served
		case readErr != nil:
			return r.breakOff(ctx, fmt.Errorf("read events, %d bytes into the next one: %w", len(batch.Rest), readErr))
		}
		raw = append(raw[:0], batch.Rest...)
	}
}

// startStream writes the header of a stream, unless an earlier attempt has.
func (o *answerWriter) startStream(from core.EndpointID, resp *pipe.Response) {
	if o.started {
		return
	}
	// A later attempt may go on in the same answer, so that its length is not known.
	resp.Header.Del("Content-Length")
	o.writeHeader(from, resp.Status, resp.Header)
}

// writeEvents writes the new events of a batch, the last of which has the given id. They leave the HTTP server's buffers at once: an
// answer that is cut later would lose a part of them.
func (o *answerWriter) writeEvents(from core.EndpointID, resp *pipe.Response, b event.Batch, last int64) error {
	o.startStream(from, resp)
	if _, err := o.w.Write(b.New); err != nil {
		return fmt.Errorf("write events: %w", err)
	}
	if err := http.NewResponseController(o.w).Flush(); err != nil {
		return fmt.Errorf("flush events: %w", err)
	}
	o.buffer.Mark()
	if err := o.buffer.Err(); err != nil {
		// The client goes on after the last whole event that it has got; these are not counted as forwarded.
		return fmt.Errorf("write events: %w", err)
	}
	o.lastEvent, o.events, o.bytes = last, o.events+b.Added, o.bytes+int64(len(b.New))
	return nil
}

// recordGarbage logs and counts an answer that is not the one that is due, or bytes of a stream that are not its next event, and returns
// the outcome of the attempt. The connection is not used again.
func (r *request) recordGarbage(g *order.Grant, resp *pipe.Response, out *answerWriter, raw []byte, why error) order.AttemptOutcome {
	resp.EndConnection()
	r.record.logged = true
	r.entry.log.Warn("endpoint sent garbage", append(append(r.grantAttrs(g, r.attempts), r.responseAttrs(resp)...),
		"after", out.lastEvent, "bytes", len(raw), "begins", strconv.Quote(string(raw[:min(len(raw), loggedGarbageBytes)])), "err", why)...)
	r.entry.meter.Count("endpoint_garbage_total", 1, "service", r.service)
	return order.Garbled
}

// stallTimeout returns the longest time that may pass without a complete event of a stream. Bytes that do not complete an
// event do not extend it.
func (r *request) stallTimeout() core.Millis {
	return max(minStallTimeout, stallAimFactor*r.route.Aim, stallGapFactor*r.route.GapAim)
}
