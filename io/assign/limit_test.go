package assign

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
	"cyclamenford/io/meter"
	"cyclamenford/io/permit"
)

// TestStageCallDoesNotUseAnOldPermit guards against more calls to an endpoint than its limit when calls wait long for their trial.
func TestStageCallDoesNotUseAnOldPermit(t *testing.T) {
	arrived := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set("Content-Type", "application/json")
	}))
	defer server.Close()
	leader := &fakeLeader{}
	leader.leads.Store(true)
	a := newAssigner(leader, nil, meter.New(), &fakeControl{})
	life := core.Life{Endpoint: "f1", Incarnation: 7}
	now := a.clock.Now()
	a.permits.Record(limit.NewReport(now, life, limit.Named(1), limit.Span{SentAt: now, HeardAt: now}), "")
	c := order.Call{
		Endpoint: life.Endpoint, Life: life.Incarnation, Address: strings.TrimPrefix(server.URL, "http://"),
		Items: []order.Item{{ID: "r"}}, Permitted: true,
	}
	_, outcome, err := a.sendStageCall(c, now-permit.Validity)
	must.NoError(t, err)
	must.Eq(t, order.Rejected, outcome)
	must.Zero(t, arrived.Load())
	_, outcome, err = a.sendStageCall(c, a.clock.Now())
	must.NoError(t, err)
	must.Eq(t, order.Served, outcome)
	must.One(t, arrived.Load())
}

// TestStageCallNeedsAPermitForEachPiece guards against calls to an endpoint that may be cold with more pieces than its bound
// allows, with a permit that has expired, or after the bound is not known any more.
func TestStageCallNeedsAPermitForEachPiece(t *testing.T) {
	arrived := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set("Content-Type", "application/json")
	}))
	defer server.Close()
	leader := &fakeLeader{}
	leader.leads.Store(true)
	a := newAssigner(leader, nil, meter.New(), &fakeControl{})
	life := core.Life{Endpoint: "f1", Incarnation: 7}
	c := order.Call{
		Endpoint: life.Endpoint, Life: life.Incarnation, Address: strings.TrimPrefix(server.URL, "http://"),
		Items: []order.Item{{ID: "r"}, {ID: "r", Piece: 1}}, Permitted: true, Bounded: true,
	}
	send := func(age core.Millis) order.AttemptOutcome {
		// The answer to a call that is sent holds no results, which is its own error.
		_, outcome, _ := a.sendStageCall(c, a.clock.Now()-age)
		return outcome
	}
	must.Eq(t, order.Rejected, send(permit.BoundValidity))
	a.permits.SetBound(a.clock.Now(), life, limit.WarmBound(0.001))
	must.Eq(t, order.Rejected, send(permit.BoundValidity))
	must.Zero(t, arrived.Load())
	must.NotEq(t, order.Rejected, send(0))
	must.One(t, arrived.Load())
}
