package limit

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// TestBoundedEndpointKeepsTheRule guards against more requests in a second than an endpoint bears that has become cold
// at an unknown moment: permits are used as late as they may be, and the issuer is replaced.
func TestBoundedEndpointKeepsTheRule(t *testing.T) {
	for _, perSecond := range []float64{0.4, 2, 9.7, 60} {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 1))
			life := core.Life{Endpoint: "e", Incarnation: 1}
			i := NewIssuer()
			i.SetBound(1, life, WarmBound(perSecond))
			var arrivals [60000]int
			for now := core.Millis(1); now < 50000; now++ {
				switch rng.IntN(400) {
				case 0:
					i.SetBound(now, life, ColdBound(perSecond))
				case 1:
					i.SetBound(now, life, WarmBound(perSecond))
				case 2:
					// A new leader's issuer.
					i = NewIssuer()
					i.SetBound(now, life, WarmBound(perSecond))
				}
				// Demand comes in bursts, so that permits are saved up between them.
				for now%1500 < 700 && i.Take(now, life) {
					arrivals[now+core.Millis(rng.IntN(int(BoundValidity+SendTime)))]++
				}
			}
			window, most := 0, 0
			for at, n := range arrivals {
				window += n
				if at >= int(core.Second) {
					window -= arrivals[at-int(core.Second)]
				}
				most = max(most, window)
			}
			must.LessEq(t, int(BoundFactor*perSecond+BoundSlack), most)
		}
	}
}

// TestBoundOutlastsTheNamedLimit guards against an endpoint that needs no permit any more once it lifts its own limit, and
// against permits above the lower one of both.
func TestBoundOutlastsTheNamedLimit(t *testing.T) {
	i, life := NewIssuer(), core.Life{Endpoint: "e", Incarnation: 1}
	i.SetBound(0, life, WarmBound(10))
	must.False(t, i.Take(0, life))
	i.Record(0, life, Named(2), Span{})
	_, perSecond, _ := i.Budget(1000, life)
	must.Eq(t, 2, perSecond)
	i.Record(2000, life, Unlimited(), Span{SentAt: 2000, HeardAt: 2000})
	_, perSecond, limited := i.Budget(2000, life)
	must.True(t, limited)
	must.Eq(t, 10, perSecond)
	i.Tick(700 * core.Second)
	must.True(t, i.Bounded(life))
	for i.Take(700*core.Second, life) {
	}
	i.Ask(700*core.Second, Ask{Number: 1, Life: life, Deadline: 800 * core.Second})
	i.RemoveBound(700*core.Second, life)
	must.False(t, i.Limited(life))
	// The endpoint of a removed bound may run nevertheless, so the ask that waits gets no permit.
	must.Eq(t, []Answer{{Number: 1, Limited: true, RetryAfter: removedRetryAfter}}, i.TakeAnswers())
}
