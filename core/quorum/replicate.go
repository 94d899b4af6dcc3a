package quorum

import (
	"slices"

	"cyclamenford/core"
)

// Step processes a message from another member. Messages addressed to another member, such as an earlier incarnation, are
// ignored.
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
	case SnapshotChunk:
		n.onSnapshotChunk(m)
	case SnapshotChunkReply:
		n.onSnapshotChunkReply(m)
	case TimeoutNow:
		n.onTimeoutNow(m)
	}
}

// broadcast starts a new heartbeat round and sends an append, with entries if the member lacks some, to every member. The reply to an
// append without entries tells whether those before it were lost.
func (n *Node) broadcast() {
	n.round++
	n.lastBroadcast = n.now
	for _, m := range n.Config().Members() {
		if m != n.id {
			n.sendAppend(m, true)
		}
	}
}

// sendAppend sends a member its next entries, or a snapshot chunk if those are no longer in the log. Without entries it
// sends only a heartbeat.
func (n *Node) sendAppend(to Member, heartbeat bool) {
	p := n.peers[to]
	prevTerm, inLog := n.log.term(p.next - 1)
	if !inLog {
		n.sendSnapshotChunk(to, heartbeat)
		return
	}
	entries := n.nextEntries(p)
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

// nextEntries returns the entries of a member's next append, none while as many are unacknowledged as the settings allow. While the
// member's position is not confirmed it gets one message with entries, since those may have to be sent anew from another position.
func (n *Node) nextEntries(p *progress) []Entry {
	if p.probing && p.inflight > 0 || p.inflight >= n.settings.MaxInflight {
		return nil
	}
	room := n.settings.MaxInflightBytes
	if !p.probing {
		unacknowledged := n.log.sizeUpTo(p.next-1) - p.matchSize
		room -= unacknowledged
		if unacknowledged > 0 && n.log.countWithin(p.next, room) == 0 {
			return nil
		}
	}
	room = min(room, n.settings.MaxBatchBytes)
	return n.log.entriesFrom(p.next, min(n.settings.MaxBatch, max(1, n.log.countWithin(p.next, room))))
}

// onAppend accepts the sender as leader and adds its entries to the log if the position before them matches.
func (n *Node) onAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From, Round: m.Round, SentAt: m.SentAt}
	if m.Term < n.hard.Term {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.followLeader(m.From)
	if !n.positionMatches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Index = n.rejectHint(m.Index, m.LogTerm)
		n.send(reply)
		return
	}
	n.mergeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	reply.Index = last
	n.send(reply)
}

// followLeader accepts the sender as leader of the current term and restarts the election timer.
func (n *Node) followLeader(leader Member) {
	if n.role != Follower || n.leader != leader || n.preVoting {
		n.becomeFollower(n.hard.Term, leader)
	}
	n.timerStart, n.heardLeader, n.excused = n.now, n.now, false
}

// positionMatches reports whether the log agrees with the given position. Compacted positions always agree, since they
// are committed.
func (n *Node) positionMatches(index, term uint64) bool {
	if index < n.log.baseIndex {
		return true
	}
	t, ok := n.log.term(index)
	return ok && t == term
}

// rejectHint returns the highest index that may match the leader's log, to which the leader goes back.
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

// mergeEntries appends the entries that the log lacks. At the first conflict it replaces the rest of the log.
func (n *Node) mergeEntries(entries []Entry) {
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
			n.dropPendingEntries(e.Index)
		}
		for _, added := range entries[i:] {
			n.log.push(added)
			n.out.Entries = append(n.out.Entries, added)
		}
		return
	}
}

// dropPendingEntries removes replaced entries from the pending output, so that the caller does not save them.
func (n *Node) dropPendingEntries(from uint64) {
	n.out.Entries = slices.DeleteFunc(n.out.Entries, func(e Entry) bool { return e.Index >= from })
}

// recordReply records the time and round of a member's reply and returns its progress, or nil if this member does not
// lead in the reply's term or the sender is no member.
func (n *Node) recordReply(m Message) *progress {
	if n.role != Leader || m.Term != n.hard.Term {
		return nil
	}
	p, ok := n.peers[m.From]
	if !ok {
		return nil
	}
	p.lastReply = n.now
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	p.ackedRound = max(p.ackedRound, m.Round)
	return p
}

// setMatch records the highest index known to be on a member.
func (n *Node) setMatch(p *progress, index uint64) {
	if index > p.match {
		p.match, p.matchSize = index, n.log.sizeUpTo(index)
	}
}

