package keeper

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestAStormOfChangesWakesManyFollowersFewTimes guards against a leader that spends all its processor time on telling each of many changes to each
// follower.
func TestAStormOfChangesWakesManyFollowersFewTimes(t *testing.T) {
	const followers, changes = 300, 100
	s := newChangeSignal()
	woken := 0
	for range changes {
		next, _ := s.next()
		s.notify(followers)
		select {
		case <-next:
			woken++
		default:
		}
	}
	must.Eq(t, 1, woken)
	last, pending := s.next()
	must.True(t, pending)
	select {
	case <-last:
	case <-time.After(30 * time.Second):
		t.Fatal("the changes after the first were never told")
	}
}

// TestEachChangeWakesAFewFollowersAtOnce checks that a change does not wait in a small deployment once the former one has been told.
func TestEachChangeWakesAFewFollowersAtOnce(t *testing.T) {
	s := newChangeSignal()
	for range 3 {
		next, _ := s.next()
		s.notify(0)
		select {
		case <-next:
		default:
			t.Fatal("a change waits though nothing was told before")
		}
	}
}
