package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/assign"
)

// TestRunningRequestsAreListedOncePerLeaderAndTerm guards against a new leader that is not told, or not told again in its next term, of the
// requests at engines, and against one that is told without need.
func TestRunningRequestsAreListedOncePerLeaderAndTerm(t *testing.T) {
	l := newRunningList()
	key := func(seq uint64) order.Key { return order.Key{Host: "h", Seq: seq} }
	for seq := range uint64(3) {
		l.add(assign.HostRequest{Key: key(seq), UnreadTokens: 7, Term: 1}, 500, "first")
	}
	l.begin(key(1))
	l.remove(key(2))
	expect := func(leader string, due bool, want ...order.Key) {
		t.Helper()
		list, term, isDue := l.makeList(100, leader)
		must.Eq(t, due, isDue)
		var got []order.Key
		for _, x := range list {
			got = append(got, x.Key)
			must.Eq(t, x.Key != key(1), x.UnreadTokens > 0)
			must.Eq(t, core.Millis(400), x.Left)
		}
		must.Eq(t, want, got)
		if due {
			l.setTold(leader, max(term, 1))
		}
	}
	expect("", false)
	expect("first", true, key(0), key(1))
	expect("first", false)
	expect("second", true, key(0), key(1))
	l.add(assign.HostRequest{Key: key(3), UnreadTokens: 7, Term: 1}, 500, "first") // a late reply of the former leader
	expect("second", true, key(0), key(1), key(3))
	l.noteTerm(5)
	expect("second", true, key(0), key(1), key(3))
	expect("second", false)
	l.setUntold()
	expect("second", true, key(0), key(1), key(3))
}
