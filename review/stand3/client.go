package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// result is what a client has got.
type result struct {
	id, method, path string
	status           int
	stamp, body      string
	// whole means that the answer looks complete.
	whole bool
	err   error
	sent  time.Time
	// retryAfter is what a refusal asks for.
	retryAfter time.Duration
	took       time.Duration
}

// question is what a client sends.
type question struct {
	id, method, path, body string
	header                 http.Header
	deadline               time.Duration
}

// ask sends a request to an entry host over a connection of its own and reads the answer to its end.
func (l *lab) ask(h *host, q question) result {
	r := result{id: q.id, method: q.method, path: q.path, sent: time.Now()}
	defer func() { r.took = time.Since(r.sent) }()
	conn, err := net.DialTimeout("tcp", h.ip+":"+l.ports["front"], time.Second)
	if err != nil {
		r.err = err
		return l.answered(h, r)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(q.deadline)); err != nil {
		r.err = err
		return l.answered(h, r)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-of-firm-1\r\n", q.method, q.path, clientHost)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n", names.RequestID, q.id, names.Remaining, q.deadline.Milliseconds())
	for name, values := range q.header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	l.note("sent %s to %s: %s %s", q.id, h.name, q.method, q.path)
	if _, r.err = io.WriteString(conn, b.String()+"\r\n"+q.body); r.err != nil {
		return l.answered(h, r)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		r.err = err
		return l.answered(h, r)
	}
	r.status, r.stamp = response.StatusCode, response.Header.Get(names.Stamp)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(response.Body)
	r.body, r.err, r.whole = string(body), err, err == nil
	return l.answered(h, r)
}

func (l *lab) answered(h *host, r result) result {
	l.note("answered %s by %s: status %d, %d bytes, whole %t, err %v", r.id, h.name, r.status, len(r.body), r.whole, r.err)
	return r
}
