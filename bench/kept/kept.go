package kept

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Conn is one open connection. It is used by one goroutine at a time.
type Conn struct {
	conn net.Conn
	in   *bufio.Reader
	// closing means that the last answer announced that the server closes the connection.
	closing bool
}

// Dial connects to an address, over TLS unless the configuration is nil.
func Dial(address string, config *tls.Config) (*Conn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	if config != nil {
		t := tls.Client(c, config)
		if err := t.Handshake(); err != nil {
			_ = c.Close()
			return nil, fmt.Errorf("handshake: %w", err)
		}
		c = t
	}
	return &Conn{conn: c, in: bufio.NewReader(c)}, nil
}

// Ask sends a request in one write and returns its whole answer, or an error if the connection ends before it is complete or the
// timeout passes.
func (c *Conn) Ask(r *http.Request, timeout time.Duration) (*http.Response, string, error) {
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, "", fmt.Errorf("set deadline: %w", err)
	}
	var out bytes.Buffer
	if err := r.Write(&out); err != nil {
		return nil, "", fmt.Errorf("encode request: %w", err)
	}
	if _, err := c.conn.Write(out.Bytes()); err != nil {
		return nil, "", fmt.Errorf("send request: %w", err)
	}
	resp, err := http.ReadResponse(c.in, r)
	if err != nil {
		return nil, "", fmt.Errorf("read answer: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, string(body), fmt.Errorf("read body of the answer: %w", err)
	}
	c.closing = resp.Close
	return resp, string(body), resp.Body.Close()
}

// Send sends bytes that are no request, or a part of one.
func (c *Conn) Send(text string) error {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// Closing reports whether the last answer announced that the server closes the connection.
func (c *Conn) Closing() bool { return c.closing }

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }
