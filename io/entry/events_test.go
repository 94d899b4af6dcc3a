package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/sched"
	"cyclamenford/io/assign"
)

func TestEventsThatWereNotToldComeFirstNextTime(t *testing.T) {
	e := newEvents(nil, nil, nil, nil)
	e.began(sched.Key{Seq: 1})
	untold := e.list
	e.list = nil
	e.ended(sched.Key{Seq: 1}, sched.Served)
	e.putBack(untold)
	must.Eq(t, []assign.Event{
		{Key: sched.Key{Seq: 1}, Began: true}, {Key: sched.Key{Seq: 1}, How: sched.Served},
	}, e.list)
}

func TestCallsAtAFormerLeaderEnd(t *testing.T) {
	p := newPlacing()
	var ended []string
	p.add("old", func() { ended = append(ended, "old") })
	forget := p.add("old", func() { ended = append(ended, "forgotten") })
	p.add("new", func() { ended = append(ended, "new") })
	forget()
	must.Eq(t, 1, p.abandon("new"))
	must.Eq(t, []string{"old"}, ended)
}
