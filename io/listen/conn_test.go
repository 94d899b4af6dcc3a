package listen

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const testBodyBytes = 1400

// testClient is a client with one open connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

// send sends a request and reports whether its whole answer has arrived.
func (c testClient) send(id string) bool {
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", testBodyBytes)))
	r.Header.Set("Id", id)
	var out bytes.Buffer
	if r.Write(&out) != nil {
		return false
	}
	if _, err := c.Write(out.Bytes()); err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.in, r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == id
}

func dialTest(t *testing.T, address string, overTls bool) testClient {
	var c net.Conn
	var err error
	if overTls {
		c, err = tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	} else {
		c, err = net.Dial("tcp", address)
	}
	must.NoError(t, err)
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return testClient{Conn: c, in: bufio.NewReader(c)}
}

// TestRequestsTellWhichSideHasEndedTheirConnection guards against a log in which a connection that the host has closed looks like a
// client that has left.
func TestRequestsTellWhichSideHasEndedTheirConnection(t *testing.T) {
	for _, side := range []Side{Client, Host, NoSide} {
		t.Run(string(side), func(t *testing.T) {
			began, ended := make(chan struct{}), make(chan Side, 1)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// The server watches the connection once the body was read.
				_, err := io.Copy(io.Discard, r.Body)
				test.NoError(t, err)
				close(began)
				select {
				case <-r.Context().Done():
				case <-time.After(200 * time.Millisecond):
				}
				ended <- EndedBy(r.Context())
			})
			s := New(Options{Name: "test", Address: "127.0.0.1:0"}, handler, slog.New(slog.DiscardHandler))
			must.NoError(t, s.Start(context.Background()))
			c := dialTest(t, s.Addr().String(), false)
			go c.send("1")
			<-began
			stopped, cancel := context.WithCancel(context.Background())
			cancel()
			switch side {
			case Client:
				must.NoError(t, c.Close())
			case Host:
				must.Error(t, s.Stop(stopped))
				must.Zero(t, s.handlers.Count(), must.Sprint("the handler has logged how its request ended"))
			}
			must.Eq(t, side, <-ended)
			_ = s.Stop(stopped)
		})
	}
}
