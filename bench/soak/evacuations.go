package soak

import (
	"math/rand/v2"

	"cyclamenford/bench/fault"
	"cyclamenford/core"
)

const (
	// evacuationStream and returnStream are the streams of random numbers that draw evacuations and endpoints that return together.
	evacuationStream = 0xe7ac
	returnStream     = 0xc01d
	// maxBriefOrder is the longest time from an order to its withdrawal of a brief evacuation.
	maxBriefOrder = 1 * core.Second
	// returnGroups is how often endpoints return together, returnSize how many at a time, and maxAbsence their longest absence.
	returnGroups = 2
	returnSize   = 2
	maxAbsence   = 2 * core.Second
)

// GenerateEvacuations generates orders to evacuate failure domains ("Evacuate") and their withdrawals ("Readmit"): of one domain for about
// half of the faults and more, and of a second one briefly and later until last, when all faults are over. They draw from random numbers of
// their own, so that a seed gives the same other faults as without them.
func GenerateEvacuations(seed uint64, domains []core.FailureDomain, run, last core.Millis) []fault.Step {
	r := rand.New(rand.NewPCG(seed, evacuationStream))
	end := core.Millis(recoveryStart * float64(run))
	below := func(span core.Millis) core.Millis { return core.Millis(r.Int64N(int64(span))) }
	chosen := r.Perm(len(domains))
	long, later := domains[chosen[0]], domains[chosen[1]]
	from, brief, again := below(end/4), below(end/4), end/2+below(end/3)
	var steps []fault.Step
	for _, e := range []struct {
		domain      core.FailureDomain
		from, until core.Millis
	}{
		{long, from, min(last, from+end/2+below(end/2))},
		{later, brief, brief + 1 + below(maxBriefOrder)},
		{later, again, last},
	} {
		steps = append(steps, fault.Step{AtMs: e.from, Do: "Evacuate", Domain: e.domain}, fault.Step{AtMs: e.until, Do: "Readmit", Domain: e.domain})
	}
	return Merge(steps, nil)
}

// GenerateReturns generates the steps by which several endpoints crash and start again at the same moment, some of them again later. They
// draw from random numbers of their own.
func GenerateReturns(seed uint64, endpoints []string, run core.Millis) []fault.Step {
	r := rand.New(rand.NewPCG(seed, returnStream))
	end := core.Millis(recoveryStart * float64(run))
	var steps []fault.Step
	for range returnGroups {
		at := warmUp + core.Millis(r.Int64N(int64(end-warmUp)))
		until := at + 1 + core.Millis(r.Int64N(int64(maxAbsence)))
		for _, i := range r.Perm(len(endpoints))[:min(returnSize, len(endpoints))] {
			steps = append(steps, fault.Step{AtMs: at, Do: "CrashEndpoint", Endpoint: endpoints[i]}, fault.Step{AtMs: until, Do: "StartEndpoint", Endpoint: endpoints[i]})
		}
	}
	return Merge(steps, nil)
}
