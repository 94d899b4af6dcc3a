package keeper

import (
	"context"
	"errors"
	"time"

	"cyclamenford/core/quorum"
	"cyclamenford/io/disk"
)

// resumePause is the time between two tries to write to a disk that refused: an operator or a cleaner needs seconds to make
// room, and each try reads the folder.
const resumePause = 250 * time.Millisecond

// suspend takes the keeper out of the replicated log while its disk refuses writes, as if its process had ended, and lets it
// go on from what the disk holds. It returns false when the keeper has ended meanwhile.
//
// What the node has in memory beyond its disk was told nobody, since messages leave after the write; it is dropped.
func (k *Keeper) suspend(ctx context.Context, cause error) bool {
	k.log.Error("keeper suspended: its disk refuses writes", "err", cause)
	k.withdraw()
	tries := time.NewTicker(resumePause)
	defer tries.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-k.inbox:
		case p := <-k.proposals:
			p.reply <- proposalResult{err: quorum.ErrNotLeader}
		case r := <-k.reads:
			r.done <- false
		case f := <-k.calls:
			f()
		case <-tries.C:
			held, err := k.store.Reopen()
			corrupt := new(disk.CorruptError)
			if err != nil && !errors.As(err, &corrupt) {
				k.log.Debug("disk still refuses writes", "err", err)
				continue
			}
			if err == nil {
				err = k.resetMachine(held.Snapshot.Data)
			}
			if err != nil {
				k.fail(err)
				return false
			}
			k.resume(held)
			return true
		}
	}
}

// withdraw gives leadership away and fails all that waits for this keeper.
func (k *Keeper) withdraw() {
	k.node.Handover()
	for _, m := range k.node.Take().Messages {
		// Other messages may promise what is not on the disk.
		if m.Kind == quorum.Handover {
			k.outbox.send([]quorum.Message{m})
		}
	}
	k.failWaiters()
	for id, r := range k.readers {
		delete(k.readers, id)
		r.done <- false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view, k.leases = view{}, nil
	k.suspended = k.clock.Now()
}

// resume lets a new node go on from what the disk holds.
func (k *Keeper) resume(held disk.Contents) {
	k.logBytes = 0
	for _, e := range held.Entries {
		k.logBytes += len(e.Data)
	}
	k.startNode(held)
	k.mu.Lock()
	out := k.clock.Now() - k.suspended
	k.suspended = 0
	k.mu.Unlock()
	k.announceChange()
	k.log.Info("keeper resumed: its disk takes writes again", "suspended_ms", out, "entries", len(held.Entries),
		"snapshot", held.Snapshot.Index)
}
