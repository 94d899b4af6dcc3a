package repair

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
)

// View is what the leader knows when it decides about the membership.
type View struct {
	Now    core.Millis
	Leader quorum.Member
	Config quorum.Config
	// Target is the wanted number of voters.
	Target int
	// Patience is how long a voter may be silent before it is replaced.
	Patience core.Millis
	Commit   uint64
	// Disks are the disks of the hosts that hold a serving lease.
	Disks []Disk
	// Members tells what the leader knows of each member of the configuration.
	Members []State
}

// Disk is a host's disk that could be a keeper.
type Disk struct {
	Member        quorum.Member
	FailureDomain core.FailureDomain
}

// State is the leader's knowledge of one member.
type State struct {
	Member quorum.Member
	Heard  core.Millis
	Match  uint64
}

// Change is the next membership and why.
type Change struct {
	Config quorum.Config
	Why    string
}

// Next returns the next change of membership, or false when none is due.
func Next(v View) (Change, bool) {
	for _, step := range []func(View) (Change, bool){promote, removeDead, removeSurplus, addLearner, dropLearner} {
		if c, ok := step(v); ok {
			return c, true
		}
	}
	return Change{}, false
}

// promote makes a learner that has caught up a voter while one is missing or dead.
func promote(v View) (Change, bool) {
	if len(v.live()) >= v.Target {
		return Change{}, false
	}
	for _, m := range v.Config.Learners {
		s := v.state(m)
		if v.alive(m) && s.Match >= v.Commit {
			return Change{Config: v.Config.WithVoter(m), Why: "learner " + string(m) + " has caught up"}, true
		}
	}
	return Change{}, false
}

// removeDead drops a dead voter once enough live ones are there.
func removeDead(v View) (Change, bool) {
	if len(v.live()) < min(v.Target, len(v.Config.Voters)) {
		return Change{}, false
	}
	for _, m := range v.Config.Voters {
		if !v.alive(m) {
			return Change{Config: v.Config.Without(m), Why: "voter " + string(m) + " is dead and replaced"}, true
		}
	}
	return Change{}, false
}

// removeSurplus drops a live voter beyond the wanted number.
func removeSurplus(v View) (Change, bool) {
	if len(v.Config.Voters) <= v.Target || len(v.live()) <= v.Target {
		return Change{}, false
	}
	for _, m := range slices.Backward(v.Config.Voters) {
		if m != v.Leader {
			return Change{Config: v.Config.Without(m), Why: "voter " + string(m) + " is surplus"}, true
		}
	}
	return Change{}, false
}

// addLearner lets a spare disk catch up while a voter is missing or dead.
func addLearner(v View) (Change, bool) {
	if len(v.live()) >= v.Target || v.learning() {
		return Change{}, false
	}
	best, found := Disk{}, false
	for _, d := range v.Disks {
		if v.Config.Contains(d.Member) {
			continue
		}
		if !found || v.crowd(d) < v.crowd(best) {
			best, found = d, true
		}
	}
	if !found {
		return Change{}, false
	}
	return Change{Config: v.Config.WithLearner(best.Member), Why: "disk " + string(best.Member) + " is spare"}, true
}

// dropLearner removes a learner that has died.
func dropLearner(v View) (Change, bool) {
	for _, m := range v.Config.Learners {
		if !v.alive(m) {
			return Change{Config: v.Config.Without(m), Why: "learner " + string(m) + " is dead"}, true
		}
	}
	return Change{}, false
}

func (v View) state(m quorum.Member) State {
	i := slices.IndexFunc(v.Members, func(s State) bool { return s.Member == m })
	if i < 0 {
		return State{Member: m}
	}
	return v.Members[i]
}

// alive reports whether a member has answered lately; a disk that its host no longer holds is dead at once.
func (v View) alive(m quorum.Member) bool {
	if m == v.Leader {
		return true
	}
	for _, d := range v.Disks {
		if d.Member.Host() == m.Host() && d.Member != m {
			return false
		}
	}
	return v.Now-v.state(m).Heard < v.Patience
}

func (v View) live() []quorum.Member {
	var live []quorum.Member
	for _, m := range v.Config.Voters {
		if v.alive(m) {
			live = append(live, m)
		}
	}
	return live
}

func (v View) learning() bool {
	return slices.ContainsFunc(v.Config.Learners, v.alive)
}

// crowd counts the live voters in a disk's failure domain.
func (v View) crowd(d Disk) int {
	n := 0
	for _, m := range v.live() {
		for _, other := range v.Disks {
			if other.Member == m && other.FailureDomain == d.FailureDomain {
				n++
			}
		}
	}
	return n
}
