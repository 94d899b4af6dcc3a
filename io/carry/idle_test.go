package carry

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/io/dial"
	"cyclamenford/io/meter"
	"cyclamenford/io/trace"
)

// TestAStopDoesNotWaitForIdleCarriedConnections guards against a planned stop that waits for connections which hosts of serve keep for reuse.
func TestAStopDoesNotWaitForIdleCarriedConnections(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer endpoint.Close()
	host := startCarrier(t, nil, false)
	c := dial.New(nil, dialerWith(refuse, host).DialContext, trace.New(trace.Options{}), func(core.Life, dial.EndpointState) {}, nil, meter.New(), slog.New(slog.DiscardHandler))
	defer c.CloseIdle()
	c.Cancel(core.Target{Address: addressOf(endpoint)}, "a")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	must.NoError(t, host.server.Stop(ctx))
	must.Less(t, 5*time.Second, time.Since(began))
}

// TestAStoppingCarrierGetsNoNewRequests guards against requests that begin on a carrier which stops, and are cut at its end.
func TestAStoppingCarrierGetsNoNewRequests(t *testing.T) {
	var requests atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer endpoint.Close()
	host := startCarrier(t, nil, false)
	c := dial.New(nil, dialerWith(refuse, host).DialContext, trace.New(trace.Options{}), func(core.Life, dial.EndpointState) {}, nil, meter.New(), slog.New(slog.DiscardHandler))
	defer c.CloseIdle()
	c.Cancel(core.Target{Address: addressOf(endpoint)}, "a")
	host.carrier.Leave()
	c.Cancel(core.Target{Address: addressOf(endpoint)}, "b")
	must.Eq(t, 1, requests.Load())
}
