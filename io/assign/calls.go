package assign

import (
	"context"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/state"
	"cyclamenford/io/keeper"
)

const (
	// hostAckTimeout is how long the answer to a leaving endpoint waits until the hosts have applied its retirement.
	// It covers a pending long poll of a host and one retransmission. Soon afterwards every host has applied it or
	// stopped accepting work.
	hostAckTimeout = 300 * core.Millis(1)
	// hostAckPollInterval is the time between the first two checks, about one round trip to the hosts. It doubles up to
	// maxHostAckPollInterval, since many endpoints may leave at once.
	hostAckPollInterval    = 3 * time.Millisecond
	maxHostAckPollInterval = 24 * time.Millisecond
)

// calls holds the RPC methods that the assigner offers to hosts and to other keepers.
type calls struct{ assigner *Assigner }

// Place submits a request to the scheduler and waits until it is granted an endpoint or refused.
func (c *calls) Place(args PlaceArgs, reply *PlaceReply) error {
	ask := args.Ask
	w := waiter{service: ask.Service, Continuation: ask.Continuation}
	// A stream that goes on has its record.
	w.Bound = w.Bound || w.TakesUp
	return c.assigner.awaitPlacement(ask.Key, w, reply, func(now core.Millis) {
		if refusal := c.assigner.resolveVersion(&ask); refusal != nil {
			c.assigner.deliver(ask.Key, order.Action{Refuse: refusal})
			return
		}
		c.assigner.sched.AddRequest(now, ask)
	})
}

// Again reports the end of a request's attempt and waits until the request is granted another endpoint or refused.
func (c *calls) Again(args AgainArgs, reply *PlaceReply) error {
	leading := c.assigner.awaitLeadership()
	if args.Notice != nil && leading {
		c.assigner.applyNotice(c.assigner.clock.Now(), *args.Notice)
	}
	reply.Unknown = leading && !c.assigner.sched.HasRequest(args.Key)
	if reply.Unknown {
		// An earlier scheduler granted the attempt, which still takes up room at its engine.
		c.assigner.sched.AttemptEnded(c.assigner.clock.Now(), args.Key, args.How, false)
		c.assigner.executeActions()
	}
	c.assigner.mu.Unlock()
	if reply.Unknown {
		reply.Leading = true
		return nil
	}
	w := waiter{service: args.Service, Continuation: args.Continuation}
	return c.assigner.awaitPlacement(args.Key, w, reply, func(now core.Millis) {
		if args.Bound {
			c.assigner.sched.Bind(args.Key, args.Version)
		}
		c.assigner.sched.AttemptEnded(now, args.Key, args.How, true)
	})
}

// Tell applies events that entry hosts report about their requests. The reply says that this keeper leads if it has applied them.
func (c *calls) Tell(args EventsArgs, reply *keeper.Located) error {
	a := c.assigner
	a.mu.Lock()
	defer a.mu.Unlock()
	*reply = a.leader.Located()
	// Events are facts, which the scheduler must not miss while the lease has lapsed.
	if reply.Leading = a.checkLeadership() || a.suspendedAt > 0; !reply.Leading {
		return nil
	}
	now := a.clock.Now()
	for _, r := range args.Limits {
		a.permits.Record(r, args.Host)
	}
	for _, r := range args.Refusals {
		a.recordRefusal(now, r, args.Host)
	}
	for _, e := range args.Events {
		if !e.Notice.Empty() {
			a.applyNotice(now, e)
			continue
		}
		if e.Life != (core.Life{}) && e.Key.Seq == 0 {
			a.sched.EndpointFailed(now, e.Life)
			continue
		}
		a.applyLoad(now, e.Life, e.Load)
		if e.Began {
			a.sched.FirstByteReceived(now, e.Key, e.Attempt)
			continue
		}
		a.endWait(e.Key)
		a.sched.AttemptEnded(now, e.Key, e.How, false)
	}
	a.executeActions()
	return nil
}

