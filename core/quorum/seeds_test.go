package quorum_test

import (
	"flag"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
)

// seedsInCI is the total number of seeds, divided among the schedules.
const seedsInCI = 3042

var soak = flag.Int("soak", seedsInCI, "number of seeds to run over all schedules")

func loadSchedules(t *testing.T) []schedule {
	t.Helper()
	raw, err := os.ReadFile("testdata/schedules.json")
	must.NoError(t, err)
	var list []schedule
	must.NoError(t, strict.Decode(raw, &list))
	return list
}

// runSeeds runs count seeds in parallel. It returns the number of seeds that violated an invariant, the lowest such seed
// with its violation, and the number of accepted compare-and-set operations.
func runSeeds(s schedule, bugs injectedBugs, from, count uint64) (broken int64, seed uint64, violation string, accepted int64) {
	var next, brokenSeeds, acceptedOps atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				n := uint64(next.Add(1) - 1)
				if n >= count {
					return
				}
				w := newWorld(s, bugs, from+n)
				found := w.run()
				for _, o := range w.history {
					if o.accepted {
						acceptedOps.Add(1)
					}
				}
				if found == "" {
					continue
				}
				brokenSeeds.Add(1)
				mu.Lock()
				if violation == "" || from+n < seed {
					seed, violation = from+n, found
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return brokenSeeds.Load(), seed, violation, acceptedOps.Load()
}

// TestSchedules runs random fault schedules and checks the safety of the replicated log: one leader per term, no two
// leases at once, the same committed entries and images on all hosts, linearizable client operations, and a leader after
// losses in series that the voters are to tolerate.
func TestSchedules(t *testing.T) {
	list := loadSchedules(t)
	for _, s := range list {
		t.Run(s.Name, func(t *testing.T) {
			broken, seed, violation, accepted := runSeeds(s, injectedBugs{}, 1, uint64(*soak/len(list)))
			must.Eq(t, 0, broken, must.Sprintf("seed %d: %s", seed, violation))
			must.Positive(t, accepted, must.Sprint("no seed had an accepted change, so the checks were vacuous"))
			t.Logf("%d seeds, %d accepted changes", *soak/len(list), accepted)
		})
	}
}

// TestChecksCatchDeliberateFaults injects one bug at a time and requires that some seed violates an invariant, so that a
// check that has stopped detecting anything is noticed.
func TestChecksCatchDeliberateFaults(t *testing.T) {
	byName := map[string]schedule{}
	for _, s := range loadSchedules(t) {
		byName[s.Name] = s
	}
	cases := []struct {
		name, schedule string
		bugs           injectedBugs
	}{
		{"vote without sync", "crashes", injectedBugs{skipVoteSync: true}},
		{"entries without sync", "crashes", injectedBugs{skipEntrySync: true}},
		{"commit an older term's entry by count", "old entries", injectedBugs{commitOldTerms: true}},
		{"forget the incarnation", "lost disks", injectedBugs{reuseIncarnation: true}},
		{"lease longer than the election wait", "slow links", injectedBugs{longLease: true}},
		{"entries without sync before a power loss", "power losses", injectedBugs{skipEntrySync: true}},
		{"forget the incarnation after a power loss", "power losses", injectedBugs{reuseIncarnation: true}},
		{"forget operation identifiers", "lossy", injectedBugs{dropOpID: true}},
		{"replace lost keepers late", "losses in series", injectedBugs{replaceLate: true}},
		{"read without asking the quorum", "slow links", injectedBugs{readLocally: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const batch, limit = 100, 4000
			for from := uint64(1); from < limit; from += batch {
				if broken, seed, violation, _ := runSeeds(byName[c.schedule], c.bugs, from, batch); broken > 0 {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("no seed below %d violated an invariant under the injected bug", limit)
		})
	}
}
