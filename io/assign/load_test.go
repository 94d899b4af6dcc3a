package assign

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	cio "cyclamenford/io"
	"cyclamenford/io/keeper"
	"cyclamenford/io/meter"
)

// loadDialect reads the same load report from every answer.
type loadDialect struct {
	fakeDialect
	report order.LoadReport
}

func (d loadDialect) ParseResponse(int, http.Header) cio.EndpointResponse {
	return cio.EndpointResponse{Load: d.report}
}

// TestLoadReportsReachTheScheduler guards against reports that are lost on one of their ways: with the first byte, with the end of an attempt,
// with the ask for another endpoint, and in answers to the leader's own calls. Those of an earlier incarnation must change nothing.
func TestLoadReportsReachTheScheduler(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	report := order.LoadReport{Stated: true, Running: 1, Slots: 4, Slowness: 2.5}
	key := order.Key{Host: "h", Life: 1, Seq: 1}
	life, former := core.Life{Endpoint: "f1", Incarnation: 7}, core.Life{Endpoint: "f1", Incarnation: 6}
	tell := func(a *Assigner, e RequestEvent) {
		must.NoError(t, (&calls{a}).Tell(EventsArgs{Host: "h", Events: []RequestEvent{e}}, &keeper.Located{}))
	}
	rows := []struct {
		name string
		send func(a *Assigner)
		used bool
	}{
		{"first byte", func(a *Assigner) { tell(a, RequestEvent{Key: key, Began: true, Attempt: 1, Life: life, Load: report}) }, true},
		{"end", func(a *Assigner) { tell(a, RequestEvent{Key: key, How: order.Erred, Life: life, Load: report}) }, true},
		{"earlier incarnation", func(a *Assigner) { tell(a, RequestEvent{Key: key, Began: true, Life: former, Load: report}) }, false},
		{"another endpoint is asked for", func(a *Assigner) {
			must.NoError(t, (&calls{a}).Again(AgainArgs{Key: key, How: order.Rejected, Notice: &RequestEvent{Key: key, Life: life, Load: report}}, &PlaceReply{}))
		}, true},
		{"call of the leader", func(a *Assigner) {
			a.dialect = loadDialect{report: report}
			a.freeResults(order.Free{Life: life, Address: strings.TrimPrefix(server.URL, "http://"), Handles: []string{"h"}})
		}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			leader := &fakeLeader{}
			leader.leads.Store(true)
			a := newAssigner(leader, nil, meter.New(), &fakeControl{})
			e := order.Endpoint{ID: "f1", Incarnation: 7, Address: strings.TrimPrefix(server.URL, "http://"), Service: "first", Slots: 1}
			must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: e, Seq: 1}, &AnnounceReply{}))
			row.send(a)
			a.mu.Lock()
			defer a.mu.Unlock()
			slowdown, _ := a.sched.AssumedSpeed(a.clock.Now(), "f1")
			must.Eq(t, row.used, slowdown > 1, must.Sprint(slowdown))
		})
	}
}
