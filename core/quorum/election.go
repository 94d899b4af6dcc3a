package quorum

// startPreVote starts a pre-vote: it asks the voters whether they would vote for this member, without raising the term.
func (n *Node) startPreVote() {
	n.timerStart = n.now
	n.resetTimeout()
	n.role, n.leader, n.preVoting = Follower, "", true
	n.grantedVotes = map[Member]bool{n.id: true}
	n.requestVotes(PreVote, n.hard.Term+1, false)
	if n.hasVoteMajority() {
		n.startElection(false)
	}
}

// startElection raises the term, votes for this member and requests the other voters' votes. Members do not reject a
// forced vote request because they heard from the former leader recently.
func (n *Node) startElection(forced bool) {
	n.preVoting = false
	n.role, n.leader = Candidate, ""
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.id}
	n.timerStart = n.now
	n.resetTimeout()
	n.grantedVotes = map[Member]bool{n.id: true}
	n.requestVotes(Vote, n.hard.Term, forced)
	if n.hasVoteMajority() {
		n.becomeLeader()
	}
}

// requestVotes sends a pre-vote or vote request with this member's last log position to the other voters.
func (n *Node) requestVotes(kind MessageKind, term uint64, forced bool) {
	for _, m := range n.Config().Voters {
		if m != n.id {
			n.send(Message{
				Kind: kind, To: m, Term: term, Forced: forced,
				Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
			})
		}
	}
}

// hasVoteMajority reports whether a majority of the voters has granted its vote or pre-vote.
func (n *Node) hasVoteMajority() bool {
	count := 0
	for _, m := range n.Config().Voters {
		if n.grantedVotes[m] {
			count++
		}
	}
	return count >= majority(n.Config().Voters)
}

// leaderMayHoldLease reports whether a leader may still hold its lease: this member leads, or its election timer was
// restarted within the shortest election timeout and it has not started a pre-vote or an election.
func (n *Node) leaderMayHoldLease() bool {
	if n.role == Leader {
		return true
	}
	return n.now-n.timerStart < n.settings.ElectionTimeout && !n.preVoting && n.role != Candidate
}

// onPreVote grants a pre-vote for a higher term, unless a leader may still hold its lease or the sender's log is behind.
func (n *Node) onPreVote(m Message) {
	grant := m.Term > n.hard.Term && !n.leaderMayHoldLease() && n.log.isUpToDate(m.Index, m.LogTerm)
	n.send(Message{Kind: PreVoteReply, To: m.From, Term: max(m.Term, n.hard.Term), Reject: !grant})
}

func (n *Node) onPreVoteReply(m Message) {
	if !n.preVoting || m.Term != n.hard.Term+1 || m.Reject {
		return
	}
	n.grantedVotes[m.From] = true
	if n.hasVoteMajority() {
		n.startElection(false)
	}
}

// onVote grants the term's only vote. It rejects the request, without adopting its term, if a leader may still hold its
// lease and the request is not forced.
func (n *Node) onVote(m Message) {
	if m.Term < n.hard.Term || !m.Forced && n.leaderMayHoldLease() {
		n.send(Message{Kind: VoteReply, To: m.From, Reject: true})
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
	}
	mayVote := n.hard.Vote == "" || n.hard.Vote == m.From
	grant := mayVote && n.role == Follower && n.log.isUpToDate(m.Index, m.LogTerm)
	if grant {
		n.hard.Vote = m.From
		n.timerStart = n.now
	}
	n.send(Message{Kind: VoteReply, To: m.From, Reject: !grant})
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate || m.Term != n.hard.Term || m.Reject {
		return
	}
	n.grantedVotes[m.From] = true
	if n.hasVoteMajority() {
		n.becomeLeader()
	}
}

// becomeLeader resets the progress of all members and appends an empty entry, since only an entry of the leader's own
// term commits the entries of earlier terms.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.peers = map[Member]*progress{}
	n.round = 0
	n.reads = nil
	n.addMissingPeers()
	n.backdateSilentPeers()
	n.termFirstIndex = n.appendEntry(Entry{Kind: CommandEntry})
	n.broadcast()
	n.advanceCommit()
}

// addMissingPeers adds a progress record for each member of the newest configuration that has none.
func (n *Node) addMissingPeers() {
	for _, m := range n.Config().Members() {
		if _, ok := n.peers[m]; !ok {
			n.peers[m] = &progress{next: n.log.lastIndex() + 1, probing: true, lastReply: n.now, snapshotOffset: -1}
		}
	}
}

// backdateSilentPeers counts the silence of the members that have not voted for this leader from when it last heard the former
// one, so that a change of leader does not excuse a lost member for another while.
func (n *Node) backdateSilentPeers() {
	if n.heardLeader == 0 {
		return
	}
	for m, p := range n.peers {
		if !n.grantedVotes[m] {
			p.lastReply = n.heardLeader
		}
	}
}

// onTimeoutNow starts an election at once, without a pre-vote, since the leader has transferred its leadership to this
// member.
func (n *Node) onTimeoutNow(m Message) {
	if m.Term == n.hard.Term && n.Config().IsVoter(n.id) && n.role == Follower {
		n.startElection(true)
	}
}

// TransferLeadership transfers leadership to the voter with the highest match index among those that replied within an
// election timeout. Without such a voter the member goes on leading.
func (n *Node) TransferLeadership() {
	if n.role != Leader {
		return
	}
	var best Member
	for _, m := range n.Config().Voters {
		if m == n.id || n.now-n.peers[m].lastReply >= n.settings.ElectionTimeout {
			continue
		}
		if best == "" || n.peers[m].match > n.peers[best].match {
			best = m
		}
	}
	if best == "" {
		return
	}
	n.send(Message{Kind: TimeoutNow, To: best})
	n.becomeFollower(n.hard.Term, "")
	n.timerStart = n.now
}
