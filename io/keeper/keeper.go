package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/lease"
	"cyclamenford/core/quorum"
	"cyclamenford/core/repair"
	"cyclamenford/core/state"
	"cyclamenford/io/disk"
	"cyclamenford/io/peer"
	"cyclamenford/io/trace"
)

const (
	tickInterval   = 20 * time.Millisecond
	inboxLength    = 1024
	maxBatch       = 512
	proposeTimeout = 4 * time.Second
	// maintenanceInterval is how often the leader checks for expired serving leases and for due changes of the membership.
	maintenanceInterval = 250 * core.Millis(1)
	// purgeInterval is how often the leader deletes state that is past its retention.
	purgeInterval = 10 * 60 * core.Second
	// minCompactionBytes is the smallest size of the log's data at which a snapshot is taken.
	minCompactionBytes = 4 << 20
)

// FoundingKeeper is the peer address of a keeper's host.
type FoundingKeeper struct {
	ID      core.HostID
	Address string
}

// Options are the settings of a keeper.
type Options struct {
	Host core.HostID
	// Address is this keeper's own peer address.
	Address string
	// Founding lists the keepers that form a new deployment; the first one starts it. IDs may be empty.
	Founding []FoundingKeeper
	// Existing prevents a keeper with an empty disk from starting a new deployment, because the deployment already exists.
	Existing bool
	// Voters is the wanted number of voting keepers.
	Voters int
	// ReplaceAfter is how long a voter may be silent before a learner that has caught up replaces it.
	ReplaceAfter core.Millis
	Quorum       quorum.Settings
	// Trace creates the spans of the calls that this keeper serves.
	Trace *trace.Tracer
}

// Keeper runs one member of the replicated log and applies the log to its copy of the control state.
type Keeper struct {
	options Options
	log     *slog.Logger
	clock   core.Clock
	store   *disk.Store
	client  *peer.Client
	outbox  *outbox

	inbox     chan quorum.Message
	proposals chan proposal
	reads     chan pendingRead
	loopFuncs chan func()
	done      chan struct{}
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	addressBook *addressBook
	changes     *changeSignal

	// Only the loop's goroutine uses the fields up to mu.
	node             *quorum.Node
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]pendingRead
	lastReadID       uint64
	logBytes         int
	snapshotBytes    int
	lastMaintenance  core.Millis
	lastPurge        core.Millis
	// changeOpen means that a membership change of this leader may not be committed yet, and leaving holds when members
	// announced to this leader that their process ends.
	changeOpen bool
	leaving    map[quorum.Member]core.Millis

	mu        sync.Mutex
	machine   *state.Machine
	leases    *lease.Table
	leaseTerm uint64
	view      view
	failed    error
	// suspendedAt is the time at which a write to the disk failed, 0 while writes succeed.
	suspendedAt core.Millis
	// redundancy is what this keeper, while it leads, last found, and reducedAt the time since which fewer losses are
	// tolerated than wanted, or 0.
	redundancy repair.Redundancy
	reducedAt  core.Millis
}

// view is a copy of the node's state that the loop publishes for other goroutines.
type view struct {
	role       quorum.Role
	ready      bool
	leader     quorum.Member
	term       uint64
	commit     uint64
	leaseUntil core.Millis
	config     quorum.Config
	// lag is the number of entries that the slowest voter is missing, as far as the leader knows.
	lag uint64
}

// proposal is a command to append to the log, with the channel for its result.
type proposal struct {
	command []byte
	reply   chan proposalResult
}

type proposalResult struct {
	reply state.Reply
	err   error
}

// pendingProposal is a proposal in the log that has not been applied yet; term is the term in which it was appended.
type pendingProposal struct {
	term  uint64
	reply chan proposalResult
}

// pendingRead asks for confirmation that this keeper still leads; done receives the result.
type pendingRead struct {
	done chan bool
}

// New returns a keeper that continues from the contents of an open store.
func New(o Options, store *disk.Store, contents disk.Contents, client *peer.Client, clock core.Clock, log *slog.Logger) (*Keeper, error) {
	k := &Keeper{
		options: o, log: log, clock: clock, store: store, client: client,
		inbox: make(chan quorum.Message, inboxLength), proposals: make(chan proposal, inboxLength),
		reads: make(chan pendingRead, inboxLength), loopFuncs: make(chan func()), done: make(chan struct{}), changes: newChangeSignal(),
		pendingProposals: map[uint64]pendingProposal{}, pendingReads: map[uint64]pendingRead{},
		leaving: map[quorum.Member]core.Millis{},
	}
	k.addressBook = newAddressBook(o.Address, store.Identity().Member(), contents.Entries)
	k.outbox = newOutbox(o.Address, client, k.peerAddress, log)
	if err := k.restoreMachine(contents.Snapshot.Data); err != nil {
		return nil, err
	}
	k.startNode(contents)
	log.Info("keeper opened its disk", "member", k.Member(), "founded", store.Identity().Founded, "term", contents.HardState.Term,
		"last_index", k.node.LastIndex(), "snapshot", contents.Snapshot.Index, "config", k.machine.Image().Config.Version,
		"voters", k.node.Config().Voters, "learners", k.node.Config().Learners, "torn_bytes", contents.TornBytes)
	return k, nil
}

