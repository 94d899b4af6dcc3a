package keeper

import (
	"context"
	"errors"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
	"cyclamenford/core/repair"
	"cyclamenford/io/loop"
)

const (
	// leaveTimeout is how long a keeper that stops waits for a learner to take over its vote, leaveCallTimeout the time limit of
	// one call, and leavePause the pause between two calls.
	leaveTimeout     = time.Second
	leaveCallTimeout = 300 * time.Millisecond
	leavePause       = 20 * time.Millisecond
	// leavingTTL is how long a leader remembers that a member leaves. It then counts by its silence.
	leavingTTL = 2 * core.Second
)

// errStopped means that the keeper's loop has ended.
var errStopped = errors.New("this keeper has stopped")

// leave hands this keeper's vote to a learner before its process ends, so that the redundancy is not reduced until the silence
// is noticed. Without a learner that has caught up it changes nothing.
func (k *Keeper) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	began := k.clock.Now()
	votes := true
	for ; ctx.Err() == nil; loop.Sleep(ctx, leavePause) {
		located := k.locateLeader()
		if located.Leading {
			replaceable := false
			err := k.onLoop(ctx, func() {
				// Only another leader can replace this one.
				if replaceable = repair.Replaceable(k.repairView()); replaceable {
					k.node.TransferLeadership()
				}
			})
			if err != nil || !replaceable {
				k.log.Info("keeper leaves without a learner to take over its vote", "member", k.Member(), "err", err)
				return
			}
			continue
		}
		if located.LeaderAddress == "" {
			continue
		}
		var reply LeaveReply
		callCtx, cancelCall := context.WithTimeout(ctx, leaveCallTimeout)
		err := k.client.Call(callCtx, located.LeaderAddress, ControlService+".Leave", LeaveArgs{Member: k.Member()}, &reply)
		cancelCall()
		if err != nil {
			k.log.Debug("announce to the leader that this keeper leaves", "leader", located.LeaderAddress, "err", err)
			continue
		}
		votes = !reply.Leading || reply.Votes
		if reply.Leading && !reply.Pending {
			break
		}
	}
	k.log.Info("keeper leaves", "member", k.Member(), "votes", votes, "took_ms", k.clock.Now()-began, "err", ctx.Err())
}

// TransferLeadership transfers the leadership, if this keeper leads, to a voter that is current, and reports whether it has.
func (k *Keeper) TransferLeadership(ctx context.Context) (transferred bool, err error) {
	err = k.onLoop(ctx, func() {
		led := k.node.Role() == quorum.Leader
		k.node.TransferLeadership()
		transferred = led && k.node.Role() != quorum.Leader
	})
	return transferred, err
}

// OtherVoters returns the peer addresses of the other voters that are known.
func (k *Keeper) OtherVoters() []string {
	k.mu.Lock()
	voters := k.view.config.Voters
	k.mu.Unlock()
	var list []string
	for _, v := range voters {
		if address := k.peerAddress(v); v != k.Member() && address != "" {
			list = append(list, address)
		}
	}
	return list
}

// onLoop runs a function on the keeper's loop and waits for it.
func (k *Keeper) onLoop(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case k.loopFuncs <- func() { f(); close(ran) }:
		<-ran
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-k.done:
		return errStopped
	}
}

// Leave records that a member's process ends and begins to replace it if a learner has caught up.
func (c *controlCalls) Leave(args LeaveArgs, reply *LeaveReply) error {
	k := c.k
	reply.Located = k.locateLeader()
	if !reply.Leading {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveCallTimeout)
	defer cancel()
	return k.onLoop(ctx, func() { reply.Votes, reply.Pending = k.replaceLeaving(args.Member) })
}

// replaceLeaving marks a member as leaving and starts the next change. It returns whether the member still votes, and whether
// a change that concerns it is to be expected.
func (k *Keeper) replaceLeaving(m quorum.Member) (votes, pending bool) {
	now := k.clock.Now()
	for other, at := range k.leaving {
		if now-at >= leavingTTL {
			delete(k.leaving, other)
		}
	}
	if _, ok := k.leaving[m]; !ok {
		k.log.Info("keeper announces that it leaves", "member", m, "replaceable", repair.Replaceable(k.repairView()))
	}
	k.leaving[m] = now
	if !k.node.ChangePending() {
		k.repairMembership()
	}
	votes = k.node.Config().IsVoter(m)
	return votes, k.node.ChangePending() || votes && repair.Replaceable(k.repairView())
}
