package pipe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/io/wall"
)

const (
	// resetTries is the number of answers that are reset: which side of a connection learns of a reset is a race.
	resetTries = 60
	// resetBodyBytes is the length of a request that the sockets don't hold.
	resetBodyBytes = 8 << 20
	// writtenTries is the number of whole answers: whether their end or that of the request's write is known first is a race.
	writtenTries = 2000
	// writtenBodyBytes is the length of a request that is written beside the reading of its answer.
	writtenBodyBytes = 110_000
)

// askLong sends a request with the given body and returns the body of its answer.
func askLong(c *Client, address string, body []byte) (string, error) {
	resp, err := c.Do(context.Background(), Request{
		Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Body: body,
		IsAnswer: func(r *http.Response) bool { return r.Header.Get("Id") == "a" },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	raw, err := resp.ReadAll(1 << 20)
	return string(raw), err
}

// TestAResetWhileARequestIsWrittenIsNoEndOfItsAnswer guards against half an answer that looks whole, as the write has learnt of its reset.
func TestAResetWhileARequestIsWrittenIsNoEndOfItsAnswer(t *testing.T) {
	address := serve(t, func(c net.Conn) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(earlyReadBuffer)
			_ = tcp.SetLinger(0)
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
		time.Sleep(2 * time.Millisecond)
	})
	client := New(Options{Clock: wall.New()})
	defer func() { must.NoError(t, client.Stop(context.Background())) }()
	body := []byte(strings.Repeat("x", resetBodyBytes))
	for range resetTries {
		answered, err := askLong(client, address, body)
		must.Error(t, err, must.Sprintf("%q looks whole", answered))
	}
}

// TestAnEndBeforeTheRequestHasArrivedIsNoEndOfItsAnswer guards against half an answer that looks whole, as the end of its connection comes in
// order and the reset behind it: the endpoint closes while most of the request is on its way, or stops to send without reading on. The sockets
// hold the requests, so that their writes end without an error.
func TestAnEndBeforeTheRequestHasArrivedIsNoEndOfItsAnswer(t *testing.T) {
	for _, row := range []struct {
		name string
		// bytes lists the lengths of requests.
		bytes []int
		// halfCloses means that the endpoint reads the head of the request and stops sending before it resets the connection; otherwise it
		// reads nothing and closes the connection at once.
		halfCloses bool
	}{
		{name: "closed", bytes: []int{1000, 5000, 20_000, writtenBodyBytes, 400_000}},
		{name: "half closed", bytes: []int{400_000, 1 << 20, 3 << 20}, halfCloses: true},
	} {
		for _, length := range row.bytes {
			t.Run(fmt.Sprintf("%s, %d bytes", row.name, length), func(t *testing.T) {
				address := serve(t, func(c net.Conn) { endEarly(c, row.halfCloses) })
				client := New(Options{Clock: wall.New()})
				defer func() { must.NoError(t, client.Stop(context.Background())) }()
				body := []byte(strings.Repeat("x", length))
				whole := 0
				for range resetTries {
					if _, err := askLong(client, address, body); err == nil {
						whole++
					}
				}
				must.Zero(t, whole)
			})
		}
	}
}

// endEarly sends half an answer without a length and ends the connection before the request has arrived.
func endEarly(c net.Conn, halfCloses bool) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(earlyReadBuffer)
	if halfCloses {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
	if halfCloses {
		_ = tcp.CloseWrite()
		time.Sleep(2 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}
}

// TestAWholeAnswerToALongRequestIsNotBroken guards against an answer without a length that counts as broken, as the end of its request's write is not known yet.
func TestAWholeAnswerToALongRequestIsNotBroken(t *testing.T) {
	address := serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
	})
	client := New(Options{Clock: wall.New()})
	defer func() { must.NoError(t, client.Stop(context.Background())) }()
	body := []byte(strings.Repeat("x", writtenBodyBytes))
	broken := 0
	for range writtenTries {
		if _, err := askLong(client, address, body); err != nil {
			broken++
		}
	}
	must.Zero(t, broken)
}

// TestAnOldProtocolIsNoAnswer guards against chunks that are taken for the bytes of a body.
func TestAnOldProtocolIsNoAnswer(t *testing.T) {
	address := endpoint(t, []string{"HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n<close>"})
	client := New(Options{Clock: wall.New()})
	defer func() { must.NoError(t, client.Stop(context.Background())) }()
	must.Eq(t, "error", ask(client, address, "a"))
}
