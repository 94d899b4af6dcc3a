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
	// lastEvent is the identifier of the last event written, -1 before the first.
	lastEvent int64
}

func newAnswerWriter(w http.ResponseWriter, c core.Clock) *answerWriter {
	return &answerWriter{w: w, clock: c, lastEvent: -1}
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
// that the client has already received from an earlier attempt.
func (r *request) stream(ctx context.Context, g *order.Grant, resp *pipe.Response, out *answerWriter) order.AttemptOutcome {
	if !out.started {
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
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			r.entry.log.Warn("event too long", "request", r.incoming.ID, "bytes", len(event))
			return order.Broken
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0 {
			out.finished = true
			return order.Served
		}
		if err != nil {
			return r.classifyError(ctx, err)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		stall.Reset(timeout.Duration())
		id, numbered := eventID(event)
		if numbered {
			r.markBegun()
		}
		if !numbered || id > out.lastEvent {
			r.bind(g)
			if _, err := out.w.Write(event); err != nil {
				return order.Abandoned
			}
			if reader.Buffered() == 0 {
				if err := flush.Flush(); err != nil {
					return order.Abandoned
				}
			}
			if numbered {
				out.lastEvent = id
			}
		}
		event = event[:0]
	}
}

// stallTimeout returns the longest time that may pass without a complete event of a stream. Bytes that do not complete an
// event do not extend it.
func (r *request) stallTimeout() core.Millis {
	return max(minStallTimeout, stallAimFactor*r.route.Aim, stallGapFactor*r.route.GapAim)
}

// eventID returns the numeric identifier of an event, if it has one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
