package fleet

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/order"
)

// newSpeedFleet returns three engines of one service.
func newSpeedFleet() (*Fleet, *Service) {
	f := New()
	s := f.Configure(conf.Service{Name: "engine", Engine: &conf.Engine{Slots: 4, CacheTokens: 100_000}})
	for _, id := range []core.EndpointID{"a", "b", "c"} {
		f.Upsert(1, order.Endpoint{ID: id, Incarnation: 2, Service: "engine", Slots: 4}, false)
	}
	return f, s
}

func stated(slowness float64) order.LoadReport {
	return order.LoadReport{Stated: true, Slots: 4, Slowness: slowness}
}

// TestReportsOfAnEarlierIncarnationAreIgnored guards against a restarted endpoint that is judged by what the former process stated, also if
// the report or the copy of it comes late.
func TestReportsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	f, s := newSpeedFleet()
	a := s.endpoints[0]
	must.False(t, f.RecordLoad(5, core.Life{Endpoint: "a", Incarnation: 1}, stated(2.5)))
	must.False(t, f.RecordLoad(5, core.Life{Endpoint: "x", Incarnation: 1}, stated(2.5)))
	must.False(t, f.RecordLoad(5, core.Life{Endpoint: "a", Incarnation: 2}, order.LoadReport{Stated: true, Running: 3, Slots: 4}))
	must.False(t, a.ReportsSpeed())
	must.True(t, f.RecordLoad(5, a.Life(), stated(2.5)))
	must.True(t, a.ReportsSpeed())
	copied := s.EndpointSpeeds(10)
	f.Upsert(20, order.Endpoint{ID: "a", Incarnation: 3, Service: "engine", Slots: 4}, false)
	f.RestoreSpeed(20, copied[0])
	must.False(t, s.endpoints[0].ReportsSpeed())
}

// TestBestFirstByteIsThatOfTheBestEngine guards against a prediction that averages over engines that get no request now, and against one
// that changes for services whose engines state nothing.
func TestBestFirstByteIsThatOfTheBestEngine(t *testing.T) {
	f, s := newSpeedFleet()
	p := order.Prompt{Tokens: 10_000, Output: 10}
	_, ok := s.BestFirstByte(5, p, PrefixChain{})
	must.False(t, ok)
	must.Eq(t, tokenTime*10_000, s.endpoints[0].ReadTime(5, 10_000))
	for i, slowness := range []float64{1.7, 0.7, 4.25} {
		f.RecordLoad(5, s.endpoints[i].Life(), stated(slowness))
	}
	alone, ok := s.BestFirstByte(5, p, PrefixChain{})
	must.True(t, ok)
	must.Less(t, 300+s.speed.BaseTime(), alone)
	s.endpoints[1].AddRequest(p, PrefixChain{})
	busy, _ := s.BestFirstByte(5, p, PrefixChain{})
	must.Greater(t, alone, busy)
	must.Greater(t, s.endpoints[1].StartCost(5, p, 0, ""), s.endpoints[2].StartCost(5, p, 0, ""))
}

// TestEndpointThatHasNotAnsweredYetIsAsGoodAsUsual guards against engines that never get a request because they have not stated
// their speed, which only an answer does. One that answers without stating it is treated as if none did.
func TestEndpointThatHasNotAnsweredYetIsAsGoodAsUsual(t *testing.T) {
	f, s := newSpeedFleet()
	f.RecordLoad(5, s.endpoints[0].Life(), stated(1))
	for range 500 {
		s.speed.RecordFirstByte(9200, 1, 125)
	}
	must.InDelta(t, s.endpoints[0].ReadTime(5, 1000), s.endpoints[1].ReadTime(5, 1000), 1)
	s.endpoints[1].LearnReadTime(5, Load{UnreadTokens: 9200}, 125)
	must.Eq(t, tokenTime*1000, s.endpoints[1].ReadTime(5, 1000))
}

// TestSlowEngineIsUsedAgain guards against an endpoint that counts as slow by what it usually needs, or after its slow period.
func TestSlowEngineIsUsedAgain(t *testing.T) {
	f, s := newSpeedFleet()
	for now := core.Millis(1); now < 5*core.Second; now += 100 {
		for i, slowness := range []float64{1.7, 0.7, 1} {
			f.RecordLoad(now, s.endpoints[i].Life(), stated(slowness))
		}
	}
	slow := s.endpoints[0]
	must.False(t, slow.Slow(5*core.Second))
	f.RecordLoad(5*core.Second, slow.Life(), stated(4.25))
	must.True(t, slow.Slow(5*core.Second+1))
	must.False(t, slow.Slow(7*core.Second))
}

// TestEndpointsThatStateNoSpeedAreComparedAmongThemselves guards against endpoints that count as slow, and get only probes, because others
// of their service state that they are fast.
func TestEndpointsThatStateNoSpeedAreComparedAmongThemselves(t *testing.T) {
	f, s := newSpeedFleet()
	for _, e := range s.endpoints[1:] {
		e.LearnReadTime(3, Load{}, 10)
	}
	for at := core.Millis(5); at < 5000; at += 100 {
		f.RecordLoad(at, s.endpoints[0].Life(), stated(0.35))
	}
	must.False(t, s.endpoints[0].Slow(5000))
	must.False(t, s.endpoints[1].Slow(5000))
	s.endpoints[1].slowdown.value = 2.1
	must.True(t, s.endpoints[1].Slow(5001))
	must.False(t, s.endpoints[2].Slow(5001))
}
