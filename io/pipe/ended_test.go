package pipe

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/io/wall"
)

// latePause is the time between an answer and the late one behind it.
const latePause = 10 * time.Millisecond

// TestALateAnswerIsNoPartOfAnAnswerThatEndsWithItsConnection guards against the bytes of two answers that are taken for one body.
func TestALateAnswerIsNoPartOfAnAnswerThatEndsWithItsConnection(t *testing.T) {
	raw, err := os.ReadFile("testdata/late_answers.json")
	must.NoError(t, err)
	var rows []struct {
		Name string
		// Former is the answer to an earlier request on the connection, empty if there is none. Answer has no length, and Late comes behind it.
		Former, Answer, Late string
		// Want is the expected body, or "error".
		Want string
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			address := serve(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				for _, parts := range [][]string{{row.Former}, {row.Answer, row.Late}} {
					if parts[0] == "" {
						continue
					}
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					for _, part := range parts {
						_, _ = io.WriteString(c, part)
						time.Sleep(latePause)
					}
				}
			})
			client := New(Options{Clock: wall.New()})
			defer func() { must.NoError(t, client.Stop(context.Background())) }()
			if row.Former != "" {
				must.Eq(t, "one", ask(client, address, "z"))
			}
			must.Eq(t, row.Want, ask(client, address, "a"))
			must.Eq(t, 1, client.Dials())
		})
	}
}
