package quorum

// startCanvass asks the voters whether they would elect this member, without raising the term.
func (n *Node) startCanvass() {
	n.contact = n.now
	n.resetTimeout()
	n.role, n.leader, n.canvass = Follower, "", true
	n.ballots = map[Member]bool{n.id: true}
	n.askVoters(PreVote, n.hard.Term+1, false)
	if n.won() {
		n.startElection(false)
	}
}

func (n *Node) startElection(forced bool) {
	n.canvass = false
	n.role, n.leader = Candidate, ""
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.id}
	n.contact = n.now
	n.resetTimeout()
	n.ballots = map[Member]bool{n.id: true}
	n.askVoters(Vote, n.hard.Term, forced)
	if n.won() {
		n.becomeLeader()
	}
}

func (n *Node) askVoters(kind MessageKind, term uint64, forced bool) {
	for _, m := range n.Config().Voters {
		if m != n.id {
			n.send(Message{
				Kind: kind, To: m, Term: term, Forced: forced,
				Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
			})
		}
	}
}

func (n *Node) won() bool {
	count := 0
	for _, m := range n.Config().Voters {
		if n.ballots[m] {
			count++
		}
	}
	return count >= majority(n.Config().Voters)
}

// leaderLives reports whether a leader was heard so recently that its lease may hold.
func (n *Node) leaderLives() bool {
	if n.role == Leader {
		return true
	}
	return n.now-n.contact < n.settings.ElectionTimeout && !n.canvass && n.role != Candidate
}

func (n *Node) onPreVote(m Message) {
	grant := m.Term > n.hard.Term && !n.leaderLives() && n.log.upToDate(m.Index, m.LogTerm)
	n.send(Message{Kind: PreVoteReply, To: m.From, Term: max(m.Term, n.hard.Term), Reject: !grant})
}

func (n *Node) onPreVoteReply(m Message) {
	if !n.canvass || m.Term != n.hard.Term+1 || m.Reject {
		return
	}
	n.ballots[m.From] = true
	if n.won() {
		n.startElection(false)
	}
}

func (n *Node) onVote(m Message) {
	if m.Term < n.hard.Term || !m.Forced && n.leaderLives() {
		n.send(Message{Kind: VoteReply, To: m.From, Reject: true})
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
	}
	free := n.hard.Vote == "" || n.hard.Vote == m.From
	grant := free && n.role == Follower && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.hard.Vote = m.From
		n.contact = n.now
	}
	n.send(Message{Kind: VoteReply, To: m.From, Reject: !grant})
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate || m.Term != n.hard.Term || m.Reject {
		return
	}
	n.ballots[m.From] = true
	if n.won() {
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.peers = map[Member]*progress{}
	n.round = 0
	n.reads = nil
	n.refreshPeers()
	n.termStart = n.appendEntry(Entry{Kind: Normal})
	n.broadcast()
	n.advanceCommit()
}

// refreshPeers keeps a progress for each member of the newest configuration.
func (n *Node) refreshPeers() {
	for _, m := range n.Config().Members() {
		if _, ok := n.peers[m]; !ok {
			n.peers[m] = &progress{next: n.log.lastIndex() + 1, probing: true, heard: n.now, offset: -1}
		}
	}
}

// onHandover lets the member that the leader has chosen stand at once.
func (n *Node) onHandover(m Message) {
	if m.Term == n.hard.Term && n.Config().IsVoter(n.id) && n.role == Follower {
		n.startElection(true)
	}
}

// Handover steps down in favour of the most advanced other voter.
func (n *Node) Handover() {
	if n.role != Leader {
		return
	}
	var best Member
	for _, m := range n.Config().Voters {
		if m == n.id || n.now-n.peers[m].heard >= n.settings.ElectionTimeout {
			continue
		}
		if best == "" || n.peers[m].match > n.peers[best].match {
			best = m
		}
	}
	if best == "" {
		return
	}
	n.send(Message{Kind: Handover, To: best})
	n.becomeFollower(n.hard.Term, "")
	n.contact = n.now
}
