package repair

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
)

// patienceShare is the divisor of the time within which redundancy must be complete again that gives the silence after which
// a voter is replaced. The rest is for elections and the membership changes.
const patienceShare = 4

// Patience returns after which silence a voter is replaced, so that the set is complete again within catchUp of the start of a
// spare keeper. It is at least two election timeouts, which a voter needs to answer a new leader.
func Patience(catchUp, electionTimeout core.Millis) core.Millis {
	return max(catchUp/patienceShare, 2*electionTimeout)
}

// View is the leader's state from which the next membership change is chosen.
type View struct {
	Now    core.Millis
	Leader quorum.Member
	Config quorum.Config
	// Target is the desired number of voters.
	Target int
	// Patience is how long a member may go without a reply before it counts as dead.
	Patience core.Millis
	Commit   uint64
	// Disks are the disks of the hosts that are not expired.
	Disks []Disk
	// Members holds the state of each member of the configuration.
	Members []MemberState
}

// Disk is a host's disk, which is or could become a keeper.
type Disk struct {
	Member        quorum.Member
	FailureDomain core.FailureDomain
	// LastSeen is when the host last renewed its serving lease at this leader, 0 if it has not.
	LastSeen core.Millis
}

// MemberState is the leader's replication state of one member: when it last replied, and the highest index that it
// is known to hold.
type MemberState struct {
	Member    quorum.Member
	LastReply core.Millis
	Match     uint64
	// Leaving means that the member has announced that its process ends.
	Leaving bool
}

// Change is a membership change and the reason for it.
type Change struct {
	Config quorum.Config
	Reason string
}

// Next returns the next membership change, or false if none is due. The steps are in order of precedence.
func Next(v View) (Change, bool) {
	for _, step := range []func(View) (Change, bool){promote, removeExtraVoter, replaceVoter, addLearner, removeGoneLearner} {
		if c, ok := step(v); ok {
			return c, true
		}
	}
	return Change{}, false
}

// promote makes a learner that has caught up a voter while there are fewer voters than the target.
func promote(v View) (Change, bool) {
	m, ok := v.readyLearner()
	if !ok || len(v.Config.Voters) >= v.Target {
		return Change{}, false
	}
	return Change{Config: v.Config.WithVoter(m), Reason: "learner " + string(m) + " has caught up"}, true
}

// removeExtraVoter removes a voter while there are more than the target: one that is lost, else one that leaves, else any but the
// leader, as long as enough others are alive.
func removeExtraVoter(v View) (Change, bool) {
	if len(v.Config.Voters) <= v.Target {
		return Change{}, false
	}
	if m, ok := v.unwantedVoter(); ok {
		return Change{Config: v.Config.Without(m), Reason: "voter " + string(m) + " is lost or leaves, and enough other voters reply"}, true
	}
	if len(v.liveVoters()) <= v.Target {
		return Change{}, false
	}
	for _, m := range slices.Backward(v.Config.Voters) {
		if m != v.Leader {
			return Change{Config: v.Config.Without(m), Reason: "voter " + string(m) + " exceeds the target number of voters"}, true
		}
	}
	return Change{}, false
}

// replaceVoter begins to replace a voter that is lost or leaves by a learner that has caught up. The learner votes first, and the
// voter is removed then: until it is, one that is only silent may come back with its disk, which counts if others are lost
// meanwhile. A voter whose disk is lost is removed first, since the set then does not depend on a new voter.
func replaceVoter(v View) (Change, bool) {
	learner, ready := v.readyLearner()
	if !ready {
		return Change{}, false
	}
	unwanted, ok := v.unwantedVoter()
	if !ok {
		return Change{}, false
	}
	if v.diskReplaced(unwanted) {
		return Change{Config: v.Config.Without(unwanted), Reason: "voter " + string(unwanted) + " has lost its disk, and learner " + string(learner) + " has caught up"}, true
	}
	return Change{Config: v.Config.WithVoter(learner), Reason: "learner " + string(learner) + " has caught up, and voter " + string(unwanted) + " is lost or leaves"}, true
}

// addLearner adds a spare disk as learner, so that it holds the log before a voter is lost. There are as many learners as losses
// that a complete set of voters tolerates, and at least as many as voters are missing.
func addLearner(v View) (Change, bool) {
	wanted := max((v.Target-1)/2, v.Target-len(v.liveVoters()))
	if v.liveLearners() >= wanted {
		return Change{}, false
	}
	best, found := Disk{}, false
	for _, d := range v.Disks {
		if v.Config.Contains(d.Member) || d.LastSeen == 0 || v.Now-d.LastSeen >= v.Patience {
			continue
		}
		if !found || v.liveVotersIn(d.FailureDomain) < v.liveVotersIn(best.FailureDomain) {
			best, found = d, true
		}
	}
	if !found {
		return Change{}, false
	}
	return Change{Config: v.Config.WithLearner(best.Member), Reason: "disk " + string(best.Member) + " is available"}, true
}

