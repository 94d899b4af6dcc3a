package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/event"
	"cyclamenford/core/order"
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
	// started means that the header was written, and finished that the whole answer was.
	started  bool
	finished bool
	status   int
	clock    core.Clock
	// headerAt is when the header of the answer was written, 0 before that.
	headerAt core.Millis
	// lastEvent is the id of the last event that the client has, event.None before the first.
	lastEvent int64
}

// newAnswerWriter returns a writer for a client that has the events of the stream up to lastEvent.
func newAnswerWriter(w http.ResponseWriter, c core.Clock, lastEvent int64) *answerWriter {
	return &answerWriter{w: w, clock: c, lastEvent: max(event.None, lastEvent)}
}

// hopByHop lists the hop-by-hop headers, which concern one connection only and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// writeHeader writes the status and the header of an endpoint's answer without its hop-by-hop headers.
func (o *answerWriter) writeHeader(status int, h http.Header) {
	dropped := slices.Clone(hopByHop)
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		dropped = append(dropped, http.CanonicalHeaderKey(strings.TrimSpace(name)))
	}
	for name, values := range h {
		if !slices.Contains(dropped, name) {
			o.w.Header()[name] = values
		}
	}
	o.started, o.status, o.headerAt = true, status, o.clock.Now()
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
	o.writeHeader(a.status, a.header)
	// A write error means that the client has closed the connection; the answer then stays unfinished.
	_, err := o.w.Write(a.body)
	o.finished = err == nil
}

// writeLong writes an answer of which only the beginning was read so far, and copies the rest of its body. If that fails,
// the answer is started and not finished.
func (o *answerWriter) writeLong(a *answer, rest *pipe.Response) error {
	a.header.Del("Content-Length")
	if rest.Length >= 0 {
		a.header.Set("Content-Length", strconv.FormatInt(rest.Length, 10))
	}
	o.writeHeader(a.status, a.header)
	if _, err := o.w.Write(a.body); err != nil {
		return fmt.Errorf("forward answer: %w", err)
	}
	n, err := io.Copy(o.w, io.LimitReader(rest, maxAnswerBytes))
	switch {
	case err != nil:
		return fmt.Errorf("forward answer: %w", err)
	case n == maxAnswerBytes:
		return fmt.Errorf("%w: over %d bytes", pipe.ErrAnswerTooLarge, maxAnswerBytes)
	}
	o.finished = true
	return nil
}

// stream forwards events as they arrive, each one once it is complete, and returns how the stream ended. It skips events
// that the client already has. Bytes that are not the next event end the attempt, and nothing of them is forwarded.
func (r *request) stream(ctx context.Context, g *order.Grant, resp *pipe.Response, out *answerWriter) order.AttemptOutcome {
	if !out.started {
		// A later attempt may go on in the same answer, so that its length is not known.
		resp.Header.Del("Content-Length")
		out.writeHeader(resp.Status, resp.Header)
	}
	timeout := r.stallTimeout()
	stall := time.AfterFunc(timeout.Duration(), func() {
		r.entry.log.Warn("stream stalled", "request", r.incoming.ID, "bound_ms", timeout)
		resp.Abort()
	})
	defer stall.Stop()
	flush := http.NewResponseController(out.w)
	reader := bufio.NewReaderSize(resp, eventBufferSize)
	grammar, ids := r.entry.dialect.EventGrammar(), event.NewOrder(out.lastEvent)
	var raw []byte
	for {
		line, err := reader.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > maxEventBytes {
			return r.recordGarbage(g, resp, out, raw, pipe.ErrAnswerTooLarge)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(raw) == 0 {
			out.finished = true
			return order.Served
		}
		if err != nil {
			return r.classifyError(ctx, err)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		id, err := grammar.Parse(raw)
		if err != nil {
			return r.recordGarbage(g, resp, out, raw, err)
		}
		next, isNew, err := ids.Next(id)
		if err != nil {
			return r.recordGarbage(g, resp, out, raw, err)
		}
		ids = next
		stall.Reset(timeout.Duration())
		r.markBegun()
		if isNew {
			r.bind(g)
			if _, err := out.w.Write(raw); err != nil {
				return order.Abandoned
			}
			if reader.Buffered() == 0 {
				if err := flush.Flush(); err != nil {
					return order.Abandoned
				}
			}
			out.lastEvent = id
		}
		raw = raw[:0]
	}
}

// recordGarbage logs and counts bytes of a stream that are not its next event, and returns the outcome of the attempt.
func (r *request) recordGarbage(g *order.Grant, resp *pipe.Response, out *answerWriter, raw []byte, why error) order.AttemptOutcome {
	r.entry.log.Warn("endpoint sent garbage", append(r.answerAttrs(g, resp),
		"after", out.lastEvent, "bytes", len(raw), "begins", strconv.Quote(string(raw[:min(len(raw), loggedGarbageBytes)])), "err", why)...)
	r.entry.meter.Count("endpoint_garbage_total", 1, "service", r.service)
	return order.Garbled
}

// stallTimeout returns the longest time that may pass without a complete event of a stream. Bytes that do not complete an
// event do not extend it.
func (r *request) stallTimeout() core.Millis {
	return max(minStallTimeout, stallAimFactor*r.route.Aim, stallGapFactor*r.route.GapAim)
}
