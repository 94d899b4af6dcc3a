package soak

import (
	"math/rand/v2"

	"cyclamenford/bench/fault"
	"cyclamenford/core"
)

const (
	// stopsStream is the stream of random numbers that draws planned stops.
	stopsStream = 0x5709
	// meanStopInterval is the mean time between two planned stops of entry hosts, and keeperStopInterval the time between two of
	// keepers.
	meanStopInterval   = core.Millis(350)
	keeperStopInterval = core.Millis(1500)
)

// GenerateStops generates planned stops, each followed by a new start, and no other faults: of all entry hosts
// in random order, again and again, and meanwhile of keepers in turn.
func GenerateStops(seed uint64, entries, keepers []fault.Party, run core.Millis) []fault.Step {
	r := rand.New(rand.NewPCG(seed, stopsStream))
	var steps, ofKeepers []fault.Step
	var order []int
	for at := warmUp; at < run; at += 1 + core.Millis(r.Int64N(int64(2*meanStopInterval))) {
		if len(order) == 0 {
			order = r.Perm(len(entries))
		}
		steps = append(steps, fault.Step{AtMs: at, Do: "Restart", Host: entries[order[0]].Name})
		order = order[1:]
	}
	for i, k := range r.Perm(len(keepers)) {
		if at := core.Millis(i+1) * keeperStopInterval; at < run {
			ofKeepers = append(ofKeepers, fault.Step{AtMs: at, Do: "Restart", Host: keepers[k].Name})
		}
	}
	return Merge(steps, ofKeepers)
}
