package repair

import "cyclamenford/core/quorum"

// Redundancy tells how many more voters may be lost before no majority is left.
type Redundancy struct {
	// Tolerated is the number of further losses of live voters that leave a majority, and Wanted the number that a complete
	// set of voters tolerates. Tolerated is negative if no majority is left.
	Tolerated, Wanted int
	// Silent are the voters that count as lost.
	Silent []quorum.Member
}

// Assess returns the redundancy of a configuration. Voters that have not replied within View.Patience count as lost.
func Assess(v View) Redundancy {
	r := Redundancy{Tolerated: v.tolerated(v.Config), Wanted: (v.Target - 1) / 2}
	for _, m := range v.Config.Voters {
		if !v.alive(m) {
			r.Silent = append(r.Silent, m)
		}
	}
	return r
}
