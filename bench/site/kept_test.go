package site

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/kept"
	"cyclamenford/core"
	"cyclamenford/io/certs"
	"cyclamenford/io/meter"
	"cyclamenford/setup"
)

const (
	// keptClients is the number of open connections at each stop, and keptStops the number of stops.
	keptClients = 256
	keptStops   = 6
	// keptDrain is the drain time of the host, at the end of which it closes its listener. Requests are sent within keptSpread after
	// the beginning or the end of it.
	keptDrain   = core.Millis(20)
	keptSpread  = 4 * time.Millisecond
	keptTimeout = 10 * time.Second
	// extraHeaders is the number of further headers of a request, whose head takes longer to parse with them.
	extraHeaders = 200
)

// TestRequestsOnOpenConnectionsAreAnsweredWhenTheirHostStops guards against connections that a stopping host closes although it has
// read their request.
func TestRequestsOnOpenConnectionsAreAnsweredWhenTheirHostStops(t *testing.T) {
	files := writeSelfSignedCert(t)
	config, err := certs.NewClientConfig(files)
	must.NoError(t, err)
	config.ServerName = "127.0.0.1"
	for _, row := range []struct {
		name   string
		server certs.Files
		client *tls.Config
	}{{name: "plain"}, {"TLS", files, config}} {
		t.Run(row.name, func(t *testing.T) {
			s, ctx := startSite(t, SawtLoop(), func(c *setup.Settings) { c.Callers.DrainMs, c.Tls.Callers = keptDrain, row.server })
			handled, answered := 0, 0
			for range keptStops {
				h, a := s.stopBesideRequests(ctx, t, row.client)
				handled, answered = handled+h, answered+a
			}
			must.Positive(t, answered)
			must.Eq(t, handled, answered, must.Sprintf("of %d requests, handled and answered", keptStops*keptClients))
		})
	}
}

// stopBesideRequests stops the last host while requests are sent on open connections, and starts it again. It returns how many
// requests the host has handled, by its own count, and how many were answered.
func (s *Site) stopBesideRequests(ctx context.Context, t *testing.T, config *tls.Config) (handled, answered int) {
	n := len(s.Hosts) - 1
	clients := make([]*kept.Conn, keptClients)
	for i := range clients {
		c, err := kept.Dial(s.Addresses[n].Callers, config)
		must.NoError(t, err)
		defer func() { _ = c.Close() }()
		r, err := http.NewRequest(http.MethodGet, "http://host/readyz", nil)
		must.NoError(t, err)
		_, _, err = c.Ask(r, keptTimeout)
		must.NoError(t, err)
		clients[i] = c
	}
	stopAt := time.Now().Add(20 * time.Millisecond)
	var answers atomic.Int64
	var wg sync.WaitGroup
	for i, c := range clients {
		r := s.keptRequest(t, i)
		wg.Go(func() {
			time.Sleep(time.Until(stopAt) + time.Duration(i%2)*keptDrain.Duration() + rand.N(keptSpread))
			if _, _, err := c.Ask(r, keptTimeout); err == nil {
				answers.Add(1)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	host := s.Hosts[n]
	must.NoError(t, host.Stop(ctx))
	s.Hosts[n] = nil
	wg.Wait()
	must.NoError(t, s.StartHost(ctx, n))
	must.NoError(t, s.AwaitReady(ctx))
	return countHandled(t, host.Meter()), int(answers.Load())
}

// countHandled returns the number of requests that a host has handled, whatever their result.
func countHandled(t *testing.T, m *meter.Meter) int {
	var text strings.Builder
	must.NoError(t, m.Write(&text))
	sum := 0
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "requests_total{") {
			count, err := strconv.Atoi(strings.TrimSpace(line[strings.LastIndex(line, " "):]))
			must.NoError(t, err)
			sum += count
		}
	}
	return sum
}

// keptRequest returns a call of a plain service or, for odd numbers, a request to a pipeline.
func (s *Site) keptRequest(t *testing.T, n int) *http.Request {
	path := []string{"/v1/services/plans/read", "/v1/pipelines/checklist"}[n%2]
	r, err := http.NewRequest(http.MethodPost, "http://host"+path, bytes.NewReader(promptBody(rand.IntN(1000))))
	must.NoError(t, err)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+s.Deployment.Keys["clinics"])
	for i := range extraHeaders {
		r.Header.Set(fmt.Sprint("Extra-", i), "x")
	}
	return r
}
