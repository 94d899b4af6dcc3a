package assign

import (
	"context"
	"slices"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/speed"
	"cyclamenford/io/keeper"
)

const (
	// copyEndpointsInterval is how often a non-leading keeper copies the endpoints. It is well below the announcement
	// period.
	copyEndpointsInterval = 400 * core.Millis(1)
	copyTimeout           = 300 * time.Millisecond
	// copyResultsInterval is how often a non-leading keeper copies the events about held results. It is a third of
	// the duration of a stage call, so that few results are missed.
	copyResultsInterval = 100 * core.Millis(1)
)

// Caller calls RPC methods of other keepers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// standby is a non-leading keeper's copy of the leader's endpoints and held results.
type standby struct {
	// endpoints are the leader's endpoints as copied at copiedAt.
	endpoints []KnownEndpoint
	copiedAt  core.Millis
	// speeds and serviceSpeeds are the leader's estimates of the endpoints' speed, copied with them.
	speeds        []fleet.EndpointSpeed
	serviceSpeeds map[string]speed.ServiceObservation
	// endpointsRequestedAt is when the last copy of the endpoints was requested.
	endpointsRequestedAt core.Millis
	// results are the held results and calls of the leader's scheduler, last requested at resultsRequestedAt.
	results            resultsCopy
	resultsRequestedAt core.Millis
}

// copyEndpoints requests the leader's endpoints in the background if a copy is due, so that this keeper can continue
// from them.
func (a *Assigner) copyEndpoints(ctx context.Context) {
	now := a.clock.Now()
	if now-a.standby.endpointsRequestedAt < copyEndpointsInterval {
		return
	}
	a.standby.endpointsRequestedAt = now
	leader := a.leader.Located().LeaderAddress
	if leader == "" {
		return
	}
	a.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		a.fetchEndpoints(ctx, leader)
	})
}

// fetchEndpoints copies the endpoints from the leader.
func (a *Assigner) fetchEndpoints(ctx context.Context, leader string) {
	var reply KnownReply
	if err := a.caller.Call(ctx, leader, Service+".Known", KnownArgs{}, &reply); err != nil {
		a.log.Debug("cannot copy the endpoints from the leader", "leader", leader, "err", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Leading {
		a.standby.endpoints, a.standby.copiedAt = reply.Known, a.clock.Now()
		a.standby.speeds, a.standby.serviceSpeeds = reply.Speeds, reply.ServiceSpeeds
		a.permits.Merge(reply.Limits)
	}
}

// copyHeldResults requests the events about the leader's held results in the background if a copy is due.
func (a *Assigner) copyHeldResults(ctx context.Context) {
	now := a.clock.Now()
	if now-a.standby.resultsRequestedAt < copyResultsInterval {
		return
	}
	a.standby.resultsRequestedAt = now
	leader := a.leader.Located().LeaderAddress
	if leader == "" {
		return
	}
	a.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		a.fetchHeldResults(ctx, leader)
	})
}

// fetchHeldResults copies the latest events about held results from the leader, and reports whether this keeper has them.
func (a *Assigner) fetchHeldResults(ctx context.Context, leader string) bool {
	for ctx.Err() == nil {
		a.mu.Lock()
		args := HeldArgs{Term: a.standby.results.term, From: a.standby.results.nextNumber}
		a.mu.Unlock()
		var reply HeldReply
		err := a.caller.Call(ctx, leader, Service+".Held", args, &reply)
		// The reply to a call that timed out may still be decoded, so that it must not be read.
		if err != nil || !reply.Leading {
			a.log.Debug("cannot copy the held results from the leader", "leader", leader, "err", err)
			return false
		}
		a.mu.Lock()
		held := &a.standby.results
		// A reply to another request may have been applied meanwhile.
		current := held.term == args.Term && held.nextNumber == args.From
		if current {
			held.apply(a.clock.Now(), reply)
		}
		a.mu.Unlock()
		if current {
			return true
		}
	}
	return false
}

// takeOver gives a new scheduler the endpoints, held results and running calls that this keeper has copied from the
// former leader.
func (a *Assigner) takeOver(now core.Millis) {
	copyAge := now - a.standby.copiedAt
	list := make([]KnownEndpoint, 0, len(a.standby.endpoints))
	for _, k := range a.standby.endpoints {
		k.Age += copyAge
		k.Observed.Age += copyAge
		list = append(list, k)
	}
	restored := a.roster.restore(now, list, a.leader.Image().Retired)
	for _, announcement := range restored {
		if !slices.Contains(a.leader.Versions(announcement.Endpoint.Service), announcement.Endpoint.Version) {
			// The former leader was of a release that committed no versions. The endpoint is used from its next announcement on.
			delete(a.roster.entries, announcement.Endpoint.ID)
			continue
		}
		a.sched.SetEndpoint(now, announcement.Endpoint, announcement.Leaving)
		a.publisher.put(announcement)
	}
	if len(restored) == 0 {
		a.sched.AwaitEndpoints(now + domainsHeardPeriods*a.options.AnnounceEvery)
	}
	for _, k := range list {
		e := k.Announcement.Endpoint
		a.sched.InheritObservation(now, core.Life{Endpoint: e.ID, Incarnation: e.Incarnation}, k.Observed)
	}
	speeds := slices.Clone(a.standby.speeds)
	for i := range speeds {
		speeds[i].Age += copyAge
	}
	a.sched.RestoreSpeeds(now, speeds, a.standby.serviceSpeeds)
	a.sched.AssumeAllCold(now)
	results := a.standby.results.heldResults()
	calls := a.standby.results.runningCalls()
	a.sched.Inherit(now, results, calls)
	running := a.inheritRunning(now)
	resultsAge, copied := now-a.standby.results.copiedAt, a.standby.results.whole
	a.standby.results = resultsCopy{}
	a.log.Info("endpoints taken over", "endpoints", len(restored), "copied", len(list), "age_ms", copyAge, "held_results", len(results), "running_calls", len(calls),
		"running_requests", running, "running_copied", copied, "running_age_ms", resultsAge, "hosts_awaited", a.sched.FormerStatus(now).Missing)
}

var _ Leader = (*keeper.Keeper)(nil)
