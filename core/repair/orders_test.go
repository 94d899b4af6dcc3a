package repair

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/quorum"
)

// unwantedKind is what is known of a voter that is to be replaced.
type unwantedKind int

const (
	// silentVoter may come back with its disk, or be lost for good.
	silentVoter unwantedKind = iota
	// wipedVoter is on a host that has another disk now.
	wipedVoter
	// leavingVoter still runs and has announced that it stops.
	leavingVoter
)

// TestTheOrderOfAReplacementToleratesMore guards against the order of a replacement's two changes that tolerates fewer losses
// between them. The losses that must be tolerated count first: disks of any members, as many as a complete set tolerates.
func TestTheOrderOfAReplacementToleratesMore(t *testing.T) {
	for _, target := range []int{3, 5, 7} {
		for kind, name := range []string{"silent", "wiped", "leaving"} {
			t.Run(fmt.Sprintf("%s of %d", name, target), func(t *testing.T) {
				r := replacementRow(target, []unwantedKind{unwantedKind(kind)})
				unwanted, successor := r.Voters[target-1], r.Learners[0]
				var lost []quorum.Member
				if unwantedKind(kind) == wipedVoter {
					lost = []quorum.Member{unwanted}
				}
				start := quorum.Config{Voters: r.Voters, Learners: r.Learners}
				added, removed := start.WithVoter(successor), start.Without(unwanted)
				others := append(slices.Clone(r.Voters), successor)
				allowed := (target - 1) / 2
				addedMust, all := bornChoices(added, others, lost, allowed)
				removedMust, _ := bornChoices(removed, others, lost, allowed)
				addedMore, allMore := bornChoices(added, others, lost, len(others))
				removedMore, _ := bornChoices(removed, others, lost, len(others))
				t.Logf("of %d choices of lost disks that must be tolerated: added first %d, removed first %d; of all %d: %d, %d",
					all, addedMust, removedMust, allMore, addedMore, removedMore)
				want := removed
				if addedMust > removedMust || addedMust == removedMust && addedMore > removedMore {
					want = added
				}
				change, due := Next(r.view(start))
				must.True(t, due)
				must.Eq(t, describe(want), describe(change.Config))
			})
		}
	}
}

// TestEachStepOfReplacementsToleratesTheLossesOfACompleteSet guards against a configuration on the way that bears the loss of
// fewer disks than a complete set: each combination of silent, wiped and leaving voters that leaves a majority is replaced.
func TestEachStepOfReplacementsToleratesTheLossesOfACompleteSet(t *testing.T) {
	for _, target := range []int{3, 5, 7} {
		for _, kinds := range combinations((target - 1) / 2) {
			r := replacementRow(target, kinds)
			var wiped []quorum.Member
			for i, kind := range kinds {
				if kind == wipedVoter {
					wiped = append(wiped, r.Voters[target-1-i])
				}
			}
			members := slices.Concat(r.Voters, r.Learners)
			c := quorum.Config{Voters: r.Voters, Learners: r.Learners}
			for step := 0; ; step++ {
				born, all := bornChoices(c, members, wiped, (target-1)/2)
				must.Eq(t, all, born, must.Sprintf("%d voters, kinds %v, step %d: %s", target, kinds, step, describe(c)))
				change, due := Next(r.view(c))
				if !due {
					break
				}
				must.Less(t, 10*target, step, must.Sprint("the changes do not end"))
				c = change.Config
			}
			must.Len(t, target, c.Voters)
			for i := range kinds {
				must.False(t, c.IsVoter(r.Voters[target-1-i]), must.Sprintf("kinds %v: %s", kinds, describe(c)))
			}
		}
	}
}

// replacementRow returns a row with as many ready learners as a complete set tolerates losses, whose last voters are of the given kinds.
func replacementRow(target int, kinds []unwantedKind) row {
	r := row{Target: target}
	for i := range target {
		r.Voters = append(r.Voters, quorum.Member(fmt.Sprintf("a%d/1", i)))
	}
	for i := range (target - 1) / 2 {
		r.Learners = append(r.Learners, quorum.Member(fmt.Sprintf("b%d/1", i)))
	}
	for i, kind := range kinds {
		m := r.Voters[target-1-i]
		switch kind {
		case silentVoter:
			r.Silent = append(r.Silent, m)
		case wipedVoter:
			next := quorum.NewMember(m.Host(), 2)
			r.Expired, r.Spares, r.Unheard = append(r.Expired, m), append(r.Spares, next), append(r.Unheard, next)
		case leavingVoter:
			r.Leaving = append(r.Leaving, m)
		}
	}
	return r
}

// bornChoices counts the choices of at most limit lost disks, those of lost among them, after which a configuration still has a
// majority of its voters' disks, and all such choices.
func bornChoices(c quorum.Config, members, lost []quorum.Member, limit int) (born, all int) {
	for bits := range 1 << len(members) {
		gone := slices.Clone(lost)
		for i, m := range members {
			if bits&(1<<i) != 0 && !slices.Contains(lost, m) {
				gone = append(gone, m)
			}
		}
		// A bit of a member that is lost anyway would count the choice twice.
		if slices.ContainsFunc(lost, func(m quorum.Member) bool { return bits&(1<<slices.Index(members, m)) != 0 }) || len(gone) > limit {
			continue
		}
		all++
		left := slices.DeleteFunc(slices.Clone(c.Voters), func(m quorum.Member) bool { return slices.Contains(gone, m) })
		if len(left) > len(c.Voters)/2 {
			born++
		}
	}
	return born, all
}

// combinations returns each list of one to limit kinds.
func combinations(limit int) [][]unwantedKind {
	all, last := [][]unwantedKind{}, [][]unwantedKind{nil}
	for range limit {
		var longer [][]unwantedKind
		for _, list := range last {
			for _, kind := range []unwantedKind{silentVoter, wipedVoter, leavingVoter} {
				longer = append(longer, append(slices.Clone(list), kind))
			}
		}
		all, last = append(all, longer...), longer
	}
	return all
}
