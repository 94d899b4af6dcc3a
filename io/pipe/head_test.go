package pipe

import (
	"context"
	"io"
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

// TestMalformedHeads guards against malformed heads that are taken for an answer, and against reusing their connections.
func TestMalformedHeads(t *testing.T) {
	raw, err := os.ReadFile("testdata/heads.json")
	must.NoError(t, err)
	var rows []struct {
		Name, Answer string
		// Sound means that the answer is the one to the request; its body is "one".
		Sound bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			address := endpoint(t, []string{row.Answer})
			client := New(Options{Clock: wall.New()})
			defer func() { must.NoError(t, client.Stop(context.Background())) }()
			if row.Sound {
				must.Eq(t, "one", ask(client, address, "a"))
				return
			}
			must.Eq(t, "error", ask(client, address, "a"))
			must.MapEmpty(t, client.idle, must.Sprint("connections that are used again"))
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
