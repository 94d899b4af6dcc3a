package pipe

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/reply"
	"cyclamenford/io/sock"
)

// ErrStrayAnswers means that the connection delivered more late answers to other requests than the client skips.
var ErrStrayAnswers = errors.New("the connection delivered too many answers to other requests")

// ErrOldProtocol means that an endpoint answered by a version of HTTP before 1.1.
var ErrOldProtocol = errors.New("the answer is not HTTP/1.1")

// ErrNoStatus means that an endpoint answered with a status that HTTP does not have.
var ErrNoStatus = errors.New("the status is none of HTTP")

// Response is an endpoint's answer. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if the header does not say.
	Length int64
	// Reused means that the connection had carried an earlier request, and Written that the request was written completely before the
	// header of the answer had been read.
	Reused, Written bool
	// Carrier is the host that carries the connection, empty if it is direct.
	Carrier string
	// UntilClose means that the body has neither a length nor chunks and ends with its connection, and Unproven that this connection ended
	// without a proof that the answer is whole.
	UntilClose, Unproven bool
	// OnRead, if not nil, is called with the number of bytes of each read of the body.
	OnRead func(n int)
	body   io.ReadCloser
	client *Client
	conn   *conn
	// writeEnd gets the result of writing the request, and writeKnown means that it was taken from there.
	writeEnd   chan error
	writeKnown bool
	// unwatchContext ends the watch that closes the connection when the request's context ends.
	unwatchContext func() bool
	// readToEnd means that the body was read to its end, and reusable that the connection may then serve another
	// request.
	readToEnd bool
	reusable  bool
	// failure is the first error of a read other than io.EOF, and the result of all further ones: the system reports a reset only once.
	failure error
	// heads looks for other answers in a body that ends with its connection, nil if none can be told from it.
	heads *headFinder
	// ended is set by the first call of Abort or Close, which decides what becomes of the connection.
	ended atomic.Bool
}

// Do sends a request and returns as soon as the header of its answer was read.
//
// If the error wraps ErrNotSent, the endpoint has read nothing of the request. The connection is closed when ctx ends.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	x, err := c.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	raw := encodeRequest(r)
	if r.SendBy > 0 && c.options.Clock.Now() > r.SendBy {
		c.release(x)
		return nil, ErrSentTooLate
	}
	unwatch := context.AfterFunc(ctx, func() { c.discard(x) })
	x.recordCarried(r)
	written := make(chan error, 1)
	if len(raw) <= maxDirectWrite {
		_, err := x.Write(raw)
		written <- err
	} else {
		// An endpoint may answer before it has read a long body.
		go func() {
			_, err := x.Write(raw)
			written <- err
		}()
	}
	resp, err := c.readAnswer(x, r)
	if err != nil {
		unwatch()
		c.discard(x)
		return nil, fmt.Errorf("read answer: %w", errors.Join(err, ctx.Err()))
	}
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Reused: x.used, Carrier: x.carrier, body: resp.Body, client: c, conn: x, unwatchContext: unwatch, writeEnd: written,
		UntilClose: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody,
	}
	if out.UntilClose {
		out.heads = x.newHeadFinder(r)
	}
	x.used = true
	// If the request is not written completely, the endpoint would read the rest of its body as the next request.
	out.reusable = out.isWritten() && !resp.Close
	x.idleLimit = idleLimitFrom(resp.Header)
	return out, nil
}

// encodeRequest returns the bytes of the request as HTTP/1.1.
func encodeRequest(r Request) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + readBufferSize)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Writing to a buffer cannot fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodDelete && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readAnswer returns the answer to the request. It skips interim answers and late answers to earlier requests.
func (c *Client) readAnswer(x *conn, r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	x.limit.remaining = maxHeadBytes
	x.limit.expectHead(x.reader)
	for strayCount, interimCount := 0, 0; strayCount <= maxStrayAnswers; {
		resp, err := http.ReadResponse(x.reader, request)
		if err := cmp.Or(x.limit.heads.Err(), err); err != nil {
			return nil, err
		}
		if !resp.ProtoAtLeast(1, 1) {
			// net/http ignores the framing of such an answer if it comes in chunks.
			return nil, fmt.Errorf("%w: %s", ErrOldProtocol, resp.Proto)
		}
		if resp.StatusCode < http.StatusContinue {
			// Unlike an interim answer it may have a body, which would be read as the next head.
			return nil, fmt.Errorf("%w: %d", ErrNoStatus, resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			if interimCount++; interimCount > maxInterimAnswers {
				return nil, fmt.Errorf("%w: too many interim answers", ErrAnswerTooLarge)
			}
			continue
		}
		dropConnectionHeaders(resp.Header)
		if x.isAnswer(r, resp) {
			x.limit.remaining = noLimit
			return resp, nil
		}
		x.limit.remaining = maxStrayBytes
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		x.limit.remaining = maxHeadBytes
		x.limit.expectHead(x.reader)
		strayCount++
	}
	return nil, ErrStrayAnswers
}

// dropConnectionHeaders removes the headers that the header Connection names, which are not forwarded, so that an answer is judged by the
// headers that its client gets. Keep-Alive is for this end of the connection.
func dropConnectionHeaders(h http.Header) {
	for _, name := range strings.Split(strings.Join(h["Connection"], ","), ",") {
		if name = strings.TrimSpace(name); !strings.EqualFold(name, "Keep-Alive") {
			h.Del(name)
		}
	}
}

// isAnswer reports whether a response on the connection answers the request that was sent last.
func (x *conn) isAnswer(r Request, resp *http.Response) bool {
	if r.IsAnswer == nil {
		return true
	}
	if r.NamesNone != nil && r.NamesNone(resp) {
		return !x.named
	}
	if !r.IsAnswer(resp) {
		return false
	}
	x.named = true
	return true
}

// idleLimitFrom returns how long the connection may stay idle according to the endpoint's Keep-Alive header.
func idleLimitFrom(h http.Header) core.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(maxIdle, max(0, core.Millis(seconds)*core.Second-idleMargin))
		}
	}
	return maxIdle
}