// startNode replaces the consensus node by one that starts from the given contents of the disk.
func (k *Keeper) startNode(contents disk.Contents) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	k.node = quorum.New(k.clock.Now(), k.store.Identity().Member(), k.options.Quorum,
		contents.HardState, contents.Snapshot, contents.Entries, rng)
	k.snapshotBytes = len(contents.Snapshot.Data)
	k.publishView()
}

// restoreMachine replaces the control state by that of a snapshot, or by an empty one.
func (k *Keeper) restoreMachine(snapshot []byte) error {
	m := state.New()
	if len(snapshot) > 0 {
		restored, err := state.Restore(snapshot)
		if err != nil {
			return fmt.Errorf("restore control state: %w", err)
		}
		m = restored
	}
	k.mu.Lock()
	k.machine = m
	k.mu.Unlock()
	return nil
}

// Member returns the keeper's name in the replicated log.
func (k *Keeper) Member() quorum.Member {
	return k.store.Identity().Member()
}

// Register registers the keeper's RPC services on the server.
func (k *Keeper) Register(s *peer.Server) error {
	return errors.Join(
		s.Register(QuorumService, &quorumCalls{k}),
		s.Register(ControlService, &controlCalls{k}),
	)
}

// Start runs the keeper's loop and the discovery of other keepers, which also starts a new deployment if that is due.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.wg.Go(func() { k.run(ctx) })
	k.wg.Go(func() { k.discover(ctx) })
	return nil
}

// Stop hands the vote to a learner that has caught up, if there is one, transfers leadership, sends queued messages, ends the
// loop and closes the store.
func (k *Keeper) Stop(ctx context.Context) error {
	if ctx.Err() == nil {
		k.leave(ctx)
	}
	if err := k.onLoop(ctx, func() { k.node.TransferLeadership() }); err != nil {
		k.log.Debug("transfer leadership at shutdown", "err", err)
	}
	k.outbox.drain(ctx)
	k.cancel()
	k.wg.Wait()
	k.outbox.stop()
	return k.store.Close()
}

func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.failProposals()
			return
		case m := <-k.inbox:
			k.node.Step(k.clock.Now(), m)
			k.drainInbox()
		case p := <-k.proposals:
			k.propose(p)
			k.drainProposals()
			k.node.Flush()
		case r := <-k.reads:
			k.startRead(r)
		case f := <-k.loopFuncs:
			f()
		case <-ticker.C:
			k.node.Tick(k.clock.Now())
			k.runMaintenance()
		}
		if err := k.processOutput(); err != nil && !k.suspend(ctx, err) {
			return
		}
	}
}

func (k *Keeper) drainInbox() {
	for range maxBatch {
		select {
		case m := <-k.inbox:
			k.node.Step(k.clock.Now(), m)
		default:
			return
		}
	}
}

func (k *Keeper) drainProposals() {
	for range maxBatch {
		select {
		case p := <-k.proposals:
			k.propose(p)
		default:
			return
		}
	}
}

func (k *Keeper) propose(p proposal) {
	index, err := k.node.Propose(p.command)
	if err != nil {
		p.reply <- proposalResult{err: err}
		return
	}
	k.pendingProposals[index] = pendingProposal{term: k.node.Term(), reply: p.reply}
}

// startRead asks the node to confirm leadership; completeReads returns the result.
func (k *Keeper) startRead(r pendingRead) {
	k.lastReadID++
	k.pendingReads[k.lastReadID] = r
	k.node.ReadIndex(k.lastReadID)
}

// processOutput saves, sends and applies the node's output until there is none left, and then compacts the log if due.
func (k *Keeper) processOutput() error {
	for {
		out := k.node.TakeOutput()
		if out.Empty() {
			break
		}
		if err := k.save(out); err != nil {
			return err
		}
		k.outbox.send(out.Messages)
		k.apply(out.Committed)
		k.completeReads(out.Reads)
	}
	k.publishView()
	return k.compact()
}

// save makes the output durable. It must return before the output's messages are sent.
func (k *Keeper) save(out quorum.Output) error {
	if out.HardState == nil && out.Snapshot == nil && len(out.Entries) == 0 {
		return nil
	}
	if err := k.store.MarkFounded(); err != nil {
		return err
	}
	if out.Snapshot != nil {
		return k.installSnapshot(*out.Snapshot)
	}
	for _, e := range out.Entries {
		k.logBytes += len(e.Data)
	}
	return k.store.Save(out.HardState, out.Entries)
}

