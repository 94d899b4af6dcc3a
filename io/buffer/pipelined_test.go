package buffer

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"cyclamenford/io/listen"
)

// TestPipelinedRequestsOfASlowClient guards against an answer that is cut, doubled or mixed with the next one on a connection that is
// used again while bytes were held, among them answers without a body, errors, and answers that net/http writes after the handler.
func TestPipelinedRequestsOfASlowClient(t *testing.T) {
	const rounds, size = 4, 600 << 10
	p := newPool(4 << 20)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a *Answer
		end := listen.Redirect(r.Context(), func(c net.Conn) io.Writer {
			test.NoError(t, c.(*net.TCPConn).SetWriteBuffer(socketBytes))
			a = p.Answer(c, true, func() {})
			return a
		})
		defer func() { a.Close(); end() }()
		switch {
		case r.URL.Path == "/missing":
			w.WriteHeader(http.StatusNotFound)
			return
		case r.Method == http.MethodHead:
			w.Header().Set("Content-Length", strconv.Itoa(size))
			return
		case r.URL.Path == "/stream":
			for range size >> 10 {
				_, err := w.Write([]byte(strings.Repeat("y", 1<<10)))
				test.NoError(t, err)
				test.NoError(t, http.NewResponseController(w).Flush())
				a.Mark()
			}
		default:
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, err := w.Write([]byte(strings.Repeat("x", size)))
			test.NoError(t, err)
		}
		test.NoError(t, a.Drain(r.Context(), context.Background()))
	})
	s := listen.New(listen.Options{Name: "test", Address: "127.0.0.1:0"}, handler, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Start(context.Background()))
	defer func() { must.NoError(t, s.Stop(t.Context())) }()
	c, err := net.Dial("tcp", s.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, c.(*net.TCPConn).SetReadBuffer(socketBytes))
	lines := []string{"GET /", "GET /stream", "HEAD /", "GET /missing"}
	for range rounds {
		for _, line := range lines {
			_, err := io.WriteString(c, line+" HTTP/1.1\r\nHost: h\r\n\r\n")
			must.NoError(t, err)
		}
	}
	in := bufio.NewReaderSize(c, 4<<10)
	for range rounds {
		for _, line := range lines {
			time.Sleep(20 * time.Millisecond)
			method, path, _ := strings.Cut(line, " ")
			resp, err := http.ReadResponse(in, &http.Request{Method: method})
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			want := map[string]string{"/": strings.Repeat("x", size), "/stream": strings.Repeat("y", size)}[path]
			if method == http.MethodHead {
				want = ""
			}
			must.True(t, string(body) == want, must.Sprintf("%s: %d bytes, status %d", line, len(body), resp.StatusCode))
		}
	}
	must.NoError(t, c.Close())
	held, most := mostHeld(p)
	must.Zero(t, held)
	must.Positive(t, most)
}
