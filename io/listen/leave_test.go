package listen

import (
	"context"
	"crypto/tls"
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
	"cyclamenford/core"
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

// stopSoon stops a server that has no reason to wait for long.
func stopSoon(t *testing.T, s *Server) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*retiredReadTimeout)
	defer cancel()
	must.NoError(t, s.Stop(ctx))
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
	stopSoon(t, s)
}

// TestSilentConnectionsDoNotHoldUpAStop guards against a stop that waits for connections on which no further request comes.
func TestSilentConnectionsDoNotHoldUpAStop(t *testing.T) {
	for _, row := range []struct {
		name string
		// asked means that a request was answered, and sent is what came after it.
		asked bool
		sent  string
		tls   uint16
	}{
		{name: "no byte"},
		{name: "no further byte", asked: true},
		{name: "one byte of a request", sent: "G"},
		{name: "a line end after an answer", asked: true, sent: "\r\n"},
		{name: "a part of a head", asked: true, sent: "GET / HTTP/1.1\r\nHost:"},
		{name: "a handshake of TLS 1.2", tls: tls.VersionTLS12},
		{name: "a handshake of TLS 1.3", tls: tls.VersionTLS13},
	} {
		t.Run(row.name, func(t *testing.T) {
			o := Options{Name: "test", Address: "127.0.0.1:0", HeaderTimeout: 10 * core.Second, IdleTimeout: 60 * core.Second}
			var config *tls.Config
			if row.tls > 0 {
				o.Tls, config = testCertificate(), &tls.Config{InsecureSkipVerify: true, MaxVersion: row.tls}
			}
			s := New(o, http.NotFoundHandler(), slog.New(slog.DiscardHandler))
			must.NoError(t, s.Start(context.Background()))
			c, err := kept.Dial(s.Addr().String(), config)
			must.NoError(t, err)
			defer func() { _ = c.Close() }()
			if row.asked {
				_, _, err := c.Ask(post(t, "1"), testTimeout)
				must.NoError(t, err)
			}
			must.NoError(t, c.Send(row.sent))
			time.Sleep(50 * time.Millisecond)
			stopSoon(t, s)
		})
	}
}

// TestStopsWithoutConnectionsReturnNoError guards against a listener that is closed twice.
func TestStopsWithoutConnectionsReturnNoError(t *testing.T) {
	must.NoError(t, New(Options{Name: "test"}, nil, slog.New(slog.DiscardHandler)).Stop(context.Background()))
	for range 1000 {
		s := New(Options{Name: "test", Address: "127.0.0.1:0"}, http.NotFoundHandler(), slog.New(slog.DiscardHandler))
		must.NoError(t, s.Start(context.Background()))
		stopSoon(t, s)
	}
}

// TestTooLargeRequestsAreAnsweredAtOnce guards against an answer that waits for the rest of a body that nobody reads.
func TestTooLargeRequestsAreAnsweredAtOnce(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(MaxBytesReader(w, r.Body, 1000)); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	s := New(Options{Name: "test", Address: "127.0.0.1:0"}, handler, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Start(context.Background()))
	c, err := net.Dial("tcp", s.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 2000))
	must.NoError(t, err)
	answer := make([]byte, 12)
	_, err = io.ReadFull(c, answer)
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 413", string(answer))
	stopSoon(t, s)
}

// TestStreamsOfALeavingServerEndTheirConnections guards against a stream whose header does not tell that the connection ends, since
// it was flushed before anything was written.
func TestStreamsOfALeavingServerEndTheirConnections(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = http.NewResponseController(w).Flush()
		fmt.Fprint(w, "event")
	})
	s := New(Options{Name: "test", Address: "127.0.0.1:0"}, handler, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Start(context.Background()))
	c, err := kept.Dial(s.Addr().String(), nil)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	s.Leave()
	_, body, err := c.Ask(post(t, "1"), testTimeout)
	must.NoError(t, err)
	must.Eq(t, "event", body)
	must.True(t, c.Closing())
	stopSoon(t, s)
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
	stopSoon(t, s)
}
