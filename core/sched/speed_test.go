package sched

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

// TestPredictionsAreKeptWhileEnginesAreFull guards against a look at all engines for each waiting request in each pass, when no engine has
// room and most requests wait.
func TestPredictionsAreKeptWhileEnginesAreFull(t *testing.T) {
	s := newTakenOver(t)
	s.announce(1, 1)
	svc, r := s.services["engine"], &request{}
	r.Prompt = order.Prompt{Tokens: 100}
	must.Eq(t, core.Millis(svc.FirstByteTime()), s.predictFirstByte(svc, r))
	must.False(t, r.firstByte.made)
	must.True(t, s.RecordLoad(2, core.Life{Endpoint: "e", Incarnation: 1}, order.LoadReport{Stated: true, Slots: 8, Slowness: 1}))
	must.True(t, s.place(3, 1, 850, order.Key{}))
	must.Eq(t, core.Millis(svc.FirstByteTime()), s.predictFirstByte(svc, r))
	must.True(t, r.firstByte.made)
}
