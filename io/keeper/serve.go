package keeper

import (
	"context"
	"fmt"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/lease"
	"cyclamenford/core/origin"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
	"cyclamenford/io"
)

// maxFollowWait limits how long a Follow call waits for a change.
const maxFollowWait = core.Second

type quorumCalls struct{ k *Keeper }

// Deliver queues messages of the replicated log for the loop, and drops the rest when the queue is full.
func (c *quorumCalls) Deliver(args Batch, _ *struct{}) error {
	c.k.addressBook.set(args.From, args.Address)
	for _, m := range args.Messages {
		select {
		case c.k.inbox <- m:
		default:
			return nil
		}
	}
	return nil
}

type controlCalls struct{ k *Keeper }

// Meet records the addresses that a keeper sends and returns this keeper's member name and known addresses.
func (c *controlCalls) Meet(args MeetArgs, reply *MeetReply) error {
	c.k.addressBook.merge(args)
	id := c.k.store.Identity()
	*reply = MeetReply{Member: id.Member(), Founded: id.Founded, Known: c.k.addressBook.all()}
	return nil
}

// Locate reports whether this keeper leads, and otherwise the leader's address if it is known.
func (c *controlCalls) Locate(_ LocateArgs, reply *Located) error {
	*reply = c.k.locateLeader()
	return nil
}

// Propose commits a command if this keeper leads, and otherwise returns the leader's address.
func (c *controlCalls) Propose(args ProposeArgs, reply *ProposeReply) error {
	located := c.k.locateLeader()
	reply.Located = located
	if !located.Leading {
		return nil
	}
	command, err := state.DecodeCommand(args.Command)
	if err != nil {
		reply.Reply = state.Reply{Result: state.Refused, Detail: err.Error()}
		return nil
	}
	command.Unix = c.k.clock.Unix()
	raw, err := command.Encode()
	if err != nil {
		return err
	}
	ctx, span := c.k.options.Trace.StartSpan(c.k.options.Trace.Extract(context.Background(), args.Trace), "commit")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := c.k.commit(ctx, raw)
	if err != nil {
		return err
	}
	reply.Reply = r
	return nil
}

// commit proposes an encoded command and waits until it is applied.
func (k *Keeper) commit(ctx context.Context, raw []byte) (state.Reply, error) {
	p := proposal{command: raw, reply: make(chan proposalResult, 1)}
	select {
	case k.proposals <- p:
	case <-ctx.Done():
		return state.Reply{}, fmt.Errorf("queue proposal: %w", ctx.Err())
	case <-k.done:
		return state.Reply{}, quorum.ErrNotLeader
	}
	select {
	case r := <-p.reply:
		return r.reply, r.err
	case <-ctx.Done():
		return p.resultOr(fmt.Errorf("commit proposal: %w", ctx.Err()))
	case <-k.done:
		return p.resultOr(quorum.ErrNotLeader)
	}
}

// resultOr returns the result of the proposal, or err if there is none. A select takes any of the events that have occurred.
func (p proposal) resultOr(err error) (state.Reply, error) {
	select {
	case r := <-p.reply:
		return r.reply, r.err
	default:
		return state.Reply{}, err
	}
}

// locateLeader reports whether this keeper leads with a valid lease, and otherwise the leader's address if it is known.
func (k *Keeper) locateLeader() Located {
	k.mu.Lock()
	v := k.view
	k.mu.Unlock()
	if v.role == quorum.Leader && v.ready && v.leaseUntil > k.clock.Now() {
		return Located{Leading: true}
	}
	if v.leader == "" || v.leader == k.Member() {
		return Located{}
	}
	return Located{LeaderAddress: k.peerAddress(v.leader)}
}

// Follow returns the changes after the host's revision and renews the host's serving lease. Without changes it waits
// for one, for as long as the host allows.
func (c *controlCalls) Follow(args FollowArgs, reply *FollowReply) error {
	k := c.k
	deadline := time.NewTimer(min(args.WaitMs, maxFollowWait).Duration())
	defer deadline.Stop()
	for {
		reply.Located = k.locateLeader()
		if !reply.Leading {
			return nil
		}
		done, changed := k.renewAndCollect(args, reply)
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			args.WaitMs = 0
		case <-k.done:
			reply.Located = Located{}
			return nil
		}
	}
}

