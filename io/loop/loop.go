package loop

import (
	"context"
	"sync"
	"time"
)

// Loop calls a function once per period between Start and Stop.
type Loop struct {
	period time.Duration
	step   func(ctx context.Context)
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a loop that calls step once per period after Start.
func New(period time.Duration, step func(ctx context.Context)) *Loop {
	return &Loop{period: period, step: step}
}

// Start starts the periodic calls in the background.
func (l *Loop) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.wg.Go(func() { l.run(ctx) })
	return nil
}

// Stop ends the periodic calls and waits for the one in progress and for the functions started with Go.
func (l *Loop) Stop(context.Context) error {
	l.cancel()
	l.wg.Wait()
	return nil
}

// Go runs a function concurrently with the loop; Stop waits for it.
func (l *Loop) Go(f func()) {
	l.wg.Go(f)
}

func (l *Loop) run(ctx context.Context) {
	ticker := time.NewTicker(l.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.step(ctx)
		}
	}
}

// Sleep blocks for the duration or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
