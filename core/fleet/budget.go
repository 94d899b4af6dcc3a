package fleet

import "cyclamenford/core"

// bucketCount is the number of buckets that a budget's window is divided into.
const bucketCount = 20

// RetryBudget limits, in any window, how many requests of a service are retried at another endpoint.
type RetryBudget struct {
	requests, retries [bucketCount]int
	lastBucket        int64
}

// RetryLimits limits the retries of a service within each Window to Ratio times the number of requests, plus Slack.
type RetryLimits struct {
	Ratio  float64
	Slack  float64
	Window core.Millis
}

// holderShare is the part of the allowed retries that one holder of a budget may use. It is below one half because the
// next holder, a new leader or a restarted host, may start with an empty budget within the same window.
const holderShare = 0.45

// advance clears the buckets that have left the window and returns the index of the current one.
func (b *RetryBudget) advance(now core.Millis, window core.Millis) int {
	current := int64(now) * bucketCount / max(1, int64(window))
	for b.lastBucket < current {
		b.lastBucket++
		if current-b.lastBucket > bucketCount {
			b.lastBucket = current - bucketCount
		}
		b.requests[b.lastBucket%bucketCount], b.retries[b.lastBucket%bucketCount] = 0, 0
	}
	return int(current % bucketCount)
}

// CountRequest counts the first attempt of a request, which raises the number of allowed retries.
func (b *RetryBudget) CountRequest(now core.Millis, r RetryLimits) {
	b.requests[b.advance(now, r.Window)]++
}

// Available returns how many retries are allowed now.
func (b *RetryBudget) Available(now core.Millis, r RetryLimits) int {
	b.advance(now, r.Window)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return max(0, int(holderShare*(r.Ratio*float64(requests)+r.Slack))-retries)
}

// Spend uses up one retry and reports whether it was allowed.
func (b *RetryBudget) Spend(now core.Millis, r RetryLimits) bool {
	if b.Available(now, r) == 0 {
		return false
	}
	b.retries[b.advance(now, r.Window)]++
	return true
}
