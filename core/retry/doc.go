// Package retry limits retries and hedges: by attempts per stage, by a budget in proportion to first attempts, and by
// backoff with jitter.
package retry
