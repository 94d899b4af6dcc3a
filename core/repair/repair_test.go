package repair

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/core/quorum"
)

// row is one row of testdata/changes.json. Members are named "domain+number/incarnation", as "a1/1"; the leader is the first voter.
type row struct {
	Name             string
	Target           int
	Voters, Learners []quorum.Member
	// Spares are disks outside of the configuration, Silent members that do not reply, Leaving members that announced
	// it, Expired members whose hosts hold no lease any more, and Unheard spares that have not renewed one at this leader.
	Spares, Silent, Leaving, Expired, Unheard []quorum.Member
	// Behind are learners that have not caught up.
	Behind []quorum.Member
	// Want is the configuration after each change, as "voters | learners", until no change is due.
	Want []string
}

const (
	rowNow      = 100 * core.Second
	rowPatience = core.Second
)

func (r row) view(c quorum.Config) View {
	v := View{Now: rowNow, Leader: r.Voters[0], Config: c, Target: r.Target, Patience: rowPatience, Commit: 9}
	for _, m := range slices.Concat(r.Voters, r.Learners, r.Spares) {
		s := MemberState{Member: m, LastReply: rowNow, Match: 9, Leaving: slices.Contains(r.Leaving, m)}
		if slices.Contains(r.Silent, m) {
			s.LastReply -= rowPatience
		}
		if slices.Contains(r.Behind, m) {
			s.Match = 1
		}
		v.Members = append(v.Members, s)
		d := Disk{Member: m, FailureDomain: core.FailureDomain(m[:1]), LastSeen: s.LastReply}
		if slices.Contains(r.Unheard, m) {
			d.LastSeen = 0
		}
		if !slices.Contains(r.Expired, m) {
			v.Disks = append(v.Disks, d)
		}
	}
	return v
}

// TestChanges guards against an order of membership changes that tolerates fewer losses than it could, leaves spare disks
// behind, or swings to and fro.
func TestChanges(t *testing.T) {
	raw, err := os.ReadFile("testdata/changes.json")
	must.NoError(t, err)
	var rows []row
	must.NoError(t, strict.Decode(raw, &rows))
	for _, r := range rows {
		t.Run(r.Name, func(t *testing.T) {
			c := quorum.Config{Voters: r.Voters, Learners: r.Learners}
			var got []string
			for change, due := Next(r.view(c)); due && len(got) < 20; change, due = Next(r.view(c)) {
				c = change.Config
				got = append(got, describe(c))
			}
			must.Eq(t, r.Want, got)
		})
	}
}

func describe(c quorum.Config) string {
	names := func(list []quorum.Member) string {
		var out []string
		for _, m := range list {
			out = append(out, string(m))
		}
		return strings.Join(out, " ")
	}
	return names(c.Voters) + " | " + names(c.Learners)
}

// TestRedundancyCountsLossesUntilNoMajorityIsLeft guards against a gauge that hides that the next loss leaves no quorum.
func TestRedundancyCountsLossesUntilNoMajorityIsLeft(t *testing.T) {
	five := []quorum.Member{"a1/1", "a2/1", "b1/1", "b2/1", "c1/1"}
	for silent, want := range []int{2, 1, 0, -1} {
		r := row{Target: 5, Voters: five, Silent: five[5-silent:]}
		must.Eq(t, want, Assess(r.view(quorum.Config{Voters: five})).Tolerated)
	}
}
