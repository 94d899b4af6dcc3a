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

// Sample is what a request has taken at its endpoint.
type Sample struct {
	// Size is what the time after the first byte grows with, such as the number of tokens that the request may generate, and
	// 1 where it is not known.
	Size int
	// First is the time to the first byte of the body, and Total the time to its end.
	First, Total core.Millis
}

// samples holds a route's latest requests: the milliseconds to the first byte, those per unit of size after it, and all.
type samples struct {
	first, rates, totals []float64
	next                 int
}

// NewLengths returns a Lengths without samples.
func NewLengths() *Lengths {
	return &Lengths{routes: map[string]*samples{}}
}

// Add records what a request of a route has taken.
func (l *Lengths) Add(route string, x Sample) {
	s := l.routes[route]
	if s == nil {
		s = &samples{}
		l.routes[route] = s
	}
	first, rate, total := float64(x.First), float64(x.Total-x.First)/float64(max(1, x.Size)), float64(x.Total)
	if len(s.rates) < samplesPerRoute {
		s.first, s.rates, s.totals = append(s.first, first), append(s.rates, rate), append(s.totals, total)
		return
	}
	s.first[s.next], s.rates[s.next], s.totals[s.next] = first, rate, total
	s.next = (s.next + 1) % samplesPerRoute
}

// Estimate returns the time within which a request of a route and a size ends nearly always, at least 1 ms, or 0 if nothing
// is known of the route.
func (l *Lengths) Estimate(route string, size int) core.Millis {
	s := l.routes[route]
	if s == nil {
		return 0
	}
	return max(1, core.Millis(math.Ceil(quantile(s.first)+quantile(s.rates)*float64(max(1, size)))))
}

// Longest returns how long nearly all requests of the slowest route take, or 0 if nothing is known.
func (l *Lengths) Longest() core.Millis {
	var longest float64
	for _, s := range l.routes {
		longest = max(longest, quantile(s.totals))
	}
	return core.Millis(math.Ceil(longest))
}

// quantile returns the value that lengthQuantile of the values do not exceed.
func quantile(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(lengthQuantile*float64(len(sorted))))]
}

// Retain drops the routes for which keep reports false.
func (l *Lengths) Retain(keep func(route string) bool) {
	for route := range l.routes {
		if !keep(route) {
			delete(l.routes, route)
		}
	}
}
