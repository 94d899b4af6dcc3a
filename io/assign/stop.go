package assign

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenford/core"
	"cyclamenford/io/keeper"
	"cyclamenford/io/loop"
)

const (
	// stopCallWait is how long a stopping assigner waits for what it has started: longer than most stage calls take.
	stopCallWait = 500 * core.Millis(1)
	// handoverTimeout bounds the time in which no keeper decides while a stopping leader is replaced: an election timeout.
	handoverTimeout = 500 * core.Millis(1)
	// handoverCopyTimeout is how long the copies of the other keepers may take. Several round trips; one that is lost is not waited for.
	handoverCopyTimeout = 100 * core.Millis(1)
	// successorPollInterval is the time between two looks for the next leader, about one round trip.
	successorPollInterval = 3 * time.Millisecond
)

// Stop ends the scheduling at this keeper. A leader hands over first, and the waiting requests go on to the next leader.
func (a *Assigner) Stop(ctx context.Context) error {
	a.mu.Lock()
	led := a.checkLeadership()
	if led {
		// The events about what is decided until now are what the other keepers copy.
		a.executeList(a.sched.TakeActions())
	}
	a.stopping = true
	a.mu.Unlock()
	if led {
		a.handOver(ctx)
	}
	a.mu.Lock()
	a.stopped = true
	a.endSuspension()
	a.term = 0
	a.reset()
	close(a.handedOver)
	a.mu.Unlock()
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

// handOver lets the other keepers copy what this leader knows, gives its leadership away, and waits until another keeper leads.
func (a *Assigner) handOver(ctx context.Context) {
	began := a.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout.Duration())
	defer cancel()
	copied := a.copyToVoters(ctx)
	copyTook := a.clock.Now() - began
	transferred, err := a.leader.TransferLeadership(ctx)
	next := ""
	if transferred {
		next = a.awaitSuccessor(ctx)
	}
	a.mu.Lock()
	a.next = next
	waiting := len(a.waiters)
	a.mu.Unlock()
	a.log.Info("assigner stopped: this keeper stops", "copies", copied, "copy_ms", copyTook, "transferred", transferred, "next", next,
		"took_ms", a.clock.Now()-began, "requests", waiting, "stage_calls", a.stageCalls.Count(), "err", err)
}

// copyToVoters lets the other voters copy what this keeper knows, and returns how many have.
func (a *Assigner) copyToVoters(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, handoverCopyTimeout.Duration())
	defer cancel()
	var copied atomic.Int64
	var wg sync.WaitGroup
	for _, address := range a.leader.OtherVoters() {
		wg.Go(func() {
			var reply CopyReply
			err := a.caller.Call(ctx, address, Service+".Copy", CopyArgs{}, &reply)
			if err == nil && reply.Copied {
				copied.Add(1)
				return
			}
			a.log.Debug("a keeper has not copied the latest state", "keeper", address, "err", err)
		})
	}
	wg.Wait()
	return copied.Load()
}

// awaitSuccessor returns the address of the next leader once that decides, or an empty address if there is none in time.
func (a *Assigner) awaitSuccessor(ctx context.Context) string {
	for ; ctx.Err() == nil; loop.Sleep(ctx, successorPollInterval) {
		address := a.leader.Located().LeaderAddress
		if address == "" {
			continue
		}
		var reply HeldReply
		if err := a.caller.Call(ctx, address, Service+".Held", HeldArgs{}, &reply); err == nil && reply.Leading {
			return address
		}
	}
	return ""
}

// successor returns where a request goes whose wait has ended without a decision.
func (a *Assigner) successor() keeper.Located {
	a.mu.Lock()
	defer a.mu.Unlock()
	return keeper.Located{LeaderAddress: a.next}
}
