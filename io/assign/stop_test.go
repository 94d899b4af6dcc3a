package assign

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/meter"
)

// TestALeaderStopsWhileStagesHaveWork guards against a keeper that leads until it is killed, because requests go on starting stage calls
// while it waits for the earlier ones.
func TestALeaderStopsWhileStagesHaveWork(t *testing.T) {
	for name, callTime := range map[string]time.Duration{"short calls": 100 * time.Millisecond, "a long call": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(callTime)
				w.Header().Set(callHeader, r.Header.Get(callHeader))
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte("result"))
			}))
			defer server.Close()
			leader := &fakeLeader{}
			leader.leads.Store(true)
			a := newAssigner(leader, nil, meter.New(), &fakeControl{})
			must.NoError(t, a.Start(t.Context()))
			a.mu.Lock()
			must.True(t, a.checkLeadership())
			a.sched.SetEndpoint(a.clock.Now(), order.Endpoint{ID: "e1", Incarnation: 1, Address: "127.0.0.1:1", Service: "engine", Slots: 4}, false)
			a.sched.SetEndpoint(a.clock.Now(), order.Endpoint{ID: "f1", Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://"), Service: "first", Slots: 1}, false)
			a.mu.Unlock()
			stopped, ended := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				for seq := uint64(1); ; seq++ {
					select {
					case <-stopped:
						return
					case <-time.After(20 * time.Millisecond):
					}
					go func() {
						var reply PlaceReply
						_ = (&calls{assigner: a}).Place(PlaceArgs{Ask: order.PlacementRequest{
							Key: order.Key{Host: "h", Life: 1, Seq: seq}, ID: core.RequestID(strings.Repeat("x", int(seq))), Service: "engine",
							Aim: 20 * core.Second, Left: 20 * core.Second,
							MaxAttempts: 1, Stages: []order.StageRequest{{Service: "first", Pieces: 1, Bytes: 1}},
						}}, &reply)
					}()
				}
			}()
			time.Sleep(time.Second)
			awaitWaiter(t, a)
			done := make(chan error, 1)
			go func() { done <- a.Stop(t.Context()) }()
			select {
			case err := <-done:
				must.NoError(t, err)
			case <-time.After(2*stopCallWait.Duration() + 500*time.Millisecond):
				t.Error("the assigner does not stop while stages have work")
			}
			close(stopped)
			<-ended
			a.mu.Lock()
			must.MapEmpty(t, a.waiters, must.Sprint("requests still wait for this keeper"))
			a.mu.Unlock()
		})
	}
}
