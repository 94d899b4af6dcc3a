package pipe

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/io/wall"
)

// earlyReadBuffer is less than the sockets need to hold the longest requests of the test.
const earlyReadBuffer = 64 << 10

// earlyRow is a case of an endpoint that answers before it has read a request.
type earlyRow struct {
	Name string
	// Bytes lists the lengths of the request's body.
	Bytes []int
	// Unread means that the endpoint sends Answer before it reads anything; otherwise it reads the head and BodyRead bytes first.
	Unread   bool
	BodyRead int64
	Answer   string
	// Ends is what becomes of the connection after the answer: it is closed, reset, read on ("") or kept without being read.
	Ends string
	// Later is sent once the whole request was read.
	Later string
	// Want holds the body of the answer, or "error".
	Want string
	// Dials is the number of connections for two requests, 0 if that depends on how much of the first one the sockets hold.
	Dials int64
}

// earlyEndpoint answers the request a as its row says, and all others with "two". It records requests that hold other bytes than theirs.
type earlyEndpoint struct {
	row  earlyRow
	body string
	over chan struct{}
	// met means that a connection was accepted before.
	met atomic.Bool

	mu    sync.Mutex
	wrong []string
}

func (e *earlyEndpoint) record(what string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wrong = append(e.wrong, what)
}

func (e *earlyEndpoint) handle(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(earlyReadBuffer)
	}
	in := bufio.NewReader(c)
	first := !e.met.Swap(true) && e.row.Unread
	if first {
		_, _ = io.WriteString(c, e.row.Answer)
	}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			if !errors.Is(err, io.EOF) && !isCut(err) {
				e.record("head: " + err.Error())
			}
			return
		}
		if r.Header.Get("Id") == "a" {
			if !e.answerEarly(c, r, first) {
				return
			}
			continue
		}
		if raw, err := io.ReadAll(r.Body); err != nil || string(raw) != "body" {
			e.record("body: " + string(raw[:min(len(raw), 20)]))
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 3\r\n\r\ntwo")
	}
}

// answerEarly answers the long request and reports whether the connection goes on.
func (e *earlyEndpoint) answerEarly(c net.Conn, r *http.Request, answered bool) bool {
	if !answered {
		_, _ = io.CopyN(io.Discard, r.Body, e.row.BodyRead)
		_, _ = io.WriteString(c, e.row.Answer)
	}
	switch e.row.Ends {
	case "closed":
		return false
	case "reset":
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case "unread":
		<-e.over
		return false
	}
	rest, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if !strings.HasSuffix(e.body, string(rest)) {
		e.record("other bytes in the place of the body")
	}
	_, _ = io.WriteString(c, e.row.Later)
	return true
}

// isCut reports whether an error of reading comes from a connection that was ended.
func isCut(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// isWriting reports whether a goroutine still writes a request.
func isWriting() bool {
	stacks := make([]byte, 1<<20)
	return strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "pipe.(*Client).Do.func")
}

// TestAnEarlyAnswerLeavesTheNextRequestAlone guards against bytes of a long request, or of its early answer, in the next one.
func TestAnEarlyAnswerLeavesTheNextRequestAlone(t *testing.T) {
	raw, err := os.ReadFile("testdata/early_answers.json")
	must.NoError(t, err)
	var rows []earlyRow
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		for _, length := range row.Bytes {
			for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes, next after %v", row.Name, length, pause), func(t *testing.T) { playEarlyAnswer(t, row, length, pause) })
			}
		}
	}
}

func playEarlyAnswer(t *testing.T, row earlyRow, length int, pause time.Duration) {
	e := &earlyEndpoint{row: row, body: strings.Repeat("0123456789", length/10), over: make(chan struct{})}
	address := serve(t, e.handle)
	client := New(Options{Clock: wall.New()})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	got := "error"
	resp, err := client.Do(ctx, Request{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Name: "a", Header: http.Header{"Id": {"a"}}, Body: []byte(e.body),
		IsAnswer:  func(r *http.Response) bool { return r.Header.Get("Id") == "a" },
		NamesNone: func(r *http.Response) bool { return r.Header.Get("Id") == "" },
	})
	written := err == nil && resp.Written
	if err == nil {
		if raw, err := resp.ReadAll(1 << 20); err == nil {
			got = string(raw)
		}
		time.Sleep(pause)
		resp.Close()
	}
	must.Eq(t, row.Want, got, must.Sprint(err))
	for _, id := range []string{"b", "c"} {
		answered, err := askFor(client, address, id)
		must.NoError(t, err)
		must.Eq(t, "two", answered)
	}
	t.Logf("written %v, dials %d", written, client.Dials())
	if row.Dials > 0 {
		must.Eq(t, row.Dials, client.Dials())
	}
	close(e.over)
	must.NoError(t, client.Stop(context.Background()))
	for deadline := time.Now().Add(10 * time.Second); isWriting(); time.Sleep(5 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint("the request is still being written"))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	must.SliceEmpty(t, e.wrong)
}