// awaitPlacement submits an event to the scheduler and waits for the grant or refusal of the request with the given
// key. If the request ends or the scheduler is discarded first, the reply says that this keeper does not lead.
func (a *Assigner) awaitPlacement(key order.Key, w waiter, reply *PlaceReply, submit func(now core.Millis)) error {
	leading := a.awaitLeadership()
	reply.Located = a.leader.Located()
	if !leading {
		a.mu.Unlock()
		reply.Leading, reply.NotTaken = false, true
		return nil
	}
	w.decision, w.term = make(chan order.Action, 1), a.term
	a.waiters[key] = w
	submit(a.clock.Now())
	a.executeActions()
	a.mu.Unlock()
	action, ok := <-w.decision
	if !ok {
		reply.Located = a.successor()
		return nil
	}
	reply.Leading, reply.Term = true, w.term
	reply.Grant, reply.Refuse = action.Grant, action.Refuse
	return nil
}

// Announce applies an endpoint's announcement. If the endpoint leaves or says goodbye, its retirement is committed to
// the replicated state before the announcement is acknowledged.
func (c *calls) Announce(args Announcement, reply *AnnounceReply) error {
	a := c.assigner
	leading := a.awaitLeadership()
	reply.Located = a.leader.Located()
	a.mu.Unlock()
	if !leading {
		reply.Leading = false
		return nil
	}
	if args.Gone || args.Leaving {
		if err := a.commitRetirement(args); err != nil {
			reply.reject(err)
			return nil
		}
	}
	if !args.Gone {
		if err := a.commitVersion(args.Endpoint); err != nil {
			reply.reject(err)
			return nil
		}
	}
	leading = a.awaitLeadership()
	defer a.mu.Unlock()
	if !leading {
		reply.Located = keeper.Located{}
		return nil
	}
	reply.Taken = true
	now := a.clock.Now()
	if args.Gone {
		delete(a.roster.entries, args.Endpoint.ID)
		a.sched.RemoveEndpoint(now, args.Endpoint.ID)
		a.publisher.remove(args.Endpoint.ID)
		a.executeActions()
		return nil
	}
	status, replaced := a.roster.apply(now, args, a.leader.Image().Retired)
	if status == stale {
		a.log.Debug("announcement ignored: its incarnation has ended or a later announcement was received", "endpoint", args.Endpoint.ID, "seq", args.Seq)
		return nil
	}
	for _, id := range replaced {
		a.log.Info("endpoint replaced at its address", "endpoint", id, "address", args.Endpoint.Address, "by", args.Endpoint.ID)
		a.sched.RemoveEndpoint(now, id)
		a.publisher.remove(id)
	}
	a.resolveCuts(now, args)
	a.sched.SetEndpoint(now, args.Endpoint, args.Leaving)
	a.publisher.put(args)
	a.executeActions()
	return nil
}

// Roll returns the changes of the roll since the caller's version. If there are none, it waits for one up to a time
// limit (long poll).
func (c *calls) Roll(args RollArgs, reply *RollReply) error {
	a := c.assigner
	deadline := time.NewTimer(min(args.Wait, maxRollWait).Duration())
	defer deadline.Stop()
	for timedOut := false; ; {
		a.mu.Lock()
		reply.Located = a.leader.Located()
		if !a.checkLeadership() {
			a.mu.Unlock()
			reply.Leading = false
			return nil
		}
		page, hasChanges, changed := a.publisher.changesSince(args.Term, args.Version)
		a.mu.Unlock()
		if hasChanges || timedOut {
			reply.Page = page
			return nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		}
	}
}

// Known returns the known endpoints to a keeper that may lead next.
func (c *calls) Known(_ KnownArgs, reply *KnownReply) error {
	a := c.assigner
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Located = a.leader.Located()
	if !a.checkLeadership() {
		reply.Leading = false
		return nil
	}
	now := a.clock.Now()
	reply.Known = a.roster.list(now)
	a.addObservations(now, reply.Known)
	reply.Limits = a.permits.Reports()
	reply.Speeds, reply.ServiceSpeeds = a.sched.Speeds(a.clock.Now())
	return nil
}

