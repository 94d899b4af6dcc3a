package quorum

import (
	"slices"

	"cyclamenford/core"
)

// Step takes in a message from another member.
func (n *Node) Step(now core.Millis, m Message) {
	n.now = max(n.now, now)
	if m.To != n.id {
		return
	}
	switch m.Kind {
	case PreVote:
		n.onPreVote(m)
		return
	case PreVoteReply:
		n.onPreVoteReply(m)
		return
	case Vote:
		n.onVote(m)
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case VoteReply:
		n.onVoteReply(m)
	case Append:
		n.onAppend(m)
	case AppendReply:
		n.onAppendReply(m)
	case Piece:
		n.onPiece(m)
	case PieceReply:
		n.onPieceReply(m)
	case Handover:
		n.onHandover(m)
	}
}

// broadcast sends a numbered heartbeat, with entries where they are due, to every member.
func (n *Node) broadcast() {
	n.round++
	n.beat = n.now
	for _, m := range n.Config().Members() {
		if m == n.id {
			continue
		}
		p := n.peers[m]
		if n.now-p.heard > 2*n.settings.Heartbeat {
			p.inflight = 0
		}
		n.sendAppend(m, true)
	}
}

func (n *Node) sendAppend(to Member, heartbeat bool) {
	p := n.peers[to]
	prevTerm, kept := n.log.term(p.next - 1)
	if !kept {
		n.sendPiece(to, heartbeat)
		return
	}
	var entries []Entry
	if p.inflight < n.settings.MaxInflight && (!p.probing || heartbeat || p.inflight == 0) {
		entries = n.log.slice(p.next, n.settings.MaxBatch)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	n.send(Message{
		Kind: Append, To: to, Index: p.next - 1, LogTerm: prevTerm, Entries: entries,
		Commit: n.commit, Round: n.round, SentAt: n.now,
	})
	if len(entries) == 0 {
		return
	}
	p.inflight++
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

func (n *Node) onAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From, Round: m.Round, SentAt: m.SentAt}
	if m.Term < n.hard.Term {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.followLeader(m.From)
	if !n.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Index = n.rejectHint(m.Index, m.LogTerm)
		n.send(reply)
		return
	}
	n.store(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	reply.Index = last
	n.send(reply)
}

func (n *Node) followLeader(leader Member) {
	if n.role != Follower || n.leader != leader || n.canvass {
		n.becomeFollower(n.hard.Term, leader)
	}
	n.contact = n.now
}

// matches reports whether the log holds the position; what a snapshot covers is committed and so equal.
func (n *Node) matches(index, term uint64) bool {
	if index < n.log.baseIndex {
		return true
	}
	t, ok := n.log.term(index)
	return ok && t == term
}

// rejectHint returns the last index that may match the leader's log.
func (n *Node) rejectHint(index, term uint64) uint64 {
	hint := min(index-1, n.log.lastIndex())
	for hint > n.commit {
		if t, ok := n.log.term(hint); ok && t <= term {
			break
		}
		hint--
	}
	return max(hint, min(n.commit, index-1))
}

// store appends the entries that are new and replaces those that differ.
func (n *Node) store(entries []Entry) {
	for i, e := range entries {
		if e.Index <= n.log.baseIndex {
			continue
		}
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.log.truncate(e.Index)
			n.dropUnsaved(e.Index)
		}
		for _, fresh := range entries[i:] {
			n.log.push(fresh)
			n.out.Entries = append(n.out.Entries, fresh)
		}
		return
	}
}

// dropUnsaved removes replaced entries that the shell has not taken yet.
func (n *Node) dropUnsaved(from uint64) {
	n.out.Entries = slices.DeleteFunc(n.out.Entries, func(e Entry) bool { return e.Index >= from })
}

// answer updates what is known of a member that has answered, and returns its progress.
func (n *Node) answer(m Message) *progress {
	if n.role != Leader || m.Term != n.hard.Term {
		return nil
	}
	p, ok := n.peers[m.From]
	if !ok {
		return nil
	}
	p.heard = n.now
	p.sent = max(p.sent, m.SentAt)
	p.round = max(p.round, m.Round)
	return p
}

