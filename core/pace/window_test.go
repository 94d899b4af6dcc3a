package pace

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// TestWindowFollowsTheAnswers guards against a window that overloads an endpoint, that many failures of one moment close
// altogether, or that stays after the endpoint has recovered.
func TestWindowFollowsTheAnswers(t *testing.T) {
	var w Window
	must.True(t, w.HasRoom(0, 1000, 0))
	w.Started(1000, 16, 1)
	must.True(t, w.HasRoom(0, 1, 0))
	must.False(t, w.HasRoom(0, 2, 0))
	// The answer to a request that was sent before the start says nothing.
	w.Answered(1010, 100, 100, 2)
	// Two rounds in time.
	for range 2 {
		w.Answered(1200, 100, 100, 2)
	}
	limit, _ := w.Limit()
	must.Eq(t, 4, limit)
	// Nothing is learnt from an almost idle endpoint.
	w.Answered(1200, 100, 100, 1)
	must.False(t, w.HasRoom(0, 4, 0))
	// Four late answers of one round shrink it once.
	for range 4 {
		w.Answered(1500, 250, 100, 4)
	}
	must.True(t, w.HasRoom(0, 1, 0))
	must.False(t, w.HasRoom(0, 2, 0))
	for range 10 {
		w.Failed(1600, 1600)
	}
	must.True(t, w.HasRoom(0, 0, 0))
	for range 100 {
		w.Answered(2000, 100, 100, 16)
	}
	for range 200 {
		w.Answered(3000, 100, 100, 16)
	}
	must.False(t, w.Active())
}

// TestWindowsOfManyHostsAddUpToOne guards against an endpoint that has started and gets a whole window from each host.
func TestWindowsOfManyHostsAddUpToOne(t *testing.T) {
	const hosts = 300
	admitted := 0
	for h := range hosts {
		var w Window
		w.Started(0, 16, 1.0/hosts)
		if w.HasRoom(0, 0, (float64(h)+0.5)/hosts) {
			admitted++
		}
	}
	must.LessEq(t, int(initialLimit)+1, admitted)
}

// TestLateAnswersAloneDoNotKeepAWindowForLong guards against an endpoint that is left idle for ever because the times of the service vary: if a
// tenth of the answers of a healthy endpoint take three times the usual time, the window would stay at about five requests.
func TestLateAnswersAloneDoNotKeepAWindowForLong(t *testing.T) {
	for _, fails := range []bool{false, true} {
		var w Window
		w.Started(1000, 48, 1)
		answers := 0
		for now := core.Millis(1100); now <= 12_000; now += 100 {
			limit, _ := w.Limit()
			for range int(limit) {
				answers++
				elapsed := core.Millis(100)
				if answers%10 == 0 {
					elapsed = 300
				}
				w.Answered(now, elapsed, 100, int(limit))
			}
			if fails && now%1000 == 0 {
				w.Failed(now, now)
			}
		}
		must.Eq(t, fails, w.Active())
	}
}
