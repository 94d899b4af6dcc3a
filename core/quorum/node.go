package quorum

import (
	"math/rand/v2"
	"slices"

	"cyclamenford/core"
)

// entriesKept is how many entries before a snapshot stay, so that slow members need no snapshot.
const entriesKept = 512

type progress struct {
	match    uint64
	next     uint64
	inflight int
	probing  bool
	// heard is when the last answer came, and sent the leader's time at which the answered message left.
	heard core.Millis
	sent  core.Millis
	round uint64
	// offset is the next byte of the snapshot to send; -1 while no snapshot is being sent.
	offset  int
	sentAt  core.Millis
	sending Snapshot
}

// Node is one member of the replicated log.
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
	// delivered is the last committed index handed to the shell.
	delivered uint64

	contact   core.Millis
	timeout   core.Millis
	beat      core.Millis
	ballots   map[Member]bool
	canvass   bool
	peers     map[Member]*progress
	round     uint64
	reads     []pendingRead
	termStart uint64
	incoming  *Snapshot

	out      Output
	hardSent HardState
	// mayCommit decides whether the leader may count replicas of an entry of a term.
	mayCommit func(entryTerm, ownTerm uint64) bool
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// New returns a member with what its disk holds; it keeps silent for one election timeout.
func New(now core.Millis, id Member, s Settings, hard HardState, snap Snapshot, entries []Entry, rng *rand.Rand) *Node {
	n := &Node{
		id: id, settings: s, rng: rng, now: now, hard: hard, hardSent: hard, log: newLog(snap, entries),
		commit: snap.Index, delivered: snap.Index, contact: now,
		mayCommit: func(entryTerm, ownTerm uint64) bool { return entryTerm == ownTerm },
	}
	n.resetTimeout()
	return n
}

// ID returns the member's name.
func (n *Node) ID() Member { return n.id }

// Role returns the present role.
func (n *Node) Role() Role { return n.role }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the leader of the term as far as known, or an empty name.
func (n *Node) Leader() Member { return n.leader }

// Commit returns the highest index known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// EntriesAfter returns the kept entries after an index.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.slice(index+1, int(n.log.lastIndex()))
}

// HardState returns the term and the vote.
func (n *Node) HardState() HardState { return n.hard }

// Config returns the newest membership in the log.
func (n *Node) Config() Config { return n.log.config() }

// Ready reports whether the member leads and has committed an entry of its term.
func (n *Node) Ready() bool {
	return n.role == Leader && n.commit >= n.termStart
}

// Lease returns the time until which no other member can have become leader.
func (n *Node) Lease() core.Millis {
	if n.role != Leader {
		return 0
	}
	sent := make([]core.Millis, 0, len(n.Config().Voters))
	for _, m := range n.Config().Voters {
		if m == n.id {
			sent = append(sent, n.now)
			continue
		}
		sent = append(sent, n.peers[m].sent)
	}
	slices.Sort(sent)
	oldest := sent[(len(sent)-1)/2]
	if oldest == 0 {
		return 0
	}
	return oldest + n.settings.ElectionTimeout*core.Millis(n.settings.LeasePercent)/100
}

// Heard returns when a member last answered this leader, 0 when it never has.
func (n *Node) Heard(m Member) core.Millis {
	if p, ok := n.peers[m]; ok {
		return p.heard
	}
	return 0
}

// Match returns the last index that a member is known to hold.
func (n *Node) Match(m Member) uint64 {
	if m == n.id {
		return n.log.lastIndex()
	}
	if p, ok := n.peers[m]; ok {
		return p.match
	}
	return 0
}

// Take returns and clears what the shell must do.
func (n *Node) Take() Output {
	o := n.out
	n.out = Output{}
	if n.hard != n.hardSent {
		h := n.hard
		o.HardState = &h
		n.hardSent = n.hard
	}
	for n.delivered < n.commit {
		batch := n.log.slice(n.delivered+1, int(n.commit-n.delivered))
		if len(batch) == 0 {
			break
		}
		o.Committed = append(o.Committed, batch...)
		n.delivered += uint64(len(batch))
	}
	return o
}

// Tick lets time pass.
func (n *Node) Tick(now core.Millis) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now-n.contact >= n.timeout && n.Config().IsVoter(n.id) {
		n.startCanvass()
	}
}

func (n *Node) tickLeader() {
	if !n.quorumHeard() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if n.now-n.beat >= n.settings.Heartbeat {
		n.broadcast()
	}
}

// quorumHeard reports whether a majority has answered within an election timeout.
func (n *Node) quorumHeard() bool {
	return n.active(n.Config().Voters) >= majority(n.Config().Voters)
}

func (n *Node) active(voters []Member) int {
	count := 0
	for _, m := range voters {
		p, ok := n.peers[m]
		if m == n.id || ok && n.now-p.heard < n.settings.ElectionTimeout {
			count++
		}
	}
	return count
}

func majority(voters []Member) int {
	return len(voters)/2 + 1
}

// Propose appends a command and returns its index.
func (n *Node) Propose(data []byte) (uint64, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	return n.appendEntry(Entry{Kind: Normal, Data: data}), nil
}

// Flush sends what was proposed since the last flush.
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

func (n *Node) appendEntry(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.hard.Term
	n.log.push(e)
	n.out.Entries = append(n.out.Entries, e)
	return e.Index
}

// Compact replaces the log up to the snapshot's index, which must have been delivered.
func (n *Node) Compact(index uint64, data []byte) Snapshot {
	term, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: term, Config: n.log.configUpTo(index), Data: data}
	n.log.compact(s, entriesKept)
	return s
}

// ReadIndex asks for an index at which a read is current; the answer comes as a Read.
func (n *Node) ReadIndex(id uint64) {
	if !n.Ready() {
		n.out.Reads = append(n.out.Reads, Read{ID: id})
		return
	}
	n.broadcast()
	n.reads = append(n.reads, pendingRead{id: id, index: n.commit, round: n.round})
	n.finishReads()
}

func (n *Node) finishReads() {
	for len(n.reads) > 0 && n.acknowledged(n.reads[0].round) {
		r := n.reads[0]
		n.out.Reads = append(n.out.Reads, Read{ID: r.id, Index: r.index, OK: true})
		n.reads = n.reads[1:]
	}
}

func (n *Node) acknowledged(round uint64) bool {
	count := 0
	for _, m := range n.Config().Voters {
		if m == n.id || n.peers[m].round >= round {
			count++
		}
	}
	return count >= majority(n.Config().Voters)
}

func (n *Node) failReads() {
	for _, r := range n.reads {
		n.out.Reads = append(n.out.Reads, Read{ID: r.id})
	}
	n.reads = nil
}

func (n *Node) becomeFollower(term uint64, leader Member) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	n.role, n.leader, n.canvass = Follower, leader, false
	n.peers = nil
	n.failReads()
	n.resetTimeout()
}

func (n *Node) resetTimeout() {
	n.timeout = n.settings.ElectionTimeout + core.Millis(n.rng.Int64N(int64(n.settings.ElectionTimeout)))
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}