// onAppendReply advances the member's progress and the commit index, or goes back to the index that the rejection names.
func (n *Node) onAppendReply(m Message) {
	p := n.recordReply(m)
	if p == nil {
		return
	}
	if m.Reject {
		// A member that returns rejects all appends that were sent to it meanwhile. Only the first of them tells something new.
		if m.Index < p.match || p.probing && p.inflight > 0 && m.Index+1 >= p.next {
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
	p.inflight = max(0, p.inflight-1)
	n.setMatch(p, m.Index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	if n.advanceCommit() {
		n.sendCommit()
	}
	n.sendAppend(m.From, false)
	n.finishReads()
}

// sendCommit sends the new commit index to all members at once, without waiting for the next heartbeat.
func (n *Node) sendCommit() {
	for _, m := range n.Config().Members() {
		if m != n.id {
			n.sendAppend(m, true)
		}
	}
}

// advanceCommit raises the commit index to the highest entry that a majority of the voters holds, and reports whether it
// rose.
func (n *Node) advanceCommit() bool {
	voters := n.Config().Voters
	matches := make([]uint64, 0, len(voters))
	for _, m := range voters {
		matches = append(matches, n.MatchIndex(m))
	}
	slices.Sort(matches)
	majorityMatch := matches[(len(matches)-1)/2]
	if majorityMatch <= n.commit {
		return false
	}
	if t, ok := n.log.term(majorityMatch); !ok || !n.mayCommitByCount(t, n.hard.Term) {
		return false
	}
	n.commit = majorityMatch
	n.stepDownIfRemoved()
	return true
}

// stepDownIfRemoved steps down if a committed configuration has removed this leader from the voters.
func (n *Node) stepDownIfRemoved() {
	if n.commit >= n.log.configIndex() && !n.Config().IsVoter(n.id) {
		n.becomeFollower(n.hard.Term, "")
	}
}

// ChangeConfig proposes a membership whose voters differ from the present ones by at most one.
func (n *Node) ChangeConfig(c Config) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.Ready() {
		return ErrNotReady
	}
	if n.ChangePending() {
		return ErrChangePending
	}
	if err := n.checkChange(c); err != nil {
		return err
	}
	n.appendEntry(Entry{Kind: ConfigEntry, Config: &c})
	n.addMissingPeers()
	n.Flush()
	return nil
}

// checkChange rejects a membership with more than one changed voter, one whose new voter has not caught up, and one
// without a majority of voters that have replied recently.
func (n *Node) checkChange(c Config) error {
	old := n.Config()
	added := slices.DeleteFunc(slices.Clone(c.Voters), old.IsVoter)
	removed := slices.DeleteFunc(slices.Clone(old.Voters), c.IsVoter)
	if len(added)+len(removed) > 1 || len(c.Voters) == 0 {
		return ErrChangeTooBig
	}
	for _, m := range added {
		if n.MatchIndex(m) < n.commit {
			return ErrNotCaughtUp
		}
	}
	if n.countActive(c.Voters) < majority(c.Voters) {
		return ErrQuorumAtRisk
	}
	return nil
}

// sendSnapshotChunk sends the next snapshot chunk to a member that needs entries which are no longer in the log. While
// the chunk is not acknowledged it sends only heartbeats, and repeats the chunk after two heartbeat intervals if the member has replied
// to one since.
func (n *Node) sendSnapshotChunk(to Member, heartbeat bool) {
	p := n.peers[to]
	if p.snapshotOffset < 0 || p.outgoing.Index < n.log.baseIndex {
		p.snapshotOffset = 0
		p.outgoing = n.log.snapshot
		p.chunkSentAt = 0
	}
	retryDue := n.now-p.chunkSentAt >= 2*n.settings.Heartbeat && p.lastReply > p.chunkSentAt
	if p.chunkSentAt != 0 && !retryDue {
		if heartbeat {
			n.send(Message{Kind: Append, To: to, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Round: n.round, SentAt: n.now})
		}
		return
	}
	p.chunkSentAt = n.now
	data := p.outgoing.Data
	end := min(p.snapshotOffset+n.settings.SnapshotChunkBytes, len(data))
	header := Snapshot{Index: p.outgoing.Index, Term: p.outgoing.Term, Config: p.outgoing.Config}
	n.send(Message{
		Kind: SnapshotChunk, To: to, Snapshot: &header, Offset: p.snapshotOffset, Total: len(data), Data: data[p.snapshotOffset:end],
		Round: n.round, SentAt: n.now,
	})
}

// onSnapshotChunk adds a chunk to the incoming snapshot and installs the snapshot once it is complete. A chunk at another
// offset than the expected one is skipped; the reply names the expected offset.
func (n *Node) onSnapshotChunk(m Message) {
	reply := Message{Kind: SnapshotChunkReply, To: m.From, Round: m.Round, SentAt: m.SentAt}
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
	if n.incomingSnapshot == nil || n.incomingSnapshot.Index != m.Snapshot.Index || n.incomingSnapshot.Term != m.Snapshot.Term {
		header := *m.Snapshot
		n.incomingSnapshot = &header
	}
	if m.Offset == len(n.incomingSnapshot.Data) {
		n.incomingSnapshot.Data = append(n.incomingSnapshot.Data, m.Data...)
	}
	reply.Offset = len(n.incomingSnapshot.Data)
	if reply.Offset >= m.Total {
		n.installSnapshot(*n.incomingSnapshot)
	}
	n.send(reply)
}

// installSnapshot replaces the log and the state by a complete snapshot.
func (n *Node) installSnapshot(s Snapshot) {
	n.incomingSnapshot = nil
	n.log = newLog(s, nil)
	n.commit, n.delivered = s.Index, s.Index
	n.out.Snapshot = &s
	n.out.Entries = nil
	n.out.Committed = nil
}

// onSnapshotChunkReply sends the next chunk, or the entries after the snapshot once the member has installed it.
func (n *Node) onSnapshotChunkReply(m Message) {
	p := n.recordReply(m)
	if p == nil || m.Reject {
		return
	}
	n.finishReads()
	if m.Index >= p.outgoing.Index && m.Offset >= len(p.outgoing.Data) {
		p.snapshotOffset = -1
		n.setMatch(p, m.Index)
		p.next = p.match + 1
		p.probing = true
		p.inflight = 0
		n.advanceCommit()
		n.sendAppend(m.From, true)
		return
	}
	if m.Index == p.outgoing.Index {
		p.snapshotOffset = min(m.Offset, len(p.outgoing.Data))
		p.chunkSentAt = 0
		n.sendSnapshotChunk(m.From, false)
	}
}
