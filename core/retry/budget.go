package retry

import (
	"math/rand/v2"

	"cyclamenford/core"
)

const (
	// RetriesPerAttempt is the number of retries that each first attempt adds to the budget.
	RetriesPerAttempt = 0.1
	// maxTokens is the largest number of retries in the budget.
	maxTokens = 100.0
	// initialTokens is the number of retries in the budget of a host that has just started.
	initialTokens = 2.0
	backoffBase   = 10 * core.Millis(1)
	backoffMax    = 500 * core.Millis(1)
)

// Budget limits one host's retries and hedges to a share of its first attempts.
type Budget struct {
	tokens float64
}

// New returns a budget with the initial number of retries.
func New() *Budget {
	return &Budget{tokens: initialTokens}
}

// CountAttempt counts a first attempt, which adds to the budget.
func (b *Budget) CountAttempt() {
	b.tokens = min(maxTokens, b.tokens+RetriesPerAttempt)
}

// TakeRetry takes one retry from the budget and reports whether one was left.
func (b *Budget) TakeRetry() bool {
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
