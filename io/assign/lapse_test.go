package assign

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/order"
	"cyclamenford/core/origin"
	"cyclamenford/core/state"
	cio "cyclamenford/io"
	"cyclamenford/io/keeper"
	"cyclamenford/io/meter"
)

// fakeLeader is a keeper whose leadership of term 1 the test switches on and off.
type fakeLeader struct{ leads atomic.Bool }

func (l *fakeLeader) Leading() (uint64, bool) { return 1, l.leads.Load() }
func (l *fakeLeader) Located() keeper.Located { return keeper.Located{Leading: l.leads.Load()} }
func (l *fakeLeader) Image() state.Image {
	return state.Image{Revision: 1, Config: state.Config{Version: 1, Doc: []byte("{}")}}
}

func (l *fakeLeader) Commit(context.Context, state.Command) (state.Reply, error) {
	return state.Reply{}, nil
}

func (l *fakeLeader) InForce(uint64) bool { return true }

func (l *fakeLeader) Versions(string) []string { return []string{""} }

func (l *fakeLeader) StreamVersion(string, origin.Stream) (string, bool) { return "", true }

func (l *fakeLeader) OtherVoters() []string { return nil }

func (l *fakeLeader) TransferLeadership(context.Context) (bool, error) { return false, nil }

// callHeader names a call, in its request and in its answer.
const callHeader = "Call"

// fakeDialect sends a call's request ID as JSON and takes the whole answer as the handle of its only result.
type fakeDialect struct{ cio.Dialect }

func (fakeDialect) ParseConfig([]byte) (conf.Config, error) {
	return conf.Config{Services: []conf.Service{
		{Name: "engine", Engine: &conf.Engine{Slots: 4, CacheTokens: 1000}},
		{Name: "desk"},
		{Name: "first", Pieces: &conf.Pieces{Slots: 1, Batch: 4, CallTime: 100, ItemTime: 1, Room: 1000, Keep: 4000}},
		{Name: "second", Pieces: &conf.Pieces{Slots: 1, Batch: 4, CallTime: 100, ItemTime: 1, Room: 1000, Keep: 4000}},
	}}, nil
}

func (fakeDialect) StageCall(_ core.EndpointID, id core.RequestID, items []order.Item) (cio.EndpointCall, error) {
	raw, err := json.Marshal(items[0].ID)
	return cio.EndpointCall{ID: id, Method: http.MethodPost, Path: "/run", Header: http.Header{callHeader: {string(id)}}, Body: raw}, err
}

func (fakeDialect) FreeResults(_ core.EndpointID, id core.RequestID, handles []string) (cio.EndpointCall, error) {
	body := []byte(strings.Join(handles, " "))
	return cio.EndpointCall{ID: id, Method: http.MethodPost, Path: "/free", Header: http.Header{callHeader: {string(id)}}, Body: body}, nil
}

func (fakeDialect) ParseStageResults(body []byte) ([]order.ItemResult, error) {
	return []order.ItemResult{{Handle: string(body)}}, nil
}

func (fakeDialect) ParseResponse(_ int, h http.Header) cio.EndpointResponse {
	return cio.EndpointResponse{ID: core.RequestID(h.Get(callHeader))}
}

