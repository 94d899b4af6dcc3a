package assign

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/meter"
)

// copiedCalls is the number of stage calls, each of which gets the answer to the call before it on its connection once more.
const copiedCalls = 12

// serveCopies answers the calls on a connection with what their bodies hold. At each call it sends the answer before once more first.
func serveCopies(c net.Conn, names bool) {
	defer func() { _ = c.Close() }()
	in, last := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		fmt.Fprint(c, last)
		name := ""
		if names {
			name = callHeader + ": " + r.Header.Get(callHeader) + "\r\n"
		}
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
		fmt.Fprint(c, last)
	}
}

// TestALateCopyOfAnAnswerIsNotTakenForTheNextOne guards against requests that are given the results of others, because a stage's endpoint
// sends an answer once more on a connection that is in use again.
func TestALateCopyOfAnAnswerIsNotTakenForTheNextOne(t *testing.T) {
	for name, names := range map[string]bool{"answers that name their call": true, "answers that name none": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serveCopies(c, names)
				}
			}()
			leader := &fakeLeader{}
			leader.leads.Store(true)
			a := newAssigner(leader, nil, meter.New(), &fakeControl{})
			served := 0
			for i := range copiedCalls {
				id := core.RequestID(fmt.Sprint("request-", i))
				call := order.Call{Endpoint: "f1", Life: 1, Address: l.Addr().String(), Expected: core.Second, Items: []order.Item{{ID: id}}}
				results, outcome, err := a.sendStageCall(call, a.clock.Now())
				if outcome == order.Garbled {
					must.ErrorIs(t, err, errCopiedAnswer)
					continue
				}
				must.NoError(t, err)
				must.Eq(t, order.Served, outcome)
				must.Eq(t, string(id), strings.Trim(results[0].Handle, `"`))
				served++
				a.freeResults(order.Free{Life: core.Life{Endpoint: "f1", Incarnation: 1}, Address: l.Addr().String(), Handles: []string{"free"}})
			}
			must.GreaterEq(t, copiedCalls/2, served)
		})
	}
}
