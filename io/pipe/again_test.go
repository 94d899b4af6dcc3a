package pipe

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/io/wall"
)

// TestAnEndThatIsNotProvenStaysSo guards against a part of an answer that looks whole when it is read on: the system reports a reset once.
func TestAnEndThatIsNotProvenStaysSo(t *testing.T) {
	for name, halfCloses := range map[string]bool{"reset": false, "half closed and reset": true} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(c net.Conn) {
				tcp, ok := c.(*net.TCPConn)
				if !ok {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
				time.Sleep(2 * time.Millisecond)
				if halfCloses {
					_ = tcp.CloseWrite()
				}
				_ = tcp.SetLinger(0)
			})
			client := New(Options{Clock: wall.New()})
			defer func() { must.NoError(t, client.Stop(context.Background())) }()
			resp, err := client.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}})
			must.NoError(t, err)
			defer resp.Close()
			time.Sleep(50 * time.Millisecond)
			for range 3 {
				_, err := resp.ReadAll(100)
				must.Error(t, err)
			}
		})
	}
}
