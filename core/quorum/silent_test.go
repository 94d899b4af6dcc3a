package quorum_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/quorum"
)

const (
	// replaceSteps is the time within which the spares must become learners, and the replacement of a silent voter begin.
	// lossSteps is the number of steps from then on at which disks are lost.
	replaceSteps = 400
	lossSteps    = 12
)

// TestDisksMayBeLostWhileSilentVotersAreReplaced guards against a replacement after which the loss of as many disks as are
// tolerated leaves no quorum, although the replaced voters were only silent and come back with their disks.
//
// The disks are lost at each step of the replacement, from the step in which its first change is appended. Silent voters that have
// lost their disks count among the losses.
func TestDisksMayBeLostWhileSilentVotersAreReplaced(t *testing.T) {
	for _, c := range []struct{ nodes, silent, wiped int }{{3, 1, 0}, {5, 1, 0}, {5, 2, 0}, {5, 1, 1}, {5, 2, 1}} {
		for _, silenceLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d of %d silent, %d without its disk, leader among them %t", c.silent, c.nodes, c.wiped, silenceLeader), func(t *testing.T) {
				t.Parallel()
				runs := 0
				var failed []string
				for step := range lossSteps {
					for _, lost := range choices(c.nodes+(c.nodes-1)/2-c.silent, (c.nodes-1)/2-c.wiped) {
						for _, loseMessages := range []bool{false, true} {
							runs++
							r := replacement{nodes: c.nodes, silent: c.silent, wiped: c.wiped, silenceLeader: silenceLeader, step: step, lost: lost, loseMessages: loseMessages}
							if violation := r.run(); violation != "" {
								failed = append(failed, fmt.Sprintf("%+v: %s", r, violation))
							}
						}
					}
				}
				t.Logf("%d of %d runs failed", len(failed), runs)
				must.Zero(t, len(failed), must.Sprint(strings.Join(failed[:min(3, len(failed))], "\n")))
			})
		}
	}
}

// replacement is one run of the test: voters go silent, some of which lose their disks, and the disks of lost, numbers of keepers
// that still run, are lost step steps after the first change of voters.
type replacement struct {
	nodes, silent, wiped, step  int
	silenceLeader, loseMessages bool
	lost                        []int
}

// run returns what went wrong, or an empty string.
func (r replacement) run() string {
	w := newWorld(schedule{Nodes: r.nodes, MaxDelay: stepMillis, Lose: 1}, injectedBugs{}, uint64(r.step+1))
	for range (r.nodes - 1) / 2 {
		w.hosts = append(w.hosts, &keeperHost{host: hostName(len(w.hosts)), incarnation: 1, downUntil: w.now})
	}
	var leader *keeperHost
	if !w.stepUntil(func() bool {
		leader = w.leading()
		return leader != nil && len(leader.node.Config().Learners) == (r.nodes-1)/2 && !leader.node.ChangePending()
	}) {
		return "the spares have not become learners"
	}
	voters := leader.node.Config().Voters
	silent := w.silence(leader, r.silent, r.silenceLeader)
	if !w.stepUntil(func() bool { return w.votersDiffer(voters) }) {
		return "no replacement has begun"
	}
	for range r.step {
		w.step()
	}
	running := slices.DeleteFunc(slices.Clone(w.hosts), func(h *keeperHost) bool { return slices.Contains(silent, h) })
	for _, i := range r.lost {
		w.crash(running[i])
		w.wipe(running[i])
	}
	if r.loseMessages {
		w.packets = nil
	}
	for i, h := range silent {
		h.downUntil = w.now
		if i < r.wiped {
			w.wipe(h)
		}
	}
	return w.recover()
}

// silence stops voters until further notice: the leader and others, or only others.
func (w *world) silence(leader *keeperHost, count int, leaderToo bool) []*keeperHost {
	var silent []*keeperHost
	if leaderToo {
		silent = append(silent, leader)
	}
	for _, h := range w.hosts {
		if h != leader && leader.node.Config().IsVoter(h.member) && len(silent) < count {
			silent = append(silent, h)
		}
	}
	for _, h := range silent {
		w.crash(h)
		h.downUntil = w.now + 2*replaceSteps*stepMillis
	}
	return silent
}

// step runs one step without random faults.
func (w *world) step() {
	w.now += stepMillis
	w.advance()
	w.runClients()
}

// stepUntil runs steps until the condition holds, and returns false if it does not within replaceSteps.
func (w *world) stepUntil(condition func() bool) bool {
	for range replaceSteps {
		if condition() {
			return true
		}
		w.step()
	}
	return condition()
}

// leading returns the keeper that leads, or nil.
func (w *world) leading() *keeperHost {
	for _, h := range w.hosts {
		if h.node != nil && h.node.Ready() {
			return h
		}
	}
	return nil
}

// votersDiffer reports whether a running keeper has a configuration with other voters than the given ones.
func (w *world) votersDiffer(voters []quorum.Member) bool {
	return slices.ContainsFunc(w.hosts, func(h *keeperHost) bool {
		return h.node != nil && h.disk.snap.Index > 0 && !slices.Equal(h.node.Config().Voters, voters)
	})
}

// choices returns all choices of count numbers below n.
func choices(n, count int) [][]int {
	if count == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for last := count - 1; last < n; last++ {
		for _, rest := range choices(last, count-1) {
			all = append(all, append(slices.Clone(rest), last))
		}
	}
	return all
}
