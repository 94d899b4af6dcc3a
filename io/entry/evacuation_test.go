package entry

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/conf"
	"cyclamenford/core/door"
	"cyclamenford/core/order"
	"cyclamenford/core/roll"
	"cyclamenford/core/state"
	relay "cyclamenford/io"
	"cyclamenford/io/meter"
	"cyclamenford/io/pipe"
)

// imageControl holds the control state of a test.
type imageControl struct {
	Control
	machine *state.Machine
}

func (c imageControl) Image() state.Image { return c.machine.Image() }

// TestAGrantThatWasNotSentIsReturnedAfterAnOrder guards against grants that were received before an evacuation and are sent after it, also
// those of a scheduler of an earlier release, which do not name the failure domain.
func TestAGrantThatWasNotSentIsReturnedAfterAnOrder(t *testing.T) {
	control, now, log := imageControl{machine: state.New()}, clock.New(100), slog.New(slog.DiscardHandler)
	chooser := newEndpointChooser(door.Settings{}, control, nil, newPendingCalls(), nil, now, meter.New(), log)
	chooser.door.ApplyPage(1, roll.Page{Term: 1, Whole: true, Listed: []roll.Listed{
		{Endpoint: order.Endpoint{ID: "p", Incarnation: 1, Service: "plain", FailureDomain: "a"}},
	}})
	r := &request{entry: &Entry{control: control, chooser: chooser, clock: now, meter: meter.New(), log: log}, service: "plain"}
	here := &order.Grant{Endpoint: "e", Life: 1, FailureDomain: "a"}
	there := &order.Grant{Endpoint: "f", Life: 1, FailureDomain: "b"}
	unnamed := &order.Grant{Endpoint: "p", Life: 1}
	must.False(t, r.isUnusable(here))
	control.machine.Apply(1, state.Command{SetEvacuation: &state.SetEvacuation{FailureDomain: "a", On: true}})
	must.True(t, r.isUnusable(here))
	must.True(t, r.isUnusable(unnamed))
	must.False(t, r.isUnusable(there))
	must.Eq(t, order.NotSent, r.replacementArgs(here).How)

	chooser.door.SetEvacuated(control.Image().EvacuatedDomains())
	_, problem := r.choose(false)
	must.Eq(t, core.ReasonEvacuated, problem.Reason)
	must.Eq(t, core.NotRun, problem.Outcome)
	must.Between(t, core.Second, problem.RetryAfter, 5*core.Second)
	control.machine.Apply(2, state.Command{SetEvacuation: &state.SetEvacuation{FailureDomain: "a"}})
	must.False(t, r.isUnusable(here))
}

// plainDialect adds no header to requests, and takes each response for a refusal.
type plainDialect struct{ relay.Dialect }

func (plainDialect) RequestHeader(http.Header, relay.EndpointRequest) http.Header {
	return http.Header{}
}

func (plainDialect) ParseResponse(int, http.Header) relay.EndpointResponse {
	return relay.EndpointResponse{NotRun: true}
}

// TestAHostThatStoodStillAfterItsChecksSendsNothing guards against a request that reaches an endpoint long after an evacuation, because its
// host was frozen between its checks and the write to the connection.
func TestAHostThatStoodStillAfterItsChecksSendsNothing(t *testing.T) {
	arrived := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
	defer server.Close()
	now := clock.New(1000)
	client := pipe.New(pipe.Options{Clock: now})
	defer func() { must.NoError(t, client.Stop(t.Context())) }()
	r := &request{
		entry: &Entry{clock: now, pipe: client, dialect: plainDialect{}, shutdown: newShutdown(now), meter: meter.New(), log: slog.New(slog.DiscardHandler)},
		route: conf.Route{}, deadline: 60 * core.Second, httpRequest: httptest.NewRequest(http.MethodGet, "/", nil),
	}
	r.sending.checkedAt = now.Now()
	now.Advance(5 * core.Second)
	ending, done := r.attempt(t.Context(), &order.Grant{Endpoint: "e", Life: 1, Address: strings.TrimPrefix(server.URL, "http://")}, &answerWriter{})
	must.Eq(t, order.NotSent, ending)
	must.False(t, done)
	must.Zero(t, arrived)
}
