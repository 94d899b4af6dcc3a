package keeper

import (
	"context"
	"errors"
	"time"

	"cyclamenford/core/quorum"
	"cyclamenford/io/disk"
)

// resumeInterval is the time between two attempts to write to a disk after a failed write. An operator or a cleanup job
// needs seconds to free space, and each attempt reads the whole folder.
const resumeInterval = 250 * time.Millisecond

// suspend stops this keeper's part in the replicated log while writes to its disk fail, as if its process had ended.
// Once a write succeeds, it restarts the node from the contents of the disk and returns true. It returns false if ctx
// ends or the contents of the disk cannot be used.
//
// Node state that is not on the disk is dropped. No other keeper has seen it, since messages are sent after the write.
func (k *Keeper) suspend(ctx context.Context, cause error) bool {
	k.log.Error("keeper suspended: a write to its disk failed", "err", cause)
	k.stepDown()
	retry := time.NewTicker(resumeInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-k.inbox:
		case p := <-k.proposals:
			p.reply <- proposalResult{err: quorum.ErrNotLeader}
		case r := <-k.reads:
			r.done <- false
		case f := <-k.loopFuncs:
			f()
		case <-retry.C:
			contents, err := k.store.Reopen()
			corrupt := new(disk.CorruptError)
			if err != nil && !errors.As(err, &corrupt) {
				k.log.Debug("writes to the disk still fail", "err", err)
				continue
			}
			if err == nil {
				err = k.restoreMachine(contents.Snapshot.Data)
			}
			if err != nil {
				k.recordFailure(err)
				return false
			}
			k.resume(contents)
			return true
		}
	}
}

// stepDown transfers leadership, fails all pending proposals and reads, and clears the view and the leases.
func (k *Keeper) stepDown() {
	k.node.TransferLeadership()
	for _, m := range k.node.TakeOutput().Messages {
		// Other messages may acknowledge entries or votes that are not on the disk.
		if m.Kind == quorum.TimeoutNow {
			k.outbox.send([]quorum.Message{m})
		}
	}
	k.failProposals()
	for id, r := range k.pendingReads {
		delete(k.pendingReads, id)
		r.done <- false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view, k.leases = view{}, nil
	k.suspendedAt = k.clock.Now()
}

// resume starts a new node from the contents of the disk and ends the suspension.
func (k *Keeper) resume(contents disk.Contents) {
	k.logBytes = 0
	for _, e := range contents.Entries {
		k.logBytes += len(e.Data)
	}
	k.startNode(contents)
	k.mu.Lock()
	out := k.clock.Now() - k.suspendedAt
	k.suspendedAt = 0
	k.mu.Unlock()
	k.notifyFollowers()
	k.log.Info("keeper resumed: writes to its disk succeed again", "suspended_ms", out, "entries", len(contents.Entries),
		"snapshot", contents.Snapshot.Index)
}
