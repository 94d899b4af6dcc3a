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

// takeOver starts from the endpoints that the former leader knew.
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
	}
	a.log.Info("endpoints taken over", "endpoints", len(taken), "copied", len(list), "age_ms", age)
}

var _ Leader = (*keeper.Keeper)(nil)
