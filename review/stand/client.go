package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// exchange is a client's request with what came back.
type exchange struct {
	id     string
	sentAt time.Time
	status int
	header http.Header
	body   []byte
	// err is set if the answer did not come or is not complete.
	err error
}

// newID returns an identifier for a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ask sends one request on a new connection and reads the whole answer.
func (d *deployment) ask(h *host, method, path string, header http.Header, body []byte, left time.Duration) exchange {
	x := exchange{id: newID(), sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", h.ip+":"+d.front, time.Second)
	if err != nil {
		x.err = fmt.Errorf("connect: %w", err)
		return x
	}
	defer conn.Close()
	if err := conn.SetDeadline(x.sentAt.Add(left)); err != nil {
		x.err = fmt.Errorf("set deadline: %w", err)
		return x
	}
	if _, err := conn.Write(d.encode(x.id, method, path, header, body, left)); err != nil {
		x.err = fmt.Errorf("send: %w", err)
		return x
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		x.err = fmt.Errorf("read answer: %w", err)
		return x
	}
	x.status, x.header = resp.StatusCode, resp.Header
	x.body, err = io.ReadAll(resp.Body)
	if err != nil {
		x.err = fmt.Errorf("read body: %w", err)
	}
	return x
}

// encode returns the bytes of a client's request.
func (d *deployment) encode(id, method, path string, header http.Header, body []byte, left time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: draft.example\r\n", method, path)
	h := header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(d.names.Request, id)
	h.Set(d.names.Remaining, fmt.Sprint(left.Milliseconds()))
	if h.Get("Authorization") == "" {
		h.Set("Authorization", "Bearer key-of-one")
	}
	// Writing to a buffer cannot fail.
	_ = h.Write(&b)
	if len(body) > 0 || method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