// Head returns what the head of the answer says of its body.
func (r *Response) Head() reply.Head {
	return reply.Head{Status: r.Status, Length: r.Length, Types: r.Header["Content-Type"], Encodings: r.Header["Content-Encoding"]}
}

// Read reads from the body.
func (r *Response) Read(p []byte) (int, error) {
	if r.failure != nil {
		return 0, r.failure
	}
	n, err := r.body.Read(p)
	if r.OnRead != nil {
		r.OnRead(n)
	}
	switch {
	case r.heads != nil && r.heads.add(p[:n]):
		r.failure = ErrJoinedAnswers
		return 0, r.failure
	case err == nil:
	case !errors.Is(err, io.EOF):
		r.Unproven = r.UntilClose && errors.Is(err, io.ErrUnexpectedEOF)
		r.failure = err
	case r.UntilClose && !(r.endWriting() && sock.EndedInOrder(r.conn.Conn)):
		// A reset of the connection is reported once, to the writer or to the reader: the other one sees an orderly end.
		r.Unproven = true
		r.failure = fmt.Errorf("%w: the connection ended before the endpoint had received the request", io.ErrUnexpectedEOF)
		err = r.failure
	default:
		r.readToEnd = true
	}
	return n, err
}

// isWritten reports whether the request is known to have been written completely.
func (r *Response) isWritten() bool {
	select {
	case err := <-r.writeEnd:
		r.Written, r.writeKnown = err == nil, true
	default:
	}
	return r.Written
}

// endWriting ends the writing of the request, if it is still in progress, and reports whether all of it had been written.
func (r *Response) endWriting() bool {
	if r.isWritten() || r.writeKnown {
		return r.Written
	}
	// A write that the endpoint does not take any more would not end. The connection is not used again.
	_ = r.conn.SetWriteDeadline(time.Unix(1, 0))
	r.Written, r.writeKnown = <-r.writeEnd == nil, true
	return r.Written
}

// ReadAll returns the whole body, or an error if the connection broke or the body is longer than limit.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	raw, whole, err := r.ReadUpTo(limit)
	if err != nil {
		return nil, err
	}
	if !whole {
		return nil, fmt.Errorf("read body: %w: over %d bytes", ErrAnswerTooLarge, limit)
	}
	return raw, nil
}

// ReadUpTo returns the whole body if it has at most limit bytes. Of a longer body it returns the first limit+1 bytes and
// false; the rest can still be read.
func (r *Response) ReadUpTo(most int64) (raw []byte, whole bool, err error) {
	raw, err = io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, false, fmt.Errorf("read body: %w", err)
	}
	return raw, int64(len(raw)) <= most, nil
}

// EndConnection makes Close end the connection instead of returning it to the pool.
func (r *Response) EndConnection() { r.reusable = false }

// Abort closes the connection immediately, so that a read in progress fails. After Close it does nothing, since the connection may
// serve another request.
func (r *Response) Abort() {
	if r.ended.CompareAndSwap(false, true) {
		r.client.discard(r.conn)
	}
}

// Close returns the connection to the pool if the answer was read completely and the connection can be reused. Otherwise it
// closes the connection. After Abort it does nothing.
func (r *Response) Close() {
	active := r.unwatchContext()
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	if active && r.readToEnd && r.reusable {
		r.client.release(r.conn)
		return
	}
	r.client.discard(r.conn)
}

// NotSent reports whether an error proves that the endpoint has read nothing of the request.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) }
