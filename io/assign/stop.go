package assign

import (
	"context"
	"time"

	"cyclamenford/core"
)

// stopCallWait is how long a stopping assigner waits for stage calls in progress, whose results its successor then knows: longer than
// most calls take.
const stopCallWait = 500 * core.Millis(1)

// Stop ends the scheduling at this keeper, so that it can hand its leadership over. It takes no further decisions, waits a short time for
// the stage calls in progress, and then leaves the waiting requests to the next leader.
func (a *Assigner) Stop(ctx context.Context) error {
	began := a.clock.Now()
	a.mu.Lock()
	a.stopping = true
	led := a.term > 0
	a.mu.Unlock()
	wait, cancel := context.WithTimeout(ctx, stopCallWait.Duration())
	defer cancel()
	// An error means that calls are left, which the log line below counts.
	_ = a.stageCalls.Wait(wait)
	a.mu.Lock()
	a.stopped = true
	waiting := len(a.waiters)
	a.endSuspension()
	a.term = 0
	a.reset()
	a.mu.Unlock()
	if led {
		a.log.Info("assigner stopped: this keeper stops", "took_ms", a.clock.Now()-began, "requests", waiting, "stage_calls", a.stageCalls.Count())
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = a.Loop.Stop(ctx)
	}()
	select {
	case <-ended:
	case <-time.After(stopCallWait.Duration()):
		// Calls that last longer end with the process.
	}
	return nil
}
