package assign

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/follow"
	"cyclamenford/io/keeper"
)

const (
	// evacuationTimeout bounds an evacuation call from its arrival at any keeper. It is below the second after which the operator asks
	// another keeper.
	evacuationTimeout = 850 * time.Millisecond
	// evacuationAckTimeout is how long the leader waits from the arrival of an order until all hosts have applied it, commit included.
	evacuationAckTimeout = 700 * core.Millis(1)
	// domainsHeardPeriods is the number of announcement periods after which a new leader has heard of the endpoints of all failure
	// domains, so that it can tell an unknown one.
	domainsHeardPeriods = 2
)

// ErrUnknownDomain reports that no host and no endpoint is in a failure domain, or that its name is not valid.
var ErrUnknownDomain = errors.New("the failure domain is not known")

// ErrEvacuationUncertain reports that it is not certain that an evacuation, or its withdrawal, is in force.
var ErrEvacuationUncertain = errors.New("it is not certain that the order is in force")

// EvacuateArgs orders the evacuation of a failure domain, or withdraws it if On is false.
type EvacuateArgs struct {
	FailureDomain core.FailureDomain
	On            bool
	// Known is the revision that the keeper which took the call had applied then.
	Known uint64
}

// EvacuateReply answers an evacuation call.
type EvacuateReply struct {
	keeper.Located
	// Done means that an order is in force at every host that holds a serving lease, or that a withdrawal is committed.
	Done bool
	// Unknown means that the failure domain is not known. Detail says why the call is not done.
	Unknown bool
	Detail  string
}

// Evacuate commits an evacuation order or its withdrawal. The reply to an order waits until all hosts have applied it.
func (c *calls) Evacuate(args EvacuateArgs, reply *EvacuateReply) error {
	a := c.assigner
	receivedAt := a.clock.Now()
	leading := a.awaitLeadership()
	reply.Located = a.leader.Located()
	if !leading {
		a.mu.Unlock()
		reply.Leading = false
		return nil
	}
	known, settled := a.knowsDomain(args.FailureDomain), a.hasHeardDomains()
	a.mu.Unlock()
	if !known {
		reply.Unknown, reply.Detail = settled, "no host or endpoint is in the failure domain"
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), evacuationAckTimeout.Duration())
	defer cancel()
	command := state.SetEvacuation(args)
	committed, err := a.leader.Commit(ctx, state.Command{SetEvacuation: &command})
	switch {
	case err != nil:
		a.log.Warn("evacuation not committed", "domain", args.FailureDomain, "on", args.On, "err", err)
		reply.Detail = err.Error()
		// The state may hold the order nevertheless. The operator sends it again.
		return nil
	case committed.Result != state.Accepted:
		a.log.Warn("evacuation refused", "domain", args.FailureDomain, "on", args.On, "known_revision", args.Known, "result", committed.Result, "detail", committed.Detail)
		reply.Detail = committed.Detail
		return nil
	}
	committedAt := a.clock.Now()
	a.applyState()
	reply.Done = !args.On || a.awaitInForce(committed.Revision, receivedAt+evacuationAckTimeout, hostAckPollInterval)
	if !reply.Done {
		reply.Detail = "not every host with a serving lease has applied the order in time"
	}
	now := a.clock.Now()
	a.log.Info("evacuation", "domain", args.FailureDomain, "on", args.On, "revision", committed.Revision, "in_force", reply.Done,
		"commit_ms", committedAt-receivedAt, "took_ms", now-receivedAt)
	a.meter.Count("evacuation_orders_total", 1, "on", fmt.Sprint(args.On), "done", fmt.Sprint(reply.Done))
	a.meter.Observe("evacuation_ms", int64(now-receivedAt))
	return nil
}

// applyState gives the scheduler the newest replicated state at once, without waiting for the next event.
func (a *Assigner) applyState() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.checkLeadership() {
		a.executeActions()
	}
}

// knowsDomain reports whether a failure domain can be evacuated: it is configured, a host or an endpoint is in it, or its evacuation is
// on record. The caller holds mu.
func (a *Assigner) knowsDomain(d core.FailureDomain) bool {
	if slices.Contains(a.options.FailureDomains, d) {
		return true
	}
	image := a.leader.Image()
	if _, ok := image.Evacuated[d]; ok {
		return true
	}
	for _, h := range image.Hosts {
		if h.FailureDomain == d {
			return true
		}
	}
	for _, e := range a.roster.entries {
		if e.Endpoint.FailureDomain == d {
			return true
		}
	}
	return false
}

// hasHeardDomains reports whether this keeper has led for long enough to have heard of every endpoint. The caller holds mu.
func (a *Assigner) hasHeardDomains() bool {
	return a.clock.Now()-a.startedAt >= domainsHeardPeriods*a.options.AnnounceEvery
}

// updateEvacuations gives the scheduler the evacuated failure domains, and those whose evacuation has ended since. The caller holds mu.
func (a *Assigner) updateEvacuations(now core.Millis, image state.Image) {
	a.sched.SetEvacuated(now, image.EvacuatedDomains())
	ended := map[core.FailureDomain]uint64{}
	for _, d := range slices.Sorted(maps.Keys(image.Evacuated)) {
		e := image.Evacuated[d]
		if !e.Ended {
			continue
		}
		ended[d] = e.Revision
		if a.ended[d] != e.Revision {
			a.log.Info("evacuation has ended", "domain", d, "revision", e.Revision, "age_ms", a.clock.Unix()-e.Unix)
			a.sched.DomainReturned(now, d)
		}
	}
	a.ended = ended
}

// maySendTo reports whether a call of the given kind may be sent to an endpoint, whose failure domain may have been evacuated since the
// call was decided.
func (a *Assigner) maySendTo(life core.Life, domain core.FailureDomain, kind string) bool {
	if _, leads := a.leader.Leading(); !leads {
		// A keeper that was frozen may not know of an order yet, and the next leader decides anew.
		a.log.Info("call not sent: this keeper does not lead any more", "endpoint", life.Endpoint, "kind", kind)
		return false
	}
	image := a.leader.Image()
	if !image.IsEvacuated(domain) {
		return true
	}
	order := image.Evacuated[domain]
	a.log.Info("call not sent: the failure domain of its endpoint is evacuated", "endpoint", life.Endpoint, "kind", kind, "domain", domain,
		"revision", order.Revision, "order_age_ms", a.clock.Unix()-order.Unix)
	a.meter.Count("evacuated_calls_total", 1, "kind", kind)
	return false
}

// Evacuate orders the evacuation of a failure domain, or withdraws it. It returns nil only if the call is done, an error that wraps
// ErrUnknownDomain if the failure domain is not known, and otherwise an error after which the outcome is not certain.
func (r LeaderClient) Evacuate(ctx context.Context, domain core.FailureDomain, on bool) error {
	if err := state.CheckDomainName(domain); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownDomain, err)
	}
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	args := EvacuateArgs{FailureDomain: domain, On: on, Known: r.Follower.Image().Revision}
	if args.Known == 0 {
		return fmt.Errorf("evacuate: this keeper has no control state yet: %w", io.ErrNoQuorum)
	}
	reply, err := follow.CallLeader[EvacuateReply](ctx, r.Follower, Service+".Evacuate", args)
	switch {
	case err != nil:
		return fmt.Errorf("evacuate: %w", err)
	case reply.Unknown:
		return fmt.Errorf("%w: %s", ErrUnknownDomain, reply.Detail)
	case !reply.Done:
		return fmt.Errorf("%w: %s", ErrEvacuationUncertain, reply.Detail)
	}
	return nil
}
