package quorum

import (
	"math/rand/v2"
	"slices"

	"cyclamenford/core"
)

// progress is the leader's view of the replication to one member.
type progress struct {
	// match is the highest index known to be on the member, matchSize the bytes of data in all entries up to it, and next the index of
	// the next entry to send.
	match     uint64
	matchSize int
	next      uint64
	inflight  int
	// probing means that match is not confirmed; next then stays until the member accepts an append.
	probing bool
	// lastReply is when the last reply arrived. ackedSentAt is the leader's time at which the newest acknowledged message
	// was sent, and ackedRound its newest acknowledged heartbeat round.
	lastReply   core.Millis
	ackedSentAt core.Millis
	ackedRound  uint64
	// snapshotOffset is the position of the next byte of the snapshot to send, or -1 while none is being sent.
	// chunkSentAt is when the last chunk was sent, or 0 if the next one may be sent at once.
	snapshotOffset int
	chunkSentAt    core.Millis
	outgoing       Snapshot
}

// Node is one member of the replicated log. It does no I/O: the caller passes in time and messages and carries out the
// Output. It is not safe for concurrent use.
type Node struct {
	id       Member
	settings Settings
	rng      *rand.Rand
	now      core.Millis

	role   Role
	hard   HardState
	leader Member
	log    *log
	commit uint64
	// delivered is the last committed index returned to the caller.
	delivered uint64

	// timerStart is when the election timer was last restarted: at a message of the leader, a granted vote or this
	// member's own (pre-)election. randomTimeout is the randomized time after which the next pre-vote starts.
	timerStart    core.Millis
	randomTimeout core.Millis
	// tickedAt is the time of the last tick. excused means that a standstill of this member has been excused since it last heard the
	// leader or, on a leader, a majority, which has until excusedUntil to reply.
	tickedAt, excusedUntil core.Millis
	excused                bool
	// heardLeader is when the last message of a leader arrived, 0 if none has since the start.
	heardLeader core.Millis
	// lastBroadcast is when the leader last broadcast a heartbeat.
	lastBroadcast core.Millis
	grantedVotes  map[Member]bool
	// preVoting means that a pre-vote is in progress.
	preVoting bool
	peers     map[Member]*progress
	round     uint64
	reads     []pendingRead
	// termFirstIndex is the index of the leader's first entry in its term.
	termFirstIndex uint64
	// incomingSnapshot is the part of a snapshot received so far.
	incomingSnapshot *Snapshot

	out Output
	// reportedHard is the hard state that the caller was last given to save.
	reportedHard HardState
	// mayCommitByCount reports whether the leader may commit an entry of the given term by counting its replicas.
	mayCommitByCount func(entryTerm, ownTerm uint64) bool
}

// pendingRead is a read that is confirmed once a quorum has acknowledged the heartbeat round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// New returns a follower with the state saved on its disk. It starts no pre-vote and grants no unforced vote for one
// election timeout, since a leader that it acknowledged before a restart may still hold a lease.
func New(now core.Millis, id Member, s Settings, hard HardState, snap Snapshot, entries []Entry, rng *rand.Rand) *Node {
	n := &Node{
		id: id, settings: s, rng: rng, now: now, hard: hard, reportedHard: hard, log: newLog(snap, entries),
		commit: snap.Index, delivered: snap.Index, timerStart: now, tickedAt: now,
		mayCommitByCount: func(entryTerm, ownTerm uint64) bool { return entryTerm == ownTerm },
	}
	n.resetTimeout()
	return n
}

// ID returns the member's identifier.
func (n *Node) ID() Member { return n.id }

// Role returns the member's role in the current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the leader of the current term, or an empty name if it is unknown.
func (n *Node) Leader() Member { return n.leader }

// Commit returns the highest index known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the index of the last log entry.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// EntriesAfter returns the retained entries after an index.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.entriesFrom(index+1, int(n.log.lastIndex()))
}

// HardState returns the current term and the vote cast in it.
func (n *Node) HardState() HardState { return n.hard }

// Config returns the newest membership in the log, committed or not.
func (n *Node) Config() Config { return n.log.config() }

// Ready reports whether the member leads and has committed an entry of its term, so that its commit index covers all
// earlier commits.
func (n *Node) Ready() bool {
	return n.role == Leader && n.commit >= n.termFirstIndex
}

// LeaseExpiry returns the time until which no other member can have become leader, or 0 if the member does not
// lead or too few voters have replied. It counts from when the newest messages that a majority has
// acknowledged were sent.
func (n *Node) LeaseExpiry() core.Millis {
	if n.role != Leader {
		return 0
	}
	sent := make([]core.Millis, 0, len(n.Config().Voters))
	for _, m := range n.Config().Voters {
		if m == n.id {
			sent = append(sent, n.now)
			continue
		}
		sent = append(sent, n.peers[m].ackedSentAt)
	}
	slices.Sort(sent)
	oldest := sent[(len(sent)-1)/2]
	if oldest == 0 {
		return 0
	}
	return oldest + n.settings.ElectionTimeout*core.Millis(n.settings.LeasePercent)/100
}

// LastReply returns when the last reply of a member arrived. Before the first reply to this leader it is when the member's
// progress record was created or, for a voter that has not voted for this leader, when this leader last heard the former one.
// It returns 0 for an unknown member.
func (n *Node) LastReply(m Member) core.Millis {
	if p, ok := n.peers[m]; ok {
		return p.lastReply
	}
	return 0
}

// MatchIndex returns the highest log index known to be replicated to a member.
func (n *Node) MatchIndex(m Member) uint64 {
	if m == n.id {
		return n.log.lastIndex()
	}
	if p, ok := n.peers[m]; ok {
		return p.match
	}
	return 0
}

