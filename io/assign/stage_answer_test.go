package assign

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
	cio "cyclamenford/io"
	"cyclamenford/io/meter"
)

// listDialect reads an answer as handles that are separated by blanks, and its headers as what the endpoint says of itself.
type listDialect struct{ fakeDialect }

func (listDialect) ParseStageResults(body []byte) ([]order.ItemResult, error) {
	var list []order.ItemResult
	for _, h := range strings.Fields(string(body)) {
		list = append(list, order.ItemResult{Handle: h})
	}
	return list, nil
}

func (listDialect) ParseResponse(status int, h http.Header) cio.EndpointResponse {
	v := cio.EndpointResponse{
		ID: core.RequestID(h.Get(callHeader)), FromRunner: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "",
		OtherEndpoint: status == http.StatusMisdirectedRequest,
	}
	if h.Get("Tells") != "" && !v.OtherEndpoint {
		v.Notice.Leaving, v.Limit = true, limit.Named(1)
	}
	return v
}

// TestAStageAnswerThatIsNotDueIsNotUsed guards against results, notices and limits of an answer that a stage call is not due.
func TestAStageAnswerThatIsNotDueIsNotUsed(t *testing.T) {
	raw, err := os.ReadFile("testdata/stage_answers.json")
	must.NoError(t, err)
	var rows []struct {
		Name     string
		Unnamed  bool
		Status   int
		Header   map[string]string
		Body     string
		How      order.AttemptOutcome
		Results  int
		Believed bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !row.Unnamed {
					w.Header().Set(callHeader, r.Header.Get(callHeader))
				}
				w.Header()["Content-Type"] = nil
				for name, value := range row.Header {
					w.Header().Set(name, value)
				}
				w.Header().Set("Tells", "all")
				w.WriteHeader(row.Status)
				_, _ = w.Write([]byte(row.Body))
			}))
			defer server.Close()
			leader := &fakeLeader{}
			leader.leads.Store(true)
			a := newAssigner(leader, nil, meter.New(), &fakeControl{})
			var lines bytes.Buffer
			a.dialect, a.log = listDialect{}, slog.New(slog.NewTextHandler(&lines, nil))
			e := order.Endpoint{ID: "f1", Incarnation: 7, Address: strings.TrimPrefix(server.URL, "http://"), Service: "first", Slots: 1}
			must.NoError(t, (&calls{a}).Announce(Announcement{Endpoint: e, Seq: 1}, &AnnounceReply{}))
			call := order.Call{
				Endpoint: e.ID, Life: e.Incarnation, Address: e.Address, Service: e.Service, Expected: core.Second,
				Items: []order.Item{{ID: "r", Piece: 0}, {ID: "r", Piece: 1}},
			}
			results, how, _ := a.sendStageCall(call, a.clock.Now())
			must.Eq(t, row.How, how)
			must.Len(t, row.Results, results)
			a.mu.Lock()
			must.Eq(t, row.Believed, a.roster.entries["f1"].Leaving, must.Sprint("the notice is believed"))
			a.mu.Unlock()
			must.Eq(t, row.Believed, a.permits.Limited(core.Life{Endpoint: e.ID, Incarnation: e.Incarnation}), must.Sprint("the limit is believed"))
			must.Eq(t, row.How == order.Garbled, strings.Contains(lines.String(), `msg="endpoint sent garbage" call=`), must.Sprint(lines.String()))
		})
	}
}
