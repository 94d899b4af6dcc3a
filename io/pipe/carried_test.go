package pipe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/io/wall"
)

// repeatingEndpoint answers its first request with former and all others with "HTTP/1.1 200 OK", and sends former once more before the answer to the next
// request on the same connection.
func repeatingEndpoint(t *testing.T, former string) string {
	var asked atomic.Bool
	return serve(t, func(c net.Conn) {
		due := ""
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if asked.CompareAndSwap(false, true) {
				due = former
				_, _ = io.WriteString(c, former)
				continue
			}
			_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nran", due, r.Header.Get("Id"))
			due = ""
		}
	})
}

// TestALateCopyIsNoAnswerToALaterAttempt guards against a request that is told once more what an earlier attempt of it was told.
func TestALateCopyIsNoAnswerToALaterAttempt(t *testing.T) {
	raw, err := os.ReadFile("testdata/late_copies.json")
	must.NoError(t, err)
	var rows []struct {
		Name, Former string
		// Between is the number of requests of other names between the two attempts.
		Between int
		// Dials is the number of connections that all requests open.
		Dials int64
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			address := repeatingEndpoint(t, row.Former)
			client := New(Options{Clock: wall.New()})
			defer func() { must.NoError(t, client.Stop(context.Background())) }()
			must.NotEq(t, "ran", ask(client, address, "a"))
			for i := range row.Between {
				must.Eq(t, "ran", ask(client, address, fmt.Sprint("other-", i)))
			}
			must.Eq(t, "ran", ask(client, address, "a"))
			must.Eq(t, "ran", ask(client, address, "z"), must.Sprint("another request"))
			must.Eq(t, row.Dials, client.Dials())
		})
	}
}
