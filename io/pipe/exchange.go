package pipe

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cyclamenford/core"
)

// ErrStray means that the connection brought answers that belong to other requests.
var ErrStray = errors.New("the connection brought answers to other requests")

// Response is an endpoint's answer; its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known beforehand.
	Length int64
	body   io.ReadCloser
	client *Client
	conn   *conn
	stop   func() bool
	whole  bool
	reuse  bool
}

// Do sends a request and returns once the header of its answer is there.
//
// An error that wraps ErrNotSent proves that the endpoint has read nothing. The connection closes when ctx ends.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	x, err := c.get(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.discard(x) })
	written := make(chan error, 1)
	raw := encode(r)
	if len(r.Body) == 0 {
		_, err := x.Write(raw)
		written <- err
	} else {
		// An endpoint may answer before it has read a long body.
		go func() {
			_, err := x.Write(raw)
			written <- err
		}()
	}
	resp, err := c.read(x, r)
	if err != nil {
		stop()
		c.discard(x)
		return nil, fmt.Errorf("read answer: %w", errors.Join(err, ctx.Err()))
	}
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		body: resp.Body, client: c, conn: x, stop: stop,
	}
	select {
	case err := <-written:
		out.reuse = err == nil && !resp.Close
	default:
		// The rest of the body would be read as the next request.
		out.reuse = false
	}
	x.keep = keepAlive(resp.Header)
	return out, nil
}

func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + readBuffer)
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

// read returns the answer that belongs to the request, past interim ones and late ones to earlier requests.
func (c *Client) read(x *conn, r Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	x.bound.left = maxHead
	for strays, interim := 0, 0; strays <= maxStrays; {
		resp, err := http.ReadResponse(x.reader, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim {
				return nil, fmt.Errorf("%w: interim answers", ErrEndless)
			}
			continue
		}
		if r.Belongs == nil || r.Belongs(resp) {
			x.bound.left = unbounded
			return resp, nil
		}
		x.bound.left = maxStray
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		x.bound.left = maxHead
		strays++
	}
	return nil, ErrStray
}

// keepAlive is how long the connection may be idle, by what the endpoint says.
func keepAlive(h http.Header) core.Millis {
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

// Read reads the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// ReadAll returns the whole body, or an error if it broke off or is longer than most.
func (r *Response) ReadAll(most int64) ([]byte, error) {
	raw, whole, err := r.ReadUpTo(most)
	if err != nil {
		return nil, err
	}
	if !whole {
		return nil, fmt.Errorf("read body: %w: over %d bytes", ErrEndless, most)
	}
	return raw, nil
}

// ReadUpTo returns a body of at most the given bytes; of a longer one it returns one byte more, and the rest can be read on.
func (r *Response) ReadUpTo(most int64) (raw []byte, whole bool, err error) {
	raw, err = io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, false, fmt.Errorf("read body: %w", err)
	}
	return raw, int64(len(raw)) <= most, nil
}

// Break closes the connection at once, so that a read in progress ends with an error.
func (r *Response) Break() { r.client.discard(r.conn) }

// Close gives the connection back if the answer was read to its end, and closes it otherwise.
func (r *Response) Close() {
	if r.stop() && r.whole && r.reuse {
		r.client.put(r.conn)
		return
	}
	r.client.discard(r.conn)
}

// NotSent reports whether an error proves that the endpoint has read nothing.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) }
