package dial

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/io/meter"
	"cyclamenford/io/trace"
)

const (
	// brokenUploadBytes is the length of a run that an endpoint has not read when it breaks off, and brokenReadBuffer that endpoint's
	// receive buffer.
	brokenUploadBytes = 1 << 20
	brokenReadBuffer  = 32 << 10
	// brokenEndPause lets an answer arrive before its connection is reset.
	brokenEndPause = 5 * time.Millisecond
)

// brokenRow is an answer to any call.
type brokenRow struct {
	Name string
	// Status follows the protocol in the status line, "200 OK" if it is empty. Lines are lines of the head.
	Status string
	Lines  []string
	// Framing is the line that frames the body, with %d for its length. Closes means that the connection ends behind the body.
	Framing string
	Closes  bool
	// Ends is how the endpoint breaks off within the body, before it has read the request: "reset", or "half closed" and reset then.
	Ends string
	// Sound means that the answer is not broken.
	Sound bool
	// early means that the answer comes before the request is read.
	early bool
}

// soundAnswers holds the type and the body of the sound answer to each call.
var soundAnswers = map[string]struct{ kind, body string }{
	"Run":    {"application/json", `{"RequestID":"r","AttemptID":"a","Output":1}`},
	"Once":   {"application/json", `{"RequestID":"r","AttemptID":"a","Output":1}`},
	"Stream": {"text/event-stream", "id: 1\ndata: {\"Text\":\"x\"}\n\nevent: done\ndata: {\"Count\":1,\"Checksum\":\"y\"}\n\n"},
	"Resume": {"text/event-stream", "id: 1\ndata: {\"Text\":\"x\"}\n\nevent: done\ndata: {\"Count\":1,\"Checksum\":\"y\"}\n\n"},
	"Probe":  {"application/json", `{"ID":"e","Incarnation":7}`},
	"Ran":    {"application/json", `{"Key":"k","Output":1}`},
	"Order":  {"application/json", `{"Fence":3}`},
	"Cancel": {"text/plain", "ended"},
}

// serve answers the requests on a connection: the first one soundly if the row is for a later one.
func (row brokenRow) serve(c net.Conn, name string, later bool) {
	defer func() { _ = c.Close() }()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(brokenReadBuffer)
	}
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		sent := row
		if later && n == 0 {
			sent = brokenRow{Framing: "Content-Length: %d"}
		}
		if sent.Ends == "" && !sent.early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if !sent.answer(c, name) && !sent.early {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || sent.early {
			return
		}
	}
}

// answer writes the answer to a call and reports whether the connection goes on.
func (row brokenRow) answer(c net.Conn, name string) bool {
	sound := soundAnswers[name]
	body := sound.body
	lines := append([]string{"HTTP/1.1 " + cmp.Or(row.Status, "200 OK"), "Content-Type: " + sound.kind, "Attempt-Id: a", "Server-Leaving: 1"}, row.Lines...)
	switch {
	case strings.Contains(row.Framing, "%d"):
		lines = append(lines, fmt.Sprintf(row.Framing, len(body)))
	case row.Framing != "":
		lines = append(lines, row.Framing)
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case row.Ends != "":
		body = body[:strings.LastIndexAny(body[:len(body)-2], ",\n")+1]
	}
	_, _ = io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
	tcp, ok := c.(*net.TCPConn)
	if !ok || row.Ends == "" {
		return row.Framing != "" && !row.Closes
	}
	if row.Ends == "half closed" {
		_ = tcp.CloseWrite()
	}
	time.Sleep(brokenEndPause)
	_ = tcp.SetLinger(0)
	return false
}

// callWhole makes a call and reads the whole answer. It reports whether the answer was accepted as whole.
func callWhole(c *Client, name string, target core.Target) (bool, error) {
	ctx := context.Background()
	run := Run{RequestID: "r", AttemptID: "a", Input: json.RawMessage(strconv.Quote(strings.Repeat("u", brokenUploadBytes)))}
	var s *Stream
	var err error
	switch name {
	case "Run", "Once":
		_, err = c.Call(ctx, target, run, name == "Run")
	case "Stream":
		s, err = c.Stream(ctx, target, run)
	case "Resume":
		s, err = c.Resume(ctx, target, "a", 1)
	default:
		accepted, _ := call(c, name, target)
		return accepted, nil
	}
	if s == nil {
		return err == nil, err
	}
	defer s.Close()
	for {
		e, err := s.Next()
		if err != nil || e.Done {
			return err == nil, err
		}
	}
}

// listenBroken starts an endpoint that sends an answer to each call, or only to the later ones on a connection, and returns its address.
func listenBroken(t *testing.T, row brokenRow, name string, later bool, config *tls.Config) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	if config != nil {
		l = tls.NewListener(l, config)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go row.serve(c, name, later)
		}
	}()
	return l.Addr().String()
}

// playBroken makes a call whose answer is that of the row, on a connection that has carried a sound answer if later is set.
func playBroken(t *testing.T, row brokenRow, name string, later bool, server, client *tls.Config) {
	states := 0
	c := New(client, nil, trace.New(trace.Options{}), func(core.Life, EndpointState) { states++ }, nil, meter.New(), slog.New(slog.DiscardHandler))
	defer func() { must.NoError(t, c.Stop(context.Background())) }()
	target := core.Target{Life: core.Life{Endpoint: "e", Incarnation: 7}, Address: listenBroken(t, row, name, later, server)}
	if later {
		accepted, err := callWhole(c, name, target)
		must.True(t, accepted, must.Sprint(err))
		states = 0
	}
	accepted, err := callWhole(c, name, target)
	// Nothing of a cancellation's answer is used but its notices.
	must.Eq(t, row.Sound || name == "Cancel", accepted, must.Sprint(err))
	if row.Ends == "" {
		must.Eq(t, row.Sound, states > 0, must.Sprint("notices are believed"))
	}
	var refused *Error
	if errors.As(err, &refused) {
		must.Eq(t, core.Unknown, refused.Outcome)
	}
}

// TestBrokenAnswersAreRefused guards against results, events and notices of broken answers, on new and on reused connections.
func TestBrokenAnswersAreRefused(t *testing.T) {
	raw, err := os.ReadFile("testdata/broken_answers.json")
	must.NoError(t, err)
	var rows []brokenRow
	must.NoError(t, strict.Decode(raw, &rows))
	secured := httptest.NewTLSServer(nil)
	defer secured.Close()
	transport, ok := secured.Client().Transport.(*http.Transport)
	must.True(t, ok)
	for _, row := range rows {
		for name := range soundAnswers {
			t.Run(name+", "+row.Name, func(t *testing.T) { playBroken(t, row, name, false, nil, nil) })
			if reused := name == "Run" || name == "Stream" || name == "Resume"; reused {
				t.Run(name+" on a reused connection, "+row.Name, func(t *testing.T) { playBroken(t, row, name, true, nil, nil) })
			}
			if long := name == "Run" || name == "Once" || name == "Stream"; long && row.Ends == "" {
				early := row
				early.early = true
				t.Run(name+" before it is read, "+row.Name, func(t *testing.T) { playBroken(t, early, name, false, nil, nil) })
			}
			if row.Ends == "" {
				t.Run(name+" by TLS, "+row.Name, func(t *testing.T) { playBroken(t, row, name, false, secured.TLS, transport.TLSClientConfig) })
			}
		}
	}
}
