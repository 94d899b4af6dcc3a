package assign

import (
	"context"
	"time"

	"cyclamenford/core"
	"cyclamenford/io/keeper"
)

const (
	// copyEvery is how often a keeper that does not lead copies the endpoints: well within the period of announcements.
	copyEvery   = 400 * core.Millis(1)
	copyTimeout = 300 * time.Millisecond
	// copyHeldEvery is how often it copies which results stages' endpoints hold: a third of a call, so that few are missed.
	copyHeldEvery = 100 * core.Millis(1)
)

// Caller calls the other keepers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// standby is what a keeper that does not lead knows of the leader's endpoints.
type standby struct {
	known []Known
	at    core.Millis
	// asked is when the last copy was asked for.
	asked core.Millis
	// held are the results that the leader's scheduler uses, last asked for at heldAsked.
	held      heldCopy
	heldAsked core.Millis
}

// copyEndpoints asks the leader for its endpoints, so that this keeper can go on from them.
func (a *Assigner) copyEndpoints(ctx context.Context) {
	now := a.clock.Now()
	if now-a.standby.asked < copyEvery {
		return
	}
	a.standby.asked = now
	leader := a.leader.Located().LeaderAddress
	if leader == "" {
		return
	}
	a.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		var reply Endpoints
		if err := a.caller.Call(ctx, leader, Service+".Known", KnownArgs{}, &reply); err != nil {
			a.log.Debug("endpoints not copied", "leader", leader, "err", err)
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if reply.Leading {
			a.standby.known, a.standby.at = reply.Known, a.clock.Now()
		}
	})
}

// copyHeld asks the leader for the results that its scheduler uses.
func (a *Assigner) copyHeld(ctx context.Context) {
	now := a.clock.Now()
	if now-a.standby.heldAsked < copyHeldEvery {
		return
	}
	a.standby.heldAsked = now
	leader := a.leader.Located().LeaderAddress
	if leader == "" {
		return
	}
	args := HeldArgs{Term: a.standby.held.term, From: a.standby.held.next}
	a.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		var reply HeldReply
		if err := a.caller.Call(ctx, leader, Service+".Held", args, &reply); err != nil {
			a.log.Debug("held results not copied", "leader", leader, "err", err)
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		// A later copy may have come first.
		if held := &a.standby.held; reply.Leading && held.term == args.Term && held.next == args.From {
			held.take(a.clock.Now(), reply)
		}
	})
}

// takeOver starts from the endpoints and the results that the former leader knew.
func (a *Assigner) takeOver(now core.Millis) {
	age := now - a.standby.at
	list := make([]Known, 0, len(a.standby.known))
	for _, k := range a.standby.known {
		k.Age += age
		list = append(list, k)
	}
	taken := a.roster.adopt(now, list, a.leader.Image().Retired)
	for _, x := range taken {
		a.sched.Join(now, x.Endpoint, x.Leaving)
		a.roll.put(x)
	}
	held := a.standby.held.list()
	running := a.standby.held.calls()
	a.sched.Inherit(now, held, running)
	a.standby.held = heldCopy{}
	a.log.Info("endpoints taken over", "endpoints", len(taken), "copied", len(list), "age_ms", age, "held_results", len(held), "running_calls", len(running))
}

var _ Leader = (*keeper.Keeper)(nil)
