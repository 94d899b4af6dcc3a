package fleet

import "cyclamenford/core"

// buckets is the number of parts of the window in which repeats are counted.
const buckets = 20

// Budget bounds how many requests of a service are sent to a second endpoint, in any window.
type Budget struct {
	requests, repeats [buckets]int
	last              int64
}

// Retries says how many repeats a service may get: Ratio for each request in Window, and Slack.
type Retries struct {
	Ratio  float64
	Slack  float64
	Window core.Millis
}

// safeShare is the part of the allowed repeats that one holder of a budget uses: the next one, a later leader or life of a
// host, may begin within the same window.
const safeShare = 0.45

// move forgets the buckets that have left the window and returns the present one.
func (b *Budget) move(now core.Millis, window core.Millis) int {
	at := int64(now) * buckets / max(1, int64(window))
	for b.last < at {
		b.last++
		if at-b.last > buckets {
			b.last = at - buckets
		}
		b.requests[b.last%buckets], b.repeats[b.last%buckets] = 0, 0
	}
	return int(at % buckets)
}

// First notes a request's first attempt, which earns a share of a repeat.
func (b *Budget) First(now core.Millis, r Retries) {
	b.requests[b.move(now, r.Window)]++
}

// Left returns how many repeats are allowed now.
func (b *Budget) Left(now core.Millis, r Retries) int {
	b.move(now, r.Window)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return max(0, int(safeShare*(r.Ratio*float64(requests)+r.Slack))-repeats)
}

// Spend takes one repeat and reports whether it was allowed.
func (b *Budget) Spend(now core.Millis, r Retries) bool {
	if b.Left(now, r) == 0 {
		return false
	}
	b.repeats[b.move(now, r.Window)]++
	return true
}
