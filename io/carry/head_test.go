package carry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/io/pipe"
	"cyclamenford/io/wall"
)

// TestAnAnswerToHeadIsWholeAcrossACarrier guards against an answer without a body that counts as cut, as its connection stays open and no end is marked.
func TestAnAnswerToHeadIsWholeAcrossACarrier(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
				}
				_, _ = io.Copy(io.Discard, in)
				_ = conn.Close()
			}()
		}
	}()
	for way, d := range map[string]*Dialer{"direct": dialerWith(nil), "carried": dialerWith(refuse, startCarrier(t, nil, false))} {
		t.Run(way, func(t *testing.T) {
			c := pipe.New(pipe.Options{Dialer: d, Clock: wall.New()})
			resp, err := c.Do(t.Context(), pipe.Request{Address: l.Addr().String(), Method: http.MethodHead, Target: "/", Host: "endpoint", Header: http.Header{}})
			must.NoError(t, err)
			defer resp.Close()
			body, err := resp.ReadAll(1)
			must.NoError(t, err)
			must.Eq(t, "", string(body))
		})
	}
}