// TestACallOfAFormerLeadershipIsNotTakenForANewOne guards against results that are attributed to the wrong call. The
// keeper loses its lease for longer than maxSuspension while a call runs and leads again in the same term. The next call gets the same
// number and must not receive the results of the earlier one.
func TestACallOfAFormerLeadershipIsNotTakenForANewOne(t *testing.T) {
	answer := map[string]chan struct{}{`"old"`: make(chan struct{}), `"new"`: make(chan struct{})}
	freed := make(chan string, 10)
	received := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := readStageCall(r, freed)
		if !ok {
			return
		}
		received <- body
		<-answer[body]
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte("result-of-" + strings.Trim(body, `"`)))
	}))
	defer server.Close()
	// The server can only be closed after its last call has ended.
	answerNew := sync.OnceFunc(func() { close(answer[`"new"`]) })
	defer answerNew()
	leader := &fakeLeader{}
	leader.leads.Store(true)
	a := newAssigner(leader, nil, meter.New(), &fakeControl{})
	join := func() {
		for _, e := range []order.Endpoint{
			{ID: "e1", Incarnation: 1, Address: "127.0.0.1:1", Service: "engine", Slots: 4},
			{ID: "f1", Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://"), Service: "first", Slots: 1},
		} {
			a.sched.SetEndpoint(a.clock.Now(), e, false)
		}
	}
	place := func(id core.RequestID, seq uint64) <-chan PlaceReply {
		done := make(chan PlaceReply, 1)
		go func() {
			var reply PlaceReply
			_ = (&calls{a}).Place(PlaceArgs{Ask: order.PlacementRequest{
				Key: order.Key{Host: "h", Life: 1, Seq: seq}, ID: id, Service: "engine", Aim: 20 * core.Second, Left: 20 * core.Second,
				MaxAttempts: 1, Stages: []order.StageRequest{{Service: "first", Pieces: 1, Bytes: 1}},
			}}, &reply)
			done <- reply
		}()
		return done
	}
	locked := func(f func()) {
		a.mu.Lock()
		defer a.mu.Unlock()
		f()
	}
	locked(func() { must.True(t, a.checkLeadership()); join() })
	old := place("old", 1)
	awaitWaiter(t, a)
	// A call that was not sent before the leadership was lost is not sent any more.
	must.Eq(t, `"old"`, <-received)
	leader.leads.Store(false)
	locked(func() { must.False(t, a.checkLeadership()) })
	time.Sleep(maxSuspension.Duration())
	locked(func() { must.False(t, a.checkLeadership()) })
	must.Nil(t, (<-old).Grant)
	leader.leads.Store(true)
	locked(func() { must.True(t, a.checkLeadership()); join() })
	fresh := place("new", 2)
	awaitWaiter(t, a)

	close(answer[`"old"`])
	select {
	case handle := <-freed:
		must.Eq(t, "result-of-old", handle)
	case reply := <-fresh:
		t.Fatalf("new request was granted with the results %v of the earlier call", reply.Grant.Inputs)
	}
	answerNew()
	reply := <-fresh
	must.NotNil(t, reply.Grant)
	must.Eq(t, []string{"result-of-new"}, reply.Grant.Inputs)
}

// TestABriefLapseOfTheLeaseKeepsRequestsAndResults guards against a scheduler that discards all work when its keeper's lease is renewed late.
func TestABriefLapseOfTheLeaseKeepsRequestsAndResults(t *testing.T) {
	answer := make(chan struct{})
	var sent atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		<-answer
		w.Header().Set(callHeader, r.Header.Get(callHeader))
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte("result"))
	}))
	defer server.Close()
	answerOnce := sync.OnceFunc(func() { close(answer) })
	defer answerOnce()
	leader := &fakeLeader{}
	leader.leads.Store(true)
	a := newAssigner(leader, nil, meter.New(), &fakeControl{})
	must.NoError(t, a.Start(t.Context()))
	defer func() { must.NoError(t, a.Stop(t.Context())) }()
	locked := func(f func()) {
		a.mu.Lock()
		defer a.mu.Unlock()
		f()
	}
	locked(func() {
		must.True(t, a.checkLeadership())
		a.sched.SetEndpoint(a.clock.Now(), order.Endpoint{ID: "e1", Incarnation: 1, Address: "127.0.0.1:1", Service: "engine", Slots: 4}, false)
		a.sched.SetEndpoint(a.clock.Now(), order.Endpoint{ID: "f1", Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://"), Service: "first", Slots: 1}, false)
	})
	place := func(seq uint64) <-chan PlaceReply {
		done := make(chan PlaceReply, 1)
		go func() {
			var reply PlaceReply
			_ = (&calls{assigner: a}).Place(PlaceArgs{Ask: order.PlacementRequest{
				Key: order.Key{Host: "h", Life: 1, Seq: seq}, ID: core.RequestID(rune('a' + seq)), Service: "engine", Aim: 20 * core.Second, Left: 20 * core.Second,
				MaxAttempts: 1, Stages: []order.StageRequest{{Service: "first", Pieces: 1, Bytes: 1}},
			}}, &reply)
			done <- reply
		}()
		return done
	}
	before := place(1)
	awaitWaiter(t, a)
	leader.leads.Store(false)
	locked(func() { must.False(t, a.checkLeadership()) })
	during := place(2)
	answerOnce()
	// The result arrives while the lease has lapsed.
	time.Sleep(100 * time.Millisecond)
	leader.leads.Store(true)
	for _, reply := range []PlaceReply{<-before, <-during} {
		must.NotNil(t, reply.Grant)
		must.Eq(t, []string{"result"}, reply.Grant.Inputs)
	}
	must.Eq(t, 2, sent.Load())
}

// awaitWaiter waits until a placement call is waiting for the current scheduler.
func awaitWaiter(t *testing.T, a *Assigner) {
	for range 1000 {
		a.mu.Lock()
		n := len(a.waiters)
		a.mu.Unlock()
		if n > 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("timed out waiting for the scheduler to accept a request")
}
