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
	eventBuffer = 4 << 10
	// leastStall, or so many times the route's aim or longest pause, is how long clients wait for the next event of a stream.
	leastStall = 2 * core.Second
	stallAims  = 4
	stallGaps  = 8
	// maxEvent bounds one event, which is held until it is whole.
	maxEvent = 256 << 10
)

// writer passes an answer to the client and remembers how far it got.
type writer struct {
	w        http.ResponseWriter
	started  bool
	finished bool
	status   int
	clock    core.Clock
	// first is when the header of the answer was passed on, 0 before.
	first core.Millis
	// last is the identifier of the last event passed on, -1 before the first.
	last int64
}

func newWriter(w http.ResponseWriter, c core.Clock) *writer { return &writer{w: w, clock: c, last: -1} }

// hop lists the headers that concern one connection only.
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (o *writer) header(status int, h http.Header) {
	dropped := slices.Clone(hop)
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		dropped = append(dropped, http.CanonicalHeaderKey(strings.TrimSpace(name)))
	}
	for name, values := range h {
		if !slices.Contains(dropped, name) {
			o.w.Header()[name] = values
		}
	}
	o.started, o.status, o.first = true, status, o.clock.Now()
	o.w.WriteHeader(status)
}

// firstAfter returns the time from an arrival to the header of the answer, -1 if there was none.
func (o *writer) firstAfter(arrived core.Millis) core.Millis {
	if !o.started {
		return -1
	}
	return o.first - arrived
}

// whole passes a whole answer on.
func (o *writer) whole(a *answer) {
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	o.header(a.status, a.header)
	// A client that has left by now is noticed at its connection.
	_, err := o.w.Write(a.body)
	o.finished = err == nil
}

// long passes on an answer of which only the beginning has been read; one that breaks off has begun and is not finished.
func (o *writer) long(a *answer, rest *pipe.Response) error {
	a.header.Del("Content-Length")
	if rest.Length >= 0 {
		a.header.Set("Content-Length", strconv.FormatInt(rest.Length, 10))
	}
	o.header(a.status, a.header)
	if _, err := o.w.Write(a.body); err != nil {
		return fmt.Errorf("pass answer on: %w", err)
	}
	n, err := io.Copy(o.w, io.LimitReader(rest, maxAnswer))
	switch {
	case err != nil:
		return fmt.Errorf("pass answer on: %w", err)
	case n == maxAnswer:
		return fmt.Errorf("%w: over %d bytes", pipe.ErrEndless, maxAnswer)
	}
	o.finished = true
	return nil
}

// stream passes events on as they come, each one whole, and says how the stream ended.
func (r *request) stream(ctx context.Context, resp *pipe.Response, out *writer) order.Ending {
	if !out.started {
		out.header(resp.Status, resp.Header)
	}
	bound := r.stallBound()
	stall := time.AfterFunc(bound.Duration(), func() {
		r.entry.log.Warn("stream stalled", "request", r.in.ID, "bound_ms", bound)
		resp.Break()
	})
	defer stall.Stop()
	flush := http.NewResponseController(out.w)
	reader := bufio.NewReaderSize(resp, eventBuffer)
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			r.entry.log.Warn("event too long", "request", r.in.ID, "bytes", len(event))
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
			return r.lost(ctx, err)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		stall.Reset(bound.Duration())
		id, numbered := eventID(event)
		if !numbered || id > out.last {
			if _, err := out.w.Write(event); err != nil {
				return order.Abandoned
			}
			if reader.Buffered() == 0 {
				if err := flush.Flush(); err != nil {
					return order.Abandoned
				}
			}
			if numbered {
				out.last = id
			}
		}
		event = event[:0]
	}
}

// stallBound is the longest time without a whole event of a stream; bytes that make no event do not count.
func (r *request) stallBound() core.Millis {
	return max(leastStall, stallAims*r.route.Aim, stallGaps*r.route.GapAim)
}

// eventID returns the number of an event, if it has one.
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
