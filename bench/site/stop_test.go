package site

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"

	"cyclamenford/core"
	"cyclamenford/io/caller"
	"cyclamenford/setup"
)

// TestRequestsLeftAtTheEndOfAShutdownGetAnAnswer guards against requests whose connections a stopping host closes without an answer,
// because they run or wait longer than its shutdown lasts.
func TestRequestsLeftAtTheEndOfAShutdownGetAnAnswer(t *testing.T) {
	d := SawtLoop()
	for i := range d.Endpoints {
		if d.Endpoints[i].Kind == core.Plain {
			d.Endpoints[i].Count, d.Endpoints[i].Slots, d.Endpoints[i].WorkMs = 1, 2, 10_000
		}
	}
	s, ctx := startSite(t, d, func(c *setup.Settings) { c.Callers.DrainMs, c.Callers.ShutdownMs = 100, 2*core.Second })
	var clients sync.WaitGroup
	// Two requests run, and the others wait.
	for i := range 6 {
		clients.Go(func() {
			r, err := s.Callers.Do(ctx, s.CallerHosts(0)[:1], caller.Request{
				Path: "/v1/services/plans/read", Key: s.Deployment.Keys["clinics"], Body: promptBody(i), DeadlineMs: 20 * core.Second,
			})
			test.NoError(t, err)
			test.Eq(t, core.ReasonHostStopping, r.Reason, test.Sprintf("%+v", r))
		})
	}
	time.Sleep(500 * time.Millisecond)
	test.NoError(t, s.Hosts[0].Stop(ctx))
	s.Hosts[0] = nil
	clients.Wait()
}
