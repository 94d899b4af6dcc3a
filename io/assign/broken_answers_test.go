package assign

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/meter"
)

// TestNoticesOfABrokenAnswerToAReleaseCountForNothing guards against endpoints that are left alone for what a malformed answer says.
func TestNoticesOfABrokenAnswerToAReleaseCountForNothing(t *testing.T) {
	for _, row := range []struct {
		name, status, line string
		believed           bool
	}{
		{name: "sound", status: "200 OK", line: "X-Other: x", believed: true},
		{name: "status 000", status: "000 None", line: "X-Other: x"},
		{name: "a space in a name", status: "200 OK", line: "X Other: x"},
		{name: "a space in front of a name", status: "200 OK", line: " X-Other: x"},
		{name: "a control byte in a name", status: "200 OK", line: "X-\x01Other: x"},
	} {
		t.Run(row.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+row.status+"\r\n"+callHeader+": "+r.Header.Get(callHeader)+"\r\nTells: all\r\n"+row.line+"\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			leader := &fakeLeader{}
			leader.leads.Store(true)
			a := newAssigner(leader, nil, meter.New(), &fakeControl{})
			a.dialect = listDialect{}
			e := order.Endpoint{ID: "f1", Incarnation: 7, Address: l.Addr().String(), Service: "first", Slots: 1}
			must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: e, Seq: 1}, &AnnounceReply{}))
			life := core.Life{Endpoint: e.ID, Incarnation: e.Incarnation}
			a.freeResults(order.Free{Life: life, Address: e.Address, Handles: []string{"h"}})
			a.mu.Lock()
			defer a.mu.Unlock()
			must.Eq(t, row.believed, a.roster.entries["f1"].Leaving)
			must.Eq(t, row.believed, a.permits.Limited(life))
		})
	}
}
