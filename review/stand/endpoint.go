package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// endpoint is a stand-in for a server behind the relay. It serves one request at a time on each connection.
type endpoint struct {
	id, service, zone, address string

	slots    int
	born     int64
	listener net.Listener
	// handle answers one request on a connection.
	handle func(c *connection, r *http.Request, body []byte) error

	mu       sync.Mutex
	seq      int
	draining bool
	// version is the version of the endpoint's software.
	version string
	open    map[net.Conn]bool
}

// connection is a connection to an endpoint.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// last is the answer to the last request on the connection, as it was sent.
	last []byte
}

// newEndpoint starts an endpoint at an address of its own.
func newEndpoint(id, service, zone, ip string, slots int, handle func(*connection, *http.Request, []byte) error) (*endpoint, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", id, err)
	}
	e := &endpoint{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, born: time.Now().UnixMilli(), listener: l, handle: handle,
		version: "v1", open: map[net.Conn]bool{},
	}
	go e.accept(l)
	return e, nil
}

// crash closes the listener and all connections.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.Close()
	for c := range e.open {
		c.Close()
	}
}

// restart starts the endpoint again at its address, under its id, with another version.
func (e *endpoint) restart(version string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("listen for %s again: %w", e.id, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.version, e.born, e.seq = l, version, time.Now().UnixMilli(), 0
	go e.accept(l)
	return nil
}

func (e *endpoint) currentVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *endpoint) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.open[raw] = true
		e.mu.Unlock()
		go e.serve(&connection{Conn: raw, reader: bufio.NewReader(raw)})
	}
}

func (e *endpoint) serve(c *connection) {
	defer func() {
		c.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.open, c.Conn)
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if err := e.handle(c, r, body); err != nil {
			return
		}
	}
}

// closed reports whether the other side has closed the connection; it waits for that for the given time.
func (c *connection) closed(wait time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return true
	}
	_, err := c.reader.Peek(1)
	timeout, ok := err.(net.Error)
	if ok && timeout.Timeout() {
		return c.SetReadDeadline(time.Time{}) != nil
	}
	return err != nil
}

// response returns an answer with a length.
func response(status int, header http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// Writing to a buffer cannot fail.
	_ = header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}