// Held returns the events about held results since the caller's last copy, to a keeper that may lead next.
func (c *calls) Held(args HeldArgs, reply *HeldReply) error {
	a := c.assigner
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Located = a.leader.Located()
	if !a.checkLeadership() {
		reply.Leading = false
		return nil
	}
	from := args.From
	if args.Term != a.term {
		from = 0
	}
	reply.Term, reply.Next, reply.Now = a.term, a.heldEvents.nextNumber, a.clock.Now()
	reply.Events = a.heldEvents.since(from)
	reply.Unsettled = !a.sched.FormerStatus(reply.Now).Settled
	if args.Term != a.term || !a.heldEvents.has(from) {
		a.setWhole(reply)
	}
	return nil
}

// Copy copies what the leader knows at once, to a keeper that may lead next.
func (c *calls) Copy(_ CopyArgs, reply *CopyReply) error {
	a := c.assigner
	a.mu.Lock()
	reply.Located = a.leader.Located()
	decides := a.checkLeadership() || a.suspendedAt > 0
	a.mu.Unlock()
	if decides || reply.LeaderAddress == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	a.fetchEndpoints(ctx, reply.LeaderAddress)
	reply.Copied = a.fetchHeldResults(ctx, reply.LeaderAddress)
	return nil
}

// commitRetirement records in the replicated state that an incarnation of an endpoint takes no new requests, so that
// the next leader knows it too. It then waits a short time for the hosts to apply the record.
func (a *Assigner) commitRetirement(args Announcement) error {
	incarnation := args.Endpoint.Incarnation
	a.mu.Lock()
	if known, ok := a.roster.entries[args.Endpoint.ID]; ok && incarnation == 0 {
		incarnation = known.Endpoint.Incarnation
	}
	a.mu.Unlock()
	if incarnation == 0 {
		// The incarnation is unknown, so every incarnation that began before now is retired.
		incarnation = core.Incarnation(a.clock.Unix())
	}
	if ended, ok := a.leader.Image().Retired[args.Endpoint.ID]; ok && ended.Incarnation >= incarnation {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	command := state.Command{RetireEndpoint: &state.RetireEndpoint{Endpoint: args.Endpoint.ID, Incarnation: incarnation}}
	reply, err := a.leader.Commit(ctx, command)
	if err != nil {
		a.log.Warn("cannot commit that an endpoint leaves", "endpoint", args.Endpoint.ID, "err", err)
		return err
	}
	applied := a.awaitAppliedByHosts(reply.Revision)
	a.log.Info("endpoint leaves", "endpoint", args.Endpoint.ID, "incarnation", incarnation, "goodbye", args.Gone,
		"revision", reply.Revision, "applied_by_all", applied)
	return nil
}

// awaitAppliedByHosts waits up to hostAckTimeout until every host with a serving lease has applied a revision, and
// reports whether all have. Hosts that choose among endpoints by themselves must learn that an endpoint leaves before
// its announcement is acknowledged. The timeout keeps an unresponsive host from blocking the acknowledgement.
func (a *Assigner) awaitAppliedByHosts(revision uint64) bool {
	return a.awaitInForce(revision, a.clock.Now()+hostAckTimeout, hostAckPollInterval)
}

// awaitInForce waits up to a deadline until every host with a serving lease has applied a revision, and reports whether all have. It asks
// after the given interval first, and then less often.
func (a *Assigner) awaitInForce(revision uint64, deadline core.Millis, interval time.Duration) bool {
	for ; ; interval = min(maxHostAckPollInterval, 2*interval) {
		if a.leader.InForce(revision) {
			return true
		}
		if a.clock.Now() >= deadline {
			return false
		}
		time.Sleep(interval)
	}
}