// removeGoneLearner removes a learner whose host has expired or has another disk. One that is only silent stays: it would be
// added again as soon as its host is heard.
func removeGoneLearner(v View) (Change, bool) {
	for _, m := range v.Config.Learners {
		if !v.alive(m) && !slices.ContainsFunc(v.Disks, func(d Disk) bool { return d.Member == m }) {
			return Change{Config: v.Config.Without(m), Reason: "learner " + string(m) + " is lost"}, true
		}
	}
	return Change{}, false
}

// readyLearner returns a live learner that has caught up and does not leave, of the failure domain with the fewest live voters.
func (v View) readyLearner() (quorum.Member, bool) {
	var best quorum.Member
	for _, m := range v.Config.Learners {
		s := v.memberState(m)
		if !v.alive(m) || s.Leaving || s.Match < v.Commit {
			continue
		}
		if best == "" || v.liveVotersIn(v.domain(m)) < v.liveVotersIn(v.domain(best)) {
			best = m
		}
	}
	return best, best != ""
}

// unwantedVoter returns a voter whose disk is lost, or else a dead one, or else one that leaves, but never the leader.
func (v View) unwantedVoter() (quorum.Member, bool) {
	for _, unwanted := range []func(quorum.Member) bool{
		func(m quorum.Member) bool { return m != v.Leader && v.diskReplaced(m) },
		func(m quorum.Member) bool { return !v.alive(m) },
		func(m quorum.Member) bool { return m != v.Leader && v.memberState(m).Leaving },
	} {
		if i := slices.IndexFunc(v.Config.Voters, unwanted); i >= 0 {
			return v.Config.Voters[i], true
		}
	}
	return "", false
}

// Replaceable reports whether the next changes can take a leaving voter out: a learner has caught up, or there are more voters
// than the target.
func Replaceable(v View) bool {
	_, ready := v.readyLearner()
	return ready || len(v.Config.Voters) > v.Target
}

// tolerated returns how many live voters of a configuration may be lost before no majority is left.
func (v View) tolerated(c quorum.Config) int {
	v.Config = c
	return len(v.liveVoters()) - (len(c.Voters)/2 + 1)
}

// memberState returns the replication state of a member; the zero state counts as dead.
func (v View) memberState(m quorum.Member) MemberState {
	i := slices.IndexFunc(v.Members, func(s MemberState) bool { return s.Member == m })
	if i < 0 {
		return MemberState{Member: m}
	}
	return v.Members[i]
}

// alive reports whether a member has replied within Patience. A member whose host now has another disk is dead at once.
func (v View) alive(m quorum.Member) bool {
	if m == v.Leader {
		return true
	}
	return !v.diskReplaced(m) && v.Now-v.memberState(m).LastReply < v.Patience
}

// diskReplaced reports whether a member's host has another disk, so that the member never comes back.
func (v View) diskReplaced(m quorum.Member) bool {
	return slices.ContainsFunc(v.Disks, func(d Disk) bool { return d.Member.Host() == m.Host() && d.Member != m })
}

// liveVoters returns the voters of the configuration for which alive holds.
func (v View) liveVoters() []quorum.Member {
	var live []quorum.Member
	for _, m := range v.Config.Voters {
		if v.alive(m) {
			live = append(live, m)
		}
	}
	return live
}

// liveLearners returns the number of learners for which alive holds.
func (v View) liveLearners() int {
	n := 0
	for _, m := range v.Config.Learners {
		if v.alive(m) {
			n++
		}
	}
	return n
}

// domain returns the failure domain of a member's disk, or "" if it is not known.
func (v View) domain(m quorum.Member) core.FailureDomain {
	i := slices.IndexFunc(v.Disks, func(d Disk) bool { return d.Member == m })
	if i < 0 {
		return ""
	}
	return v.Disks[i].FailureDomain
}

// liveVotersIn returns the number of live voters in a failure domain.
func (v View) liveVotersIn(domain core.FailureDomain) int {
	n := 0
	for _, m := range v.liveVoters() {
		if v.domain(m) == domain {
			n++
		}
	}
	return n
}
