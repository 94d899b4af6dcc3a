package loop

import (
	"context"
	"sync/atomic"
	"time"
)

const waitPollInterval = 5 * time.Millisecond

// WorkCounter counts work in progress. Unlike a sync.WaitGroup, its count may rise from zero during a call of Wait.
type WorkCounter struct {
	count atomic.Int64
}

// Add adds n, which may be negative, to the count.
func (t *WorkCounter) Add(n int) {
	t.count.Add(int64(n))
}

// Count returns the amount of work in progress.
func (t *WorkCounter) Count() int64 { return t.count.Load() }

// Go runs f in the background and counts it as work in progress until it returns.
func (t *WorkCounter) Go(f func()) {
	t.Add(1)
	go func() {
		defer t.Add(-1)
		f()
	}()
}

// Wait blocks until no work is in progress. It returns ctx's error if ctx ends first.
func (t *WorkCounter) Wait(ctx context.Context) error {
	for t.count.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitPollInterval):
		}
	}
	return nil
}
