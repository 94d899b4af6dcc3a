package listen

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/kept"
)

// leavingServer returns a started server that answers each request when release closes, and a client that has an open connection.
func leavingServer(t *testing.T, release <-chan struct{}) (*Server, *kept.Conn) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
		fmt.Fprint(w, r.Header.Get("Id"))
	})
	s := New(Options{Name: "test", Address: "127.0.0.1:0"}, handler, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Start(context.Background()))
	c, err := kept.Dial(s.Addr().String(), nil)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return s, c
}

// TestClientsOfALeavingServerLearnItFromTheirNextAnswer guards against open connections that are closed while their clients may use them.
func TestClientsOfALeavingServerLearnItFromTheirNextAnswer(t *testing.T) {
	release := make(chan struct{})
	s, busy := leavingServer(t, release)
	idle, err := kept.Dial(s.Addr().String(), nil)
	must.NoError(t, err)
	answered := make(chan error)
	request := post(t, "busy")
	go func() {
		_, _, err := busy.Ask(request, testTimeout)
		answered <- err
	}()
	for s.handlers.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Leave()
	close(release)
	must.NoError(t, <-answered)
	must.True(t, busy.Closing(), must.Sprint("a request in progress"))
	_, _, err = idle.Ask(post(t, "idle"), testTimeout)
	must.NoError(t, err)
	must.True(t, idle.Closing(), must.Sprint("the next request of an idle connection"))
	must.NoError(t, s.Stop(context.Background()))
}

// TestSilentConnectionsDoNotHoldUpAStop guards against a stop that waits for connections on which nothing comes.
func TestSilentConnectionsDoNotHoldUpAStop(t *testing.T) {
	release := make(chan struct{})
	close(release)
	s, used := leavingServer(t, release)
	_, _, err := used.Ask(post(t, "1"), testTimeout)
	must.NoError(t, err)
	for range 3 {
		c, err := net.Dial("tcp", s.Addr().String())
		must.NoError(t, err)
		defer func() { _ = c.Close() }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	must.NoError(t, s.Stop(ctx))
}

// TestARequestThatArrivesSlowlyDuringAStopIsAnswered guards against connections that are closed between two packets of a request.
func TestARequestThatArrivesSlowlyDuringAStopIsAnswered(t *testing.T) {
	release := make(chan struct{})
	close(release)
	s, _ := leavingServer(t, release)
	c, err := net.Dial("tcp", s.Addr().String())
	must.NoError(t, err)
	must.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	text := "POST / HTTP/1.1\r\nHost: a\r\nId: slow\r\nContent-Length: 4\r\n\r\nbody"
	_, err = io.WriteString(c, text[:2])
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	stopped := make(chan error)
	go func() { stopped <- s.Stop(context.Background()) }()
	for _, part := range strings.SplitAfter(text[2:], "\n") {
		time.Sleep(10 * time.Millisecond)
		_, err := io.WriteString(c, part)
		must.NoError(t, err)
	}
	answer, err := io.ReadAll(c)
	must.NoError(t, err)
	must.StrContains(t, string(answer), "200 OK")
	must.StrHasSuffix(t, "slow", string(answer))
	must.NoError(t, <-stopped)
}

// TestAnEarlyAnswerIsReadWhileItsRequestIsStillSent guards against a connection that is closed with unread bytes, whose reset takes the
// answer away.
func TestAnEarlyAnswerIsReadWhileItsRequestIsStillSent(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	s := New(Options{Name: "test", Address: "127.0.0.1:0"}, handler, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Start(context.Background()))
	s.Leave()
	c, err := net.Dial("tcp", s.Addr().String())
	must.NoError(t, err)
	must.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat("x", 8<<10))
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, strings.Repeat("x", 8<<10))
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	answer := make([]byte, 12)
	_, err = io.ReadFull(c, answer)
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 503", string(answer))
	must.NoError(t, s.Stop(context.Background()))
}