// renewAndCollect renews the lease. It fills the reply and returns true, or returns false and a channel that is closed
// at the next change if the call should wait.
func (k *Keeper) renewAndCollect(args FollowArgs, reply *FollowReply) (bool, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil {
		reply.Located = Located{}
		return true, nil
	}
	image := k.machine.Image()
	if h, ok := image.Hosts[args.Host]; ok && h.Incarnation > args.Incarnation {
		reply.Ended = true
		return true, nil
	}
	granted := k.leases.Grant(k.clock.Now(), args.Host, args.Incarnation, args.Revision)
	changed, pending := k.changes.next()
	if args.WaitMs > 0 && granted && (args.Revision == image.Revision || pending) {
		return false, changed
	}
	deltas, kept := k.machine.DeltasSince(args.Revision)
	if !kept {
		deltas, reply.Whole = image.Deltas(), true
	}
	reply.Deltas, reply.Revision = deltas, image.Revision
	if granted {
		reply.LeaseMs = lease.TTL
	} else {
		reply.Ended = true
	}
	return true, nil
}

// Query reads the control state after a majority has confirmed that this keeper still leads.
func (c *controlCalls) Query(args QueryArgs, reply *QueryReply) error {
	located := c.k.locateLeader()
	reply.Located = located
	if !located.Leading {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if !c.k.confirmLeadership(ctx) {
		reply.Located = Located{}
		return nil
	}
	reply.Answer = c.k.answerQuery(args.Query)
	return nil
}

// confirmLeadership reports whether a majority confirms that this keeper still leads.
func (k *Keeper) confirmLeadership(ctx context.Context) bool {
	r := pendingRead{done: make(chan bool, 1)}
	select {
	case k.reads <- r:
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-r.done:
		return ok
	case <-ctx.Done():
		return false
	case <-k.done:
		return false
	}
}

func (k *Keeper) answerQuery(q io.Query) io.Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	var a io.Answer
	switch {
	case q.Path != "":
		a.History = k.machine.History(q.Path)
	case q.Orders:
		a.Orders = k.machine.Orders()
	case q.Call != nil:
		if e, ok := k.machine.LedgerEntry(*q.Call); ok {
			a.Call = &e
		}
	case q.Config:
		c := k.machine.Image().Config
		a.Config = &c
	case q.Status:
		a.Status = k.status()
	case q.AppliedBy > 0:
		if k.leases != nil && k.machine.Image().Revision >= q.AppliedBy {
			a.InForce, a.Behind = k.leases.InForce(k.clock.Now(), q.AppliedBy)
		}
	}
	return a
}

func (k *Keeper) status() *io.Status {
	s := &io.Status{
		Leader: k.view.leader, Term: k.view.term, Commit: k.view.commit, Config: k.view.config,
		Revision: k.machine.Image().Revision, Calls: k.machine.LedgerLen(),
	}
	if k.leases == nil {
		return s
	}
	for _, h := range k.leases.Leases() {
		s.Leases = append(s.Leases, io.Lease{Host: h.Host, Revision: h.Revision, LeftMs: h.Until - k.clock.Now()})
	}
	return s
}

// Leading returns the current term, and true if this keeper leads it with a valid lease.
func (k *Keeper) Leading() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.view
	return v.term, v.role == quorum.Leader && v.ready && v.leaseUntil > k.clock.Now()
}

// Image returns this keeper's copy of the published image.
func (k *Keeper) Image() state.Image {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Image()
}

// Commit proposes a command on behalf of this process and waits until it is applied.
func (k *Keeper) Commit(ctx context.Context, c state.Command) (state.Reply, error) {
	c.Unix = k.clock.Unix()
	raw, err := c.Encode()
	if err != nil {
		return state.Reply{}, err
	}
	return k.commit(ctx, raw)
}

// InForce reports whether every host that holds a serving lease has applied a revision.
func (k *Keeper) InForce(revision uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil {
		return false
	}
	return k.leases.AppliedByAll(k.clock.Now(), revision)
}

// Located reports whether this keeper leads, and otherwise the leader's peer address if it is known.
func (k *Keeper) Located() Located { return k.locateLeader() }

// Versions returns the software versions of a service whose streams may still be continued.
func (k *Keeper) Versions(service string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Versions(service)
}

// StreamVersion returns the software version at which a stream of a service began, or false if that is not known.
func (k *Keeper) StreamVersion(service string, s origin.Stream) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.StreamVersion(service, s)
}
