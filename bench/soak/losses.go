package soak

import (
	"math/rand/v2"
	"slices"

	"cyclamenford/bench/fault"
	"cyclamenford/core"
)

const (
	// lossesEvery selects the seeds that lose disks in series once all other faults are removed: each seed that is a multiple of
	// it. Their random numbers come from lossesStream.
	lossesEvery  = 3
	lossesStream = 0x1055e5
	// lossesInSeries is the number of disks lost one after the other, and catchUp how long a new disk counts as lost after its
	// start: the next one may be lost right after that.
	lossesInSeries = 3
	catchUp        = 4 * core.Second
	// shortestOutage and longestOutage bound the time from the loss of a disk to the start of its successor.
	shortestOutage = core.Millis(100)
	longestOutage  = 2 * core.Second
	// finalOutage is the length of the final loss of power.
	finalOutage = core.Millis(1200)
)

// LosesDisksInSeries reports whether a seed loses disks in series.
func LosesDisksInSeries(seed uint64) bool { return seed%lossesEvery == 0 }

// GenerateLosses generates the steps by which disks are lost one after the other, each as soon after the one before as may be, and
// at last as many as are tolerated while all hosts lose power. The first is lost at from, when all hosts must have run for
// catchUp. It also returns when the last host starts. A step "Replace" tells that the host's successor is another host.
func GenerateLosses(seed uint64, disks []fault.Party, tolerated int, from core.Millis) ([]fault.Step, core.Millis) {
	r := rand.New(rand.NewPCG(seed, lossesStream))
	var steps []fault.Step
	add := func(at core.Millis, do, host string) {
		steps = append(steps, fault.Step{AtMs: at, Do: do, Host: host})
	}
	at := from
	for range lossesInSeries {
		host := disks[r.IntN(len(disks))].Name
		start := at + shortestOutage + core.Millis(r.Int64N(int64(longestOutage-shortestOutage)))
		add(at, "Kill", host)
		add(at, "Wipe", host)
		add(at, "Replace", host)
		add(start, "Start", host)
		at = start + catchUp
	}
	add(at, "KillAll", "")
	for _, i := range r.Perm(len(disks))[:tolerated] {
		add(at, "Wipe", disks[i].Name)
	}
	at += finalOutage
	add(at, "StartAll", "")
	return steps, at
}

// withoutReplacements leaves out the steps "Replace": the lost disk's host comes back with another one.
func withoutReplacements(steps []fault.Step) []fault.Step {
	return slices.DeleteFunc(steps, func(s fault.Step) bool { return s.Do == "Replace" })
}
