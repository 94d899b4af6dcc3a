package loop

import (
	"context"
	"sync/atomic"
	"time"
)

const tallyPoll = 5 * time.Millisecond

// Tally counts work in flight; unlike a sync.WaitGroup it may grow from zero while something waits for it.
type Tally struct {
	n atomic.Int64
}

// Add counts n more pieces of work, or fewer if n is negative.
func (t *Tally) Add(n int) {
	t.n.Add(int64(n))
}

// Go runs f in the background and counts it until it ends.
func (t *Tally) Go(f func()) {
	t.Add(1)
	go func() {
		defer t.Add(-1)
		f()
	}()
}

// Wait returns once nothing is in flight, or ctx's error when that ends first.
func (t *Tally) Wait(ctx context.Context) error {
	for t.n.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tallyPoll):
		}
	}
	return nil
}
