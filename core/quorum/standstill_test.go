package quorum_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/core/quorum"
)

// standstillRow is one case: all keepers stand still at the same moment.
type standstillRow struct {
	Name string
	// StandMs is the length of the standstill, and TickMs the time between two ticks from then on, 0 for the usual one.
	StandMs, TickMs core.Millis
	// LoseMessages means that messages in transit are lost, LeaderLost that the leader doesn't come back, and LeaderCut that it is cut off.
	LoseMessages, LeaderLost, LeaderCut bool
	// SameLeader means that the leader must go on, in its term. Otherwise there must be another one within ElectedWithinMs.
	SameLeader      bool
	ElectedWithinMs core.Millis
}

// TestALeaderIsNotReplacedBecauseAllKeepersStoodStill guards against an election, and callers without a leader meanwhile, when keepers get no
// processor time, and against lost leaders that stay unreplaced in its stead.
func TestALeaderIsNotReplacedBecauseAllKeepersStoodStill(t *testing.T) {
	raw, err := os.ReadFile("testdata/standstills.json")
	must.NoError(t, err)
	var rows []standstillRow
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s, seed %d", row.Name, seed), func(t *testing.T) { row.run(t, seed) })
		}
	}
}

func (row standstillRow) run(t *testing.T, seed uint64) {
	w := newWorld(schedule{Nodes: 5, MaxDelay: stepMillis, Lose: 1}, injectedBugs{}, seed)
	must.True(t, w.stepUntil(func() bool { return w.leading() != nil }))
	for range 50 {
		w.step()
	}
	leader := w.leading()
	must.NotNil(t, leader)
	term := leader.node.Term()
	w.now += row.StandMs
	if row.LoseMessages {
		w.packets = nil
	}
	if row.LeaderLost {
		w.crash(leader)
		leader.gone = true
	}
	if row.LeaderCut {
		for _, h := range w.hosts {
			w.cutUntil[link{h.host, leader.host}] = w.now + core.Second*60
		}
	}
	if row.SameLeader {
		for range 200 {
			w.step()
			must.Eq(t, "", w.violation)
			must.True(t, leader.node.Role() == quorum.Leader && leader.node.Term() == term, must.Sprint("the leader was replaced"))
		}
		must.Greater(t, w.now, leader.node.LeaseExpiry(), must.Sprint("the lease was not renewed"))
		return
	}
	resumed := w.now
	next := func() *keeperHost {
		for _, h := range w.hosts {
			if h != leader && h.node != nil && h.node.Ready() {
				return h
			}
		}
		return nil
	}
	for next() == nil || leader.node != nil && leader.node.Role() == quorum.Leader {
		w.now += max(0, row.TickMs-stepMillis)
		w.step()
		must.Eq(t, "", w.violation)
		must.LessEq(t, row.ElectedWithinMs, w.now-resumed, must.Sprint("the lost leader was not replaced"))
	}
}
