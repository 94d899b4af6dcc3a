package listen

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/kept"
	"cyclamenford/bench/strict"
	"cyclamenford/core"
)

const (
	testConnections = 64
	testTimeout     = 10 * time.Second
	// sendSpread is the time before and after the stop within which the requests are sent.
	sendSpread = 2 * time.Millisecond
)

// stopCase is one way in which open connections end while requests are sent on them.
type stopCase struct {
	Name string
	// Rounds is how many servers are stopped.
	Rounds int
	// Leave means that the server begins to leave before it stops, and EndIdle that it also ends idle connections then.
	Leave, EndIdle bool
	Tls            bool
	// IdleMs is the idle timeout of the server, which is not stopped then until all requests were sent.
	IdleMs core.Millis
}

// readRecord is a handler that records the requests that it has read whole.
type readRecord struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *readRecord) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < testBodyBytes {
		return
	}
	id := r.Header.Get("Id")
	s.mu.Lock()
	s.ids[id] = true
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
	fmt.Fprint(w, id)
}

// TestRequestsReadWholeAtAStopAreAnswered guards against connections that are closed beneath a handler, since they counted as
// idle while their next request was read.
func TestRequestsReadWholeAtAStopAreAnswered(t *testing.T) {
	raw, err := os.ReadFile("testdata/stops.json")
	must.NoError(t, err)
	var cases []stopCase
	must.NoError(t, strict.Decode(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			read, lost := 0, 0
			for range c.Rounds {
				r, n := playStop(t, c)
				read, lost = read+r, lost+n
			}
			t.Logf("of %d requests %d were read whole", c.Rounds*testConnections, read)
			must.Zero(t, lost, must.Sprintf("of %d requests that were read whole, not answered", read))
			must.Positive(t, read)
			must.Less(t, c.Rounds*testConnections, read, must.Sprint("some requests come too late"))
		})
	}
}

// playStop stops a server while requests are sent on its open connections. It returns the numbers of requests that were read whole,
// and of those that were not answered.
func playStop(t *testing.T, c stopCase) (read, lost int) {
	record := &readRecord{ids: map[string]bool{}}
	o := Options{Name: "test", Address: "127.0.0.1:0", IdleTimeout: c.IdleMs}
	var clientTls *tls.Config
	if c.Tls {
		o.Tls, clientTls = testCertificate(), &tls.Config{InsecureSkipVerify: true}
	}
	s := New(o, record, slog.New(slog.DiscardHandler))
	must.NoError(t, s.Start(context.Background()))
	clients, idleSince := make([]*kept.Conn, testConnections), make([]time.Time, testConnections)
	for i := range clients {
		var err error
		clients[i], err = kept.Dial(s.Addr().String(), clientTls)
		must.NoError(t, err)
		_, _, err = clients[i].Ask(post(t, "first"), testTimeout)
		must.NoError(t, err)
		idleSince[i] = time.Now()
	}
	stopAt := time.Now().Add(20 * time.Millisecond)
	answered := make([]bool, len(clients))
	var wg sync.WaitGroup
	for i, client := range clients {
		id := fmt.Sprint(i)
		request, sendAt := post(t, id), stopAt
		if c.IdleMs > 0 {
			sendAt = idleSince[i].Add(c.IdleMs.Duration())
		}
		wg.Go(func() {
			time.Sleep(time.Until(sendAt) + time.Duration(rand.Int64N(int64(2*sendSpread))) - sendSpread)
			_, body, err := client.Ask(request, testTimeout)
			answered[i] = err == nil && body == id
		})
	}
	time.Sleep(time.Until(stopAt))
	if c.IdleMs > 0 {
		wg.Wait()
	}
	if c.Leave {
		s.Leave()
		if c.EndIdle {
			s.EndIdle()
		}
		time.Sleep(sendSpread)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	must.NoError(t, s.Stop(ctx))
	wg.Wait()
	for i, ok := range answered {
		_ = clients[i].Close()
		if !record.ids[fmt.Sprint(i)] {
			continue
		}
		read++
		if !ok {
			lost++
		}
	}
	return read, lost
}

func testCertificate() *tls.Config {
	s := httptest.NewUnstartedServer(nil)
	s.StartTLS()
	defer s.Close()
	return &tls.Config{Certificates: s.TLS.Certificates}
}
