package pipe

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/io/wall"
)

// serve accepts connections, passes each to handle in a goroutine of its own and closes it after that. It returns the address.
func serve(t *testing.T, handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// endpoint starts a server that answers each request on a connection with the next raw answer. It closes the connection
// after an answer that ends with "<close>", and resets it instead of the answer "reset".
func endpoint(t *testing.T, answers []string) string {
	return serve(t, func(c net.Conn) { answer(c, answers) })
}

// answer serves one connection of endpoint.
func answer(c net.Conn, answers []string) {
	reader := bufio.NewReader(c)
	for _, raw := range answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if raw == "reset" {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		raw, last := strings.CutSuffix(raw, "<close>")
		if _, err := io.WriteString(c, raw); err != nil || last {
			return
		}
	}
	_, _ = reader.ReadByte()
}

// TestAnswers guards against passing on an answer that is incomplete or belongs to another request, and against reusing a
// connection after such an answer. An endpoint sends the raw answers of each case; the test checks what each request gets
// and how many connections were opened.
func TestAnswers(t *testing.T) {
	raw, err := os.ReadFile("testdata/answers.json")
	must.NoError(t, err)
	var cases []struct {
		Name    string
		Answers []string
		// Want holds the expected body for each request, or "error".
		Want  []string
		Dials int64
	}
	must.NoError(t, strict.Decode(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			address := endpoint(t, c.Answers)
			client := New(Options{Clock: wall.New()})
			defer func() { must.NoError(t, client.Stop(context.Background())) }()
			for i, want := range c.Want {
				must.Eq(t, want, ask(client, address, string(rune('a'+i))), must.Sprintf("request %d", i))
			}
			must.Eq(t, c.Dials, client.Dials())
		})
	}
}

// ask sends a request with an ID and returns the body of its answer, or "error".
func ask(c *Client, address, id string) string {
	body, err := askFor(c, address, id)
	if err != nil {
		return "error"
	}
	return body
}

// askFor sends a request with an ID and returns the body of its answer.
func askFor(c *Client, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, Request{
		Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Name: id, Header: http.Header{"Id": {id}}, Body: []byte("body"),
		IsAnswer:  func(r *http.Response) bool { return r.Header.Get("Id") == id },
		NamesNone: func(r *http.Response) bool { return r.Header.Get("Id") == "" },
		NameOf:    func(r *http.Response) string { return r.Header.Get("Id") },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := resp.ReadAll(1 << 20)
	if err != nil {
		return "", err
	}
	// Bytes that the endpoint sends after its answer take a moment to arrive.
	time.Sleep(20 * time.Millisecond)
	return string(body), nil
}

// TestAHeadThatBreaksOffIsNoAnswer guards against passing on an empty or short answer as a whole one. The endpoint closes the connection at each
// byte of its answer's head.
func TestAHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"
	client := New(Options{Clock: wall.New()})
	defer func() { must.NoError(t, client.Stop(context.Background())) }()
	for n := range head {
		must.Eq(t, "error", ask(client, endpoint(t, []string{head[:n] + "<close>"}), "a"), must.Sprintf("after %d bytes: %q", n, head[:n]))
	}
}

// TestOnlyAFailedDialProvesThatNothingWasSent guards against repeating a request that the endpoint may have run: a refused
// connection proves that nothing was sent, a connection reset after the request does not.
func TestOnlyAFailedDialProvesThatNothingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closed := l.Addr().String()
	must.NoError(t, l.Close())
	client := New(Options{Clock: wall.New()})
	_, err = client.Do(context.Background(), Request{Address: closed, Method: http.MethodGet, Target: "/", Host: "h"})
	must.True(t, NotSent(err))
	_, err = client.Do(context.Background(), Request{
		Address: endpoint(t, []string{"reset"}), Method: http.MethodGet, Target: "/", Host: "h",
	})
	must.Error(t, err)
	must.False(t, NotSent(err))
}

// TestACallEndsWithItsContext guards against a call, and a connection at the endpoint, that outlive the canceled context of
// the caller.
func TestACallEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		_, err = io.Copy(io.Discard, c)
		closed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = New(Options{Clock: wall.New()}).Do(ctx, Request{
		Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Body: []byte(strings.Repeat("x", 1<<16)),
	})
	must.True(t, errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(30 * time.Second):
		t.Fatal("the connection to the endpoint is still open 30 s after the call was canceled")
	}
}
