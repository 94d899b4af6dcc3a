package speed

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

func report(slowness float64) order.LoadReport {
	return order.LoadReport{Stated: true, Slowness: slowness}
}

// TestSlowPeriodIsForgotten guards against an endpoint that is avoided long after a slow period, and against a usual slowdown that
// follows single reports.
func TestSlowPeriodIsForgotten(t *testing.T) {
	s, e := NewService(), &Endpoint{}
	now := core.Millis(1)
	for range 100 {
		now += 200
		e.Record(now, report(1), s)
	}
	now += 50
	e.Record(now, report(2.5), s)
	must.InDelta(t, 2.5, e.Moment(now, s), 0.01)
	must.InDelta(t, 1, e.Usual(now, s), 0.05)
	must.Less(t, 2.5, e.Over(now, 400, s))
	must.InDelta(t, 1.55, e.Moment(now+400, s), 0.1)
	must.InDelta(t, 1, e.Moment(now+2*core.Second, s), 0.05)
	must.Eq(t, 400, e.Age(now+400))
	for range 1000 {
		now += 200
		e.Record(now, report(1.7), s)
	}
	must.InDelta(t, 1.7, e.Usual(now, s), 0.05)
}

// TestUsualSlowdownDecaysToThatOfTheService guards against an endpoint that is avoided for ever because of old reports.
func TestUsualSlowdownDecaysToThatOfTheService(t *testing.T) {
	s, e, other := NewService(), &Endpoint{}, &Endpoint{}
	for now := core.Millis(1); now < 10*core.Second; now += 100 {
		e.Record(now, report(1.7), s)
		other.Record(now, report(0.7), s)
	}
	must.InDelta(t, 1.2, s.Usual(), 0.1)
	must.InDelta(t, 1.7, e.Usual(10*core.Second, s), 0.01)
	must.InDelta(t, s.Usual(), e.Usual(400*core.Second, s), 0.01)
}

// TestInvalidReportsChangeNothing guards against estimates that are spoiled by a value that is no slowdown.
func TestInvalidReportsChangeNothing(t *testing.T) {
	s, e := NewService(), &Endpoint{}
	for _, r := range []order.LoadReport{{}, {Slowness: 2}, report(0), report(-1), report(math.NaN()), report(math.Inf(1))} {
		must.False(t, e.Record(1, r, s))
	}
	must.False(t, e.Stated())
	must.Eq(t, 1, s.Usual())
	s.RecordFirstByte(1000, math.NaN(), 10)
	s.RecordFirstByte(-1, 1, 10)
	must.InDelta(t, initialTokenTime, s.TokenTime(), 1e-9)
	e.Restore(1, Observation{Reports: 1, Usual: math.NaN(), Moment: 1})
	must.False(t, e.Stated())
}

// TestReadTimeIsLearned guards against a read speed that stays at the assumed one, although first bytes show another.
func TestReadTimeIsLearned(t *testing.T) {
	s, rng := NewService(), rand.New(rand.NewPCG(1, 2))
	for range 300 {
		slowdown := []float64{0.7, 1, 1.7, 4.25}[rng.IntN(4)]
		tokens := 500 + rng.IntN(15_000)
		s.RecordFirstByte(tokens, slowdown, core.Millis(float64(tokens)*slowdown/92+25+10*rng.Float64()))
	}
	must.InDelta(t, 1.0/92, s.TokenTime(), 0.0005)
	must.InDelta(t, 30, s.BaseTime(), 8)
}

// TestCopyGivesTheSameEstimates guards against a new leader that starts without what the former one had learned, and against a copy
// that replaces later reports.
func TestCopyGivesTheSameEstimates(t *testing.T) {
	s, e := NewService(), &Endpoint{}
	for now := core.Millis(1); now < 5*core.Second; now += 100 {
		e.Record(now, report(1.7), s)
		s.RecordFirstByte(5000, 1.7, 100)
	}
	at := 6 * core.Second
	copied, restored := NewService(), &Endpoint{}
	copied.Restore(s.Observation())
	// The clocks of two hosts differ.
	restored.Restore(at+1000, e.Observation(at))
	must.Eq(t, s.TokenTime(), copied.TokenTime())
	must.Eq(t, e.Moment(at, s), restored.Moment(at+1000, copied))
	restored.Record(at+1000, report(0.7), copied)
	restored.Restore(at+1000, e.Observation(at))
	must.InDelta(t, 0.7, restored.Moment(at+1000, copied), 0.01)
}