// TakeOutput returns and clears the pending output, which the caller must carry out.
func (n *Node) TakeOutput() Output {
	o := n.out
	n.out = Output{}
	if n.hard != n.reportedHard {
		h := n.hard
		o.HardState = &h
		n.reportedHard = n.hard
	}
	for n.delivered < n.commit {
		batch := n.log.entriesFrom(n.delivered+1, int(n.commit-n.delivered))
		if len(batch) == 0 {
			break
		}
		o.Committed = append(o.Committed, batch...)
		n.delivered += uint64(len(batch))
	}
	return o
}

// standstillHeartbeats is the time between two ticks, in heartbeats, above which a member has stood still.
const standstillHeartbeats = 2

// Tick advances the clock and runs the timers: heartbeats and the quorum check on a leader, the election timer on other
// members.
func (n *Node) Tick(now core.Millis) {
	n.now = max(n.now, now)
	if n.now-n.tickedAt > standstillHeartbeats*n.settings.Heartbeat && !n.excused {
		n.excuseStandstill()
	}
	n.tickedAt = n.now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now-n.timerStart >= n.randomTimeout && n.Config().IsVoter(n.id) {
		n.startPreVote()
	}
}

// excuseStandstill handles that this member has not run for a while, so that it can't tell whether the others were silent. They get half an
// election timeout, once, to be heard. That never shortens the time for which a leader may hold its lease.
func (n *Node) excuseStandstill() {
	grace := n.settings.ElectionTimeout / 2
	n.excused, n.excusedUntil = true, n.now+grace
	n.timerStart = max(n.timerStart, n.now-grace)
}

// tickLeader steps down without a quorum of replies, and otherwise broadcasts a heartbeat when one is due.
func (n *Node) tickLeader() {
	switch {
	case n.quorumActive():
		n.excused = false
	case !n.excused || n.now >= n.excusedUntil:
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if n.now-n.lastBroadcast >= n.settings.Heartbeat {
		n.broadcast()
	}
}

// quorumActive reports whether a majority of the voters has replied within an election timeout.
func (n *Node) quorumActive() bool {
	return n.countActive(n.Config().Voters) >= majority(n.Config().Voters)
}

// countActive counts the given voters that have replied within an election timeout, including this member.
func (n *Node) countActive(voters []Member) int {
	count := 0
	for _, m := range voters {
		p, ok := n.peers[m]
		if m == n.id || ok && n.now-p.lastReply < n.settings.ElectionTimeout {
			count++
		}
	}
	return count
}

func majority(voters []Member) int {
	return len(voters)/2 + 1
}

// ChangePending reports whether the newest membership is not yet committed.
func (n *Node) ChangePending() bool {
	return n.log.configIndex() > n.commit
}

// Propose appends a command to the leader's log and returns its index. Flush replicates it.
func (n *Node) Propose(data []byte) (uint64, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	return n.appendEntry(Entry{Kind: CommandEntry, Data: data}), nil
}

// Flush sends the entries proposed since the last flush to all members.
func (n *Node) Flush() {
	if n.role != Leader {
		return
	}
	for _, m := range n.Config().Members() {
		if m != n.id {
			n.sendAppend(m, false)
		}
	}
	n.advanceCommit()
}

// appendEntry gives an entry the next index and the current term and appends it to the log.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.hard.Term
	n.log.push(e)
	n.out.Entries = append(n.out.Entries, e)
	return e.Index
}

// Compact records a snapshot of the state at an index, which must have been delivered, and discards older log entries.
func (n *Node) Compact(index uint64, data []byte) Snapshot {
	term, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: term, Config: n.log.configAsOf(index), Data: data}
	n.log.compact(s, n.settings.RetainedEntries, n.settings.RetainedBytes)
	return s
}

// ReadIndex requests an index from which a read is linearizable. The result arrives as a Read with the given ID in the
// output; it is not OK if the member does not lead.
func (n *Node) ReadIndex(id uint64) {
	if !n.Ready() {
		n.out.Reads = append(n.out.Reads, Read{ID: id})
		return
	}
	n.broadcast()
	n.reads = append(n.reads, pendingRead{id: id, index: n.commit, round: n.round})
	n.finishReads()
}

// finishReads answers the pending reads whose heartbeat round a quorum has acknowledged.
func (n *Node) finishReads() {
	for len(n.reads) > 0 && n.roundAcknowledged(n.reads[0].round) {
		r := n.reads[0]
		n.out.Reads = append(n.out.Reads, Read{ID: r.id, Index: r.index, OK: true})
		n.reads = n.reads[1:]
	}
}

// roundAcknowledged reports whether a majority of the voters has acknowledged a heartbeat round.
func (n *Node) roundAcknowledged(round uint64) bool {
	count := 0
	for _, m := range n.Config().Voters {
		if m == n.id || n.peers[m].ackedRound >= round {
			count++
		}
	}
	return count >= majority(n.Config().Voters)
}

// failReads answers all pending reads as failed.
func (n *Node) failReads() {
	for _, r := range n.reads {
		n.out.Reads = append(n.out.Reads, Read{ID: r.id})
	}
	n.reads = nil
}

// becomeFollower steps down, raising the term if the given one is higher, and fails the pending reads.
func (n *Node) becomeFollower(term uint64, leader Member) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	n.role, n.leader, n.preVoting = Follower, leader, false
	n.peers = nil
	n.failReads()
	n.resetTimeout()
}

// resetTimeout chooses a random election timeout between one and two times the shortest.
func (n *Node) resetTimeout() {
	n.randomTimeout = n.settings.ElectionTimeout + core.Millis(n.rng.Int64N(int64(n.settings.ElectionTimeout)))
}

// send queues a message, filling in the sender and, if it is 0, the current term.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}
