package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/order"
	"cyclamenford/io/assign"
)

func TestEventsThatWereNotToldComeFirstNextTime(t *testing.T) {
	e := newEvents(nil, nil, nil, nil)
	e.began(order.Key{Seq: 1})
	untold := e.list
	e.list = nil
	e.ended(order.Key{Seq: 1}, order.Served)
	e.putBack(untold)
	must.Eq(t, []assign.Event{
		{Key: order.Key{Seq: 1}, Began: true}, {Key: order.Key{Seq: 1}, How: order.Served},
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
