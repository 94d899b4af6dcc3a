package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"cyclamenford/bench/drill"
	"cyclamenford/bench/fault"
	"cyclamenford/bench/site"
	"cyclamenford/core"
)

const (
	// warmUp is the time before the first fault, in which caches and estimates fill.
	warmUp = 1 * core.Second
	// healBy is the part of a run after which nothing is broken any more, so that what follows shows the recovery.
	healBy = 0.75
	// faultEvery is the mean time between two faults: with lengths of up to longest, two or three overlap.
	faultEvery = core.Millis(1200)
	shortest   = core.Millis(100)
	longest    = 4 * core.Second
	// leaveGrace is how long after its goodbye an endpoint may still get new work.
	leaveGrace = 3 * core.Second
	// maxDelay is beyond the keepers' election time-out of the examples.
	maxDelay = 600
	// mostLosses bounds the disks lost in a run: the examples' keepers promise to survive one.
	mostLosses = 1
	// floodEvery is the number of seeds of which one adds a flood of the least urgent requests.
	floodEvery = 3
)

// Series draws the script of a run: the same seed, deployment and length always give the same one.
func Series(seed uint64, d site.Deployment, run core.Millis) drill.Script {
	var hosts []fault.Party
	for _, h := range d.Hosts {
		hosts = append(hosts, fault.Party{Name: string(h.ID), Domain: h.FailureDomain})
	}
	var endpoints []string
	for _, o := range d.Stands(nil) {
		endpoints = append(endpoints, string(o.ID))
	}
	s := drill.Script{
		Name: fmt.Sprintf("seed %d of %s", seed, d.Name), Deployment: d.Name, Hosts: len(d.Hosts), RunMs: run,
		Load:  drill.Load{Streams: 5, Wholes: 5, Calls: 4, Changes: 2},
		Steps: Faults(seed, hosts, endpoints, run), Overlapping: true,
	}
	if seed%floodEvery == 0 {
		s.Load.Bulk = 40
	}
	return s
}

// Faults draws the faults of a run, in the order of their times; after healBy of the run nothing is broken any more.
func Faults(seed uint64, hosts []fault.Party, endpoints []string, run core.Millis) []fault.Step {
	g := &generator{
		Rand: rand.New(rand.NewPCG(seed, uint64(run))), hosts: hosts, endpoints: slices.Clone(endpoints),
		end: core.Millis(healBy * float64(run)), losses: mostLosses,
	}
	g.Shuffle(len(g.endpoints), func(i, j int) { g.endpoints[i], g.endpoints[j] = g.endpoints[j], g.endpoints[i] })
	for at := warmUp; at < g.end; at += g.between(1, 2*faultEvery) {
		g.fault(at, min(g.between(shortest, longest), g.end-at))
	}
	g.steps = append(g.steps, fault.Step{AtMs: g.end, Do: "HealAll"}, fault.Step{AtMs: g.end, Do: "StartAll"})
	slices.SortStableFunc(g.steps, func(a, b fault.Step) int { return int(a.AtMs - b.AtMs) })
	return g.steps
}

// generator draws one series of faults.
type generator struct {
	*rand.Rand
	hosts []fault.Party
	// endpoints are those without a fault yet, in random order: an endpoint gets one fault a run.
	endpoints []string
	end       core.Millis
	losses    int
	steps     []fault.Step
}

func (g *generator) between(least, most core.Millis) core.Millis {
	return least + core.Millis(g.Int64N(int64(most-least)+1))
}

func (g *generator) add(at core.Millis, s fault.Step) {
	s.AtMs = at
	g.steps = append(g.steps, s)
}

func (g *generator) host() fault.Party {
	return g.hosts[g.IntN(len(g.hosts))]
}

// fault adds one fault of a random kind that lasts for the given time.
func (g *generator) fault(at, lasts core.Millis) {
	until := at + lasts
	h := g.host()
	id := h.Name
	both := func(begin, end string) {
		g.add(at, fault.Step{Do: begin, Host: id})
		g.add(until, fault.Step{Do: end, Host: id})
	}
	kinds := []func(){
		func() { both("Kill", "Start") },
		func() { both("Freeze", "Thaw") },
		func() { both("Isolate", "Heal") },
		func() { both("IsolateIn", "Heal") },
		func() { both("IsolateOut", "Heal") },
		func() { g.add(at, fault.Step{Do: "Restart", Host: id}) },
		func() { g.add(at, fault.Step{Do: "CutHost", Host: id}) },
		func() { g.add(at, fault.Step{Do: "CutConnections"}) },
		func() {
			g.add(at, fault.Step{Do: "Delay", Host: id, DelayMs: g.between(shortest, maxDelay)})
			g.add(until, fault.Step{Do: "Heal", Host: id})
		},
		func() {
			g.add(at, fault.Step{Do: "IsolateDomain", Domain: h.Domain})
			g.add(until, fault.Step{Do: "HealDomain", Domain: h.Domain})
		},
		func() { g.damage(at, until, h) },
		func() { g.burst(at, until) },
		func() { g.endpointFault(at, until) },
		func() { g.endpointFault(at, until) },
		func() { g.leave(at) },
	}
	kinds[g.IntN(len(kinds))]()
}

// damage kills a host and tears or loses its data while it is down.
func (g *generator) damage(at, until core.Millis, h fault.Party) {
	do := "Tear"
	if g.losses > 0 && g.IntN(2) == 0 {
		g.losses--
		do = "Wipe"
	}
	for _, step := range []string{"Kill", do} {
		g.add(at, fault.Step{Do: step, Host: h.Name})
	}
	g.add(until, fault.Step{Do: "Start", Host: h.Name})
}

// burst kills or restarts several hosts within moments.
func (g *generator) burst(at, until core.Millis) {
	do := []string{"Kill", "Restart"}[g.IntN(2)]
	for range 2 + g.IntN(len(g.hosts)) {
		id := g.host().Name
		g.add(g.between(at, until), fault.Step{Do: do, Host: id})
		g.add(until, fault.Step{Do: "Start", Host: id})
	}
}

func (g *generator) endpointFault(at, until core.Millis) {
	if len(g.endpoints) == 0 {
		return
	}
	id := g.endpoints[0]
	g.endpoints = g.endpoints[1:]
	faults := []fault.Step{
		{Slow: float64(2 + g.IntN(20))}, {Stall: true}, {CutAfter: 1 + g.IntN(10)}, {LoseAnswers: true}, {Refuse: true},
	}
	if k := g.IntN(len(faults) + 1); k < len(faults) {
		s := faults[k]
		s.Do, s.Endpoint = "SetFault", id
		g.add(at, s)
		g.add(until, fault.Step{Do: "SetFault", Endpoint: id})
		return
	}
	g.add(at, fault.Step{Do: "CrashEndpoint", Endpoint: id})
	g.add(until, fault.Step{Do: "StartEndpoint", Endpoint: id})
}

// leave lets an endpoint say goodbye for good.
func (g *generator) leave(at core.Millis) {
	if len(g.endpoints) == 0 {
		return
	}
	id := g.endpoints[0]
	g.endpoints = g.endpoints[1:]
	g.add(at, fault.Step{Do: "Leave", Endpoint: id})
	g.add(at+leaveGrace, fault.Step{Do: "Mark", Endpoint: id})
}
