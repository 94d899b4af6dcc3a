package pipe

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"cyclamenford/io/wall"
)

// hostMemory is the memory that the garbage collector lets the process use on a small entry host, which has 184 MB in all.
const hostMemory = 128 << 20

// flood starts an endpoint that answers each request with begin and then repeats again until the connection closes. It
// returns the endpoint's address and a counter with the largest number of bytes sent on one connection.
func flood(t *testing.T, begin, again string) (string, *atomic.Int64) {
	maxSent := &atomic.Int64{}
	return serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		n, err := io.WriteString(c, begin)
		sent := int64(n)
		// A string would be copied for each write, and the copies count as memory of the process under test.
		for chunk := []byte(strings.Repeat(again, max(1, 4096/len(again)))); err == nil; sent += int64(n) {
			n, err = c.Write(chunk)
		}
		for old := maxSent.Load(); sent > old && !maxSent.CompareAndSwap(old, sent); old = maxSent.Load() {
		}
	}), maxSent
}

// TestEndlessAnswersEndAtTheirBound guards against an endpoint that exhausts the memory or the time of a host with an
// endless answer. For each part of an answer that can be endless, fifty calls at once must fail at the size limit, long
// before their deadline, and within the memory of a small host.
func TestEndlessAnswersEndAtTheirBound(t *testing.T) {
	for name, c := range map[string]struct{ begin, again string }{
		"no answer at all":      {"", "x"},
		"head lines":            {"HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n"},
		"one head line":         {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"interim answers":       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"an answer of another":  {"HTTP/1.1 200 OK\r\nId: z\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nwxyz\r\n"},
		"answers of others":     {"", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 0\r\n\r\n"},
		"chunks":                {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nwxyz\r\n"},
		"one chunk's extension": {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"a trailer":             {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: of the same\r\n"},
		"a body without length": {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, maxSent := flood(t, c.begin, c.again)
			client := New(Options{Clock: wall.New()})
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for range 50 {
				wg.Go(func() {
					resp, err := client.Do(ctx, Request{
						Address: address, Method: http.MethodGet, Target: "/", Host: "h",
						IsAnswer: func(r *http.Response) bool { return r.Header.Get("Id") == "a" },
					})
					if err == nil {
						_, err = resp.ReadAll(64 << 10)
						resp.Close()
					}
					test.Error(t, err)
				})
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			test.NoError(t, ctx.Err())
			test.LessEq(t, hostMemory, after.TotalAlloc-before.TotalAlloc)
			// The socket buffers accept some megabytes before the endpoint notices the closed connection.
			test.LessEq(t, 16<<20, maxSent.Load())
		})
	}
}

// TestBytesPastDeclaredLengthCloseConnection guards against reading the bytes after a body's declared length as the answer
// to the next request. The answer itself is complete, and the next request must use a new connection.
func TestBytesPastDeclaredLengthCloseConnection(t *testing.T) {
	address, _ := flood(t, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\none", "x")
	client := New(Options{Clock: wall.New()})
	for range 3 {
		must.Eq(t, "one", ask(client, address, "a"))
	}
	must.Eq(t, 3, client.Dials())
}