// installSnapshot makes a snapshot received from the leader durable and replaces the log and the control state by it.
func (k *Keeper) installSnapshot(s quorum.Snapshot) error {
	if err := k.store.SaveSnapshot(s); err != nil {
		return err
	}
	if err := k.store.RewriteLog(k.node.HardState(), k.node.EntriesAfter(s.Index)); err != nil {
		return err
	}
	if err := k.restoreMachine(s.Data); err != nil {
		return err
	}
	k.snapshotBytes, k.logBytes = len(s.Data), 0
	k.notifyFollowers()
	return nil
}

// compact takes a snapshot once the log's data is as large as the last snapshot and at least minCompactionBytes.
func (k *Keeper) compact() error {
	if k.logBytes < max(minCompactionBytes, k.snapshotBytes) {
		return nil
	}
	data, err := k.machine.Snapshot()
	if err != nil {
		return err
	}
	snap := k.node.Compact(k.machine.Applied(), data)
	if err := k.store.SaveSnapshot(snap); err != nil {
		return err
	}
	k.snapshotBytes, k.logBytes = len(data), 0
	return k.store.RewriteLog(k.node.HardState(), k.node.EntriesAfter(snap.Index))
}

func (k *Keeper) apply(entries []quorum.Entry) {
	before := k.machine.Image().Revision
	for _, e := range entries {
		reply := k.applyEntry(e)
		w, ok := k.pendingProposals[e.Index]
		if !ok {
			continue
		}
		delete(k.pendingProposals, e.Index)
		if w.term == e.Term {
			w.reply <- proposalResult{reply: reply}
		} else {
			w.reply <- proposalResult{err: quorum.ErrNotLeader}
		}
	}
	if k.machine.Image().Revision != before {
		k.notifyFollowers()
	}
}

// applyEntry applies a committed command to the control state. An entry that cannot be decoded changes nothing.
func (k *Keeper) applyEntry(e quorum.Entry) state.Reply {
	if e.Kind != quorum.CommandEntry || len(e.Data) == 0 {
		return state.Reply{}
	}
	c, err := state.DecodeCommand(e.Data)
	if err != nil {
		return state.Reply{Result: state.Refused, Detail: err.Error()}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Apply(e.Index, c)
}

func (k *Keeper) completeReads(reads []quorum.Read) {
	for _, r := range reads {
		if waiting, ok := k.pendingReads[r.ID]; ok {
			delete(k.pendingReads, r.ID)
			waiting.done <- r.OK
		}
	}
}

// notifyFollowers wakes the Follow calls that wait for a change of the image.
func (k *Keeper) notifyFollowers() {
	k.mu.Lock()
	followers := 0
	if k.leases != nil {
		followers = k.leases.Len()
	}
	k.mu.Unlock()
	k.changes.notify(followers)
}

// publishView copies the node's state to the view, and starts an empty lease table when this keeper begins to lead a term.
func (k *Keeper) publishView() {
	if k.node.Role() != quorum.Leader {
		k.failProposals()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view = view{
		role: k.node.Role(), ready: k.node.Ready(), leader: k.node.Leader(), term: k.node.Term(),
		commit: k.node.Commit(), leaseUntil: k.node.LeaseExpiry(), config: k.node.Config(),
	}
	if k.view.role != quorum.Leader {
		k.leases = nil
		k.redundancy, k.reducedAt = repair.Redundancy{}, 0
		return
	}
	for _, v := range k.view.config.Voters {
		k.view.lag = max(k.view.lag, k.node.LastIndex()-k.node.MatchIndex(v))
	}
	if k.leases == nil || k.leaseTerm != k.view.term {
		k.leases = lease.New(k.clock.Now())
		k.leaseTerm = k.view.term
	}
}

// failProposals returns ErrNotLeader to every pending proposal, since this keeper cannot know whether it will be committed.
func (k *Keeper) failProposals() {
	for index, w := range k.pendingProposals {
		delete(k.pendingProposals, index)
		w.reply <- proposalResult{err: quorum.ErrNotLeader}
	}
}

// recordFailure records the error that ends this keeper, such as a corrupt disk. The other keepers continue.
func (k *Keeper) recordFailure(err error) {
	k.log.Error("keeper has stopped", "err", err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failed = err
}

// Err returns the error that ended the keeper, or nil while it runs.
func (k *Keeper) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.failed
}

// peerAddress returns the peer address of a member's host, or "" if it is not known.
func (k *Keeper) peerAddress(m quorum.Member) string {
	if a := k.addressBook.address(m); a != "" {
		return a
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.machine.Image().Hosts[m.Host()]; ok && h.PeerAddress != "" {
		return h.PeerAddress
	}
	for _, a := range k.options.Founding {
		if a.ID == m.Host() {
			return a.Address
		}
	}
	return ""
}