func (n *Node) onAppendReply(m Message) {
	p := n.answer(m)
	if p == nil {
		return
	}
	p.inflight = max(0, p.inflight-1)
	if m.Reject {
		if m.Index < p.match {
			n.finishReads()
			return
		}
		p.next = min(p.next, m.Index+1)
		p.probing = true
		p.inflight = 0
		n.sendAppend(m.From, false)
		n.finishReads()
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	if n.advanceCommit() {
		n.shareCommit()
	}
	n.sendAppend(m.From, false)
	n.finishReads()
}

// shareCommit tells the members of a new commit index without waiting for the next heartbeat.
func (n *Node) shareCommit() {
	for _, m := range n.Config().Members() {
		if m != n.id {
			n.sendAppend(m, true)
		}
	}
}

// advanceCommit commits what a majority holds and reports whether that was news.
func (n *Node) advanceCommit() bool {
	voters := n.Config().Voters
	matches := make([]uint64, 0, len(voters))
	for _, m := range voters {
		matches = append(matches, n.Match(m))
	}
	slices.Sort(matches)
	held := matches[(len(matches)-1)/2]
	if held <= n.commit {
		return false
	}
	if t, ok := n.log.term(held); !ok || !n.mayCommit(t, n.hard.Term) {
		return false
	}
	n.commit = held
	n.afterCommit()
	return true
}

// afterCommit lets a leader that has been removed step down.
func (n *Node) afterCommit() {
	if n.commit >= n.log.configIndex() && !n.Config().IsVoter(n.id) {
		n.becomeFollower(n.hard.Term, "")
	}
}

// ChangeConfig proposes a membership that differs by one member.
func (n *Node) ChangeConfig(c Config) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.Ready() {
		return ErrNotReady
	}
	if n.log.configIndex() > n.commit {
		return ErrChangePending
	}
	if err := n.checkChange(c); err != nil {
		return err
	}
	n.appendEntry(Entry{Kind: Configure, Config: &c})
	n.refreshPeers()
	n.Flush()
	return nil
}

func (n *Node) checkChange(c Config) error {
	old := n.Config()
	added := slices.DeleteFunc(slices.Clone(c.Voters), old.IsVoter)
	removed := slices.DeleteFunc(slices.Clone(old.Voters), c.IsVoter)
	if len(added)+len(removed) > 1 || len(c.Voters) == 0 {
		return ErrChangeTooBig
	}
	for _, m := range added {
		if n.Match(m) < n.commit {
			return ErrNotCaughtUp
		}
	}
	if n.active(c.Voters) < majority(c.Voters) {
		return ErrQuorumAtRisk
	}
	return nil
}

// sendPiece sends the next piece of the snapshot to a member that is too far behind for entries.
func (n *Node) sendPiece(to Member, again bool) {
	p := n.peers[to]
	if p.offset < 0 || p.sending.Index < n.log.baseIndex {
		p.offset = 0
		p.sending = n.log.snapshot
		p.sentAt = 0
	}
	due := n.now-p.sentAt >= 2*n.settings.Heartbeat
	if p.sentAt != 0 && !due {
		if again {
			n.send(Message{Kind: Append, To: to, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Round: n.round, SentAt: n.now})
		}
		return
	}
	p.sentAt = n.now
	data := p.sending.Data
	end := min(p.offset+n.settings.PieceBytes, len(data))
	head := Snapshot{Index: p.sending.Index, Term: p.sending.Term, Config: p.sending.Config}
	n.send(Message{
		Kind: Piece, To: to, Snapshot: &head, Offset: p.offset, Total: len(data), Data: data[p.offset:end],
		Round: n.round, SentAt: n.now,
	})
}

func (n *Node) onPiece(m Message) {
	reply := Message{Kind: PieceReply, To: m.From, Round: m.Round, SentAt: m.SentAt}
	if m.Term < n.hard.Term || m.Snapshot == nil {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.followLeader(m.From)
	reply.Index = m.Snapshot.Index
	if m.Snapshot.Index <= n.commit {
		reply.Offset = m.Total
		reply.Index = n.commit
		n.send(reply)
		return
	}
	if n.incoming == nil || n.incoming.Index != m.Snapshot.Index || n.incoming.Term != m.Snapshot.Term {
		head := *m.Snapshot
		n.incoming = &head
	}
	if m.Offset == len(n.incoming.Data) {
		n.incoming.Data = append(n.incoming.Data, m.Data...)
	}
	reply.Offset = len(n.incoming.Data)
	if reply.Offset >= m.Total {
		n.install(*n.incoming)
	}
	n.send(reply)
}

// install replaces log and state by a whole snapshot.
func (n *Node) install(s Snapshot) {
	n.incoming = nil
	n.log = newLog(s, nil)
	n.commit, n.delivered = s.Index, s.Index
	n.out.Snapshot = &s
	n.out.Entries = nil
	n.out.Committed = nil
}

func (n *Node) onPieceReply(m Message) {
	p := n.answer(m)
	if p == nil || m.Reject {
		return
	}
	n.finishReads()
	if m.Index >= p.sending.Index && m.Offset >= len(p.sending.Data) {
		p.offset = -1
		p.match = max(p.match, m.Index)
		p.next = p.match + 1
		p.probing = true
		p.inflight = 0
		n.advanceCommit()
		n.sendAppend(m.From, true)
		return
	}
	if m.Index == p.sending.Index {
		p.offset = min(m.Offset, len(p.sending.Data))
		p.sentAt = 0
		n.sendPiece(m.From, false)
	}
}
