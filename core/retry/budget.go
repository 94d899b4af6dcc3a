package retry

import (
	"math/rand/v2"

	"cyclamenford/core"
)

const (
	// Share is the number of retries earned by each first attempt.
	Share = 0.1
	// burst is the number of retries that can be saved up.
	burst = 100.0
	// initialTokens lets a host that has just started retry a little.
	initialTokens = 2.0
	backoffBase   = 10 * core.Millis(1)
	backoffMax    = 500 * core.Millis(1)
)

// Budget decides how many retries and hedges one host may add to its first attempts.
type Budget struct {
	tokens float64
}

// New returns a budget that allows a few retries at once.
func New() *Budget {
	return &Budget{tokens: initialTokens}
}

// First counts a first attempt, which earns a share of a retry.
func (b *Budget) First() {
	b.tokens = min(burst, b.tokens+Share)
}

// Spend takes one retry and reports whether it was left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before the attempt with the given number, with full jitter.
func Backoff(rng *rand.Rand, attempt int) core.Millis {
	ceiling := backoffMax
	if attempt < 6 {
		ceiling = min(backoffMax, backoffBase<<attempt)
	}
	return 1 + core.Millis(rng.Int64N(int64(ceiling)))
}
