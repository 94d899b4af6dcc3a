package drain

import (
	"math"
	"slices"

	"cyclamenford/core"
)

const (
	// samplesPerRoute is the number of the latest requests of a route from which the length of the next one is estimated.
	samplesPerRoute = 64
	// lengthQuantile is the share of the latest requests that the estimate covers.
	lengthQuantile = 0.95
)

// Lengths estimates from the latest requests of a route how long the next one takes at its endpoint. It is not safe for
// concurrent use.
type Lengths struct {
	routes map[string]*samples
}

// samples holds the milliseconds per unit of size of a route's latest requests.
type samples struct {
	rates []float64
	next  int
}

// NewLengths returns a Lengths without samples.
func NewLengths() *Lengths {
	return &Lengths{routes: map[string]*samples{}}
}

// Add records that a request of a route took a time at its endpoint. The size is what the time grows with, such as the
// number of tokens that the request may generate, and 1 where it is not known.
func (l *Lengths) Add(route string, size int, took core.Millis) {
	s := l.routes[route]
	if s == nil {
		s = &samples{}
		l.routes[route] = s
	}
	rate := float64(took) / float64(max(1, size))
	if len(s.rates) < samplesPerRoute {
		s.rates = append(s.rates, rate)
		return
	}
	s.rates[s.next] = rate
	s.next = (s.next + 1) % samplesPerRoute
}

// Estimate returns the time within which a request of a route and a size ends nearly always, at least 1 ms, or 0 if nothing
// is known of the route.
func (l *Lengths) Estimate(route string, size int) core.Millis {
	s := l.routes[route]
	if s == nil {
		return 0
	}
	rates := slices.Sorted(slices.Values(s.rates))
	at := min(len(rates)-1, int(lengthQuantile*float64(len(rates))))
	return max(1, core.Millis(math.Ceil(rates[at]*float64(max(1, size)))))
}

// Retain drops the routes for which keep reports false.
func (l *Lengths) Retain(keep func(route string) bool) {
	for route := range l.routes {
		if !keep(route) {
			delete(l.routes, route)
		}
	}
}
