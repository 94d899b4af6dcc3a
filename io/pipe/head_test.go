package pipe

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/io/head"
	"cyclamenford/io/wall"
)

// headFields are the fields of a sound head, besides the one that frames the body.
var headFields = []string{"Id: a", "Content-Type: text/plain", "X-Other: b"}

// spoiledHeads returns heads in which the name of one field holds a byte that no name may hold, at its start, within it or at its end.
func spoiledHeads(framing string) []string {
	bad := []byte{0x7f}
	for b := byte(0); b <= ' '; b++ {
		bad = append(bad, b)
	}
	fields := append(slices.Clone(headFields), framing)
	var heads []string
	for n, field := range fields {
		for _, at := range []int{0, 4, strings.IndexByte(field, ':')} {
			at = min(at, strings.IndexByte(field, ':'))
			for _, b := range bad {
				spoiled := slices.Clone(fields)
				spoiled[n] = field[:at] + string(b) + field[at:]
				heads = append(heads, "HTTP/1.1 200 OK\r\n"+strings.Join(spoiled, "\r\n")+"\r\n\r\n")
			}
		}
	}
	return heads
}

// TestAHeadWithABadNameIsNoAnswer guards against answers whose body is framed by a field that was not recognised.
func TestAHeadWithABadNameIsNoAnswer(t *testing.T) {
	for framing, body := range map[string]string{"Content-Length: 4": "body", "Transfer-Encoding: chunked": "4\r\nbody\r\n0\r\n\r\n", "X-None: x": "body"} {
		sound := "HTTP/1.1 200 OK\r\n" + strings.Join(append(slices.Clone(headFields), framing), "\r\n") + "\r\n\r\n" + body
		_, got, err := readAnswerFrom(strings.NewReader(sound))
		must.NoError(t, err)
		must.Eq(t, "body", string(got))
		for _, spoiled := range spoiledHeads(framing) {
			for _, earlier := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nz"} {
				raw := earlier + spoiled + body
				for _, source := range []io.Reader{strings.NewReader(raw), iotest.OneByteReader(strings.NewReader(raw)), iotest.HalfReader(strings.NewReader(raw))} {
					resp, got, err := readAnswerFrom(source)
					test.Error(t, err, test.Sprintf("%q is taken for an answer with %q", earlier+spoiled, got))
					test.True(t, resp == nil)
				}
			}
		}
	}
}

// countIdle returns the number of connections that may be used again.
func countIdle(c *Client) (n int) {
	for _, list := range c.idle {
		n += len(list)
	}
	return n
}

// TestMalformedHeads guards against malformed heads that are taken for an answer, on new and on used connections and before a long request is
// read, and against reusing their connections.
func TestMalformedHeads(t *testing.T) {
	raw, err := os.ReadFile("testdata/heads.json")
	must.NoError(t, err)
	var rows []struct {
		Name, Answer string
		// Sound means that the answer is the one to the request; its body is "one".
		Sound bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	client := func() *Client { return New(Options{Clock: wall.New()}) }
	for _, row := range rows {
		want := "error"
		if row.Sound {
			want = "one"
		}
		t.Run(row.Name, func(t *testing.T) {
			c := client()
			must.Eq(t, want, ask(c, endpoint(t, []string{row.Answer}), "a"))
			must.True(t, row.Sound || countIdle(c) == 0, must.Sprint("the connection is used again"))
			must.NoError(t, c.Stop(context.Background()))
		})
		t.Run(row.Name+", on a connection that was used", func(t *testing.T) {
			c, address := client(), endpoint(t, []string{"HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 5\r\n\r\nfirst", row.Answer})
			must.Eq(t, "first", ask(c, address, "first"))
			must.Eq(t, want, ask(c, address, "a"))
			must.Eq(t, 1, c.Dials())
			must.True(t, row.Sound || countIdle(c) == 0, must.Sprint("the connection is used again"))
			must.NoError(t, c.Stop(context.Background()))
		})
		t.Run(row.Name+", before a long request is read", func(t *testing.T) {
			address := serve(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				raw, last := strings.CutSuffix(row.Answer, "<close>")
				_, _ = io.WriteString(conn, raw)
				if tcp, ok := conn.(*net.TCPConn); ok && last {
					_ = tcp.CloseWrite()
				}
				_, _ = io.Copy(io.Discard, conn)
			})
			c := client()
			got, err := askLong(c, address, []byte(strings.Repeat("x", resetBodyBytes)))
			if err != nil {
				got = "error"
			}
			must.Eq(t, want, got)
			must.NoError(t, c.Stop(context.Background()))
		})
	}
}

// TestARefusedHeadIsNamed guards against logs that do not tell why an answer was refused.
func TestARefusedHeadIsNamed(t *testing.T) {
	_, _, err := readAnswerFrom(strings.NewReader("HTTP/1.1 200 OK\r\nId: a\r\nX Y: z\r\n\r\n"))
	must.ErrorIs(t, err, head.ErrMalformed)
	must.StrContains(t, err.Error(), `"X Y: z"`)
	_, _, err = readAnswerFrom(strings.NewReader("HTTP/1.1 000 None\r\nId: a\r\n\r\n"))
	must.ErrorIs(t, err, ErrNoStatus)
}
