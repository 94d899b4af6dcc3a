package sched

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

// endpointSpeed describes the slowdown of the endpoints of a simulated service.
type endpointSpeed struct {
	// Usual holds the usual slowdowns of the endpoints, in turn. Without it the endpoints have a slowdown of 1.
	Usual []float64
	// For SlowShare of the time, in periods of SlowMs on average, an endpoint takes SlowTimes as long as usual.
	SlowShare, SlowMs, SlowTimes float64
	// Reports means that endpoints state their slowdown in their answers.
	Reports bool
}

// period is a time from a first to a last moment.
type period struct{ from, to core.Millis }

// drawSlowPeriods draws the slow periods of all endpoints. Their random numbers are apart from those of the load, so that the same requests
// arrive whatever the speed of the endpoints is.
func (sim *simulation) drawSlowPeriods() {
	sim.slowPeriods = map[core.EndpointID][]period{}
	rng := rand.New(rand.NewPCG(sim.load.Seed, 2))
	end := sim.load.Seconds*1000 + 30_000
	for _, s := range sim.load.Services {
		for i := range s.Endpoints {
			x := s.Speed
			if x.SlowShare == 0 {
				continue
			}
			id := endpointName(s.Name, i)
			between := x.SlowMs * (1 - x.SlowShare) / x.SlowShare
			for at := rng.Float64() * between; at < end; {
				to := at + x.SlowMs*(0.5+rng.Float64())
				sim.slowPeriods[id] = append(sim.slowPeriods[id], period{core.Millis(at), core.Millis(to)})
				at = to - math.Log(1-rng.Float64())*between
			}
		}
	}
}

// slownessAt returns the slowdown of an endpoint at a time, as it states it.
func (sim *simulation) slownessAt(service string, e core.EndpointID, at core.Millis) float64 {
	x := sim.load.Services[sim.serviceIndex(service)].Speed
	slowness := 1.0
	if len(x.Usual) > 0 {
		slowness = x.Usual[endpointIndex(e)%len(x.Usual)]
	}
	for _, p := range sim.slowPeriods[e] {
		if at >= p.from && at < p.to {
			return slowness * x.SlowTimes
		}
	}
	return slowness
}

// endpointIndex returns the number of an endpoint in its service.
func endpointIndex(e core.EndpointID) int {
	i, _ := strconv.Atoi(string(e[strings.LastIndexByte(string(e), '-')+1:]))
	return i
}

// readEnd returns when an engine has read a prompt that takes work milliseconds at the usual speed and that it begins at
// start. An engine whose speed changes goes on at the new speed.
func (sim *simulation) readEnd(service string, e core.EndpointID, start core.Millis, work, slowdown float64) core.Millis {
	if len(sim.slowPeriods[e]) == 0 {
		return start + core.Millis(work*slowdown)
	}
	for at := start; ; at++ {
		if work -= 1 / sim.slownessAt(service, e, at); work <= 0 {
			return at + 1
		}
	}
}

// reportLoad tells the scheduler what an endpoint states of its load in an answer.
func (sim *simulation) reportLoad(service string, l core.Life) {
	s := sim.load.Services[sim.serviceIndex(service)]
	if !s.Speed.Reports || sim.schedulerDown {
		return
	}
	report := order.LoadReport{Stated: true, Slowness: sim.slownessAt(service, l.Endpoint, sim.now)}
	sim.notify(func() { sim.scheduler.RecordLoad(sim.now, l, report) })
}

// TestReportsServeMoreInTime guards against reports of speed that change nothing: the same requests at the same endpoints must earn more
// if the endpoints state their speed, in total and for each class of streams.
func TestReportsServeMoreInTime(t *testing.T) {
	for _, l := range readLoads(t) {
		if !slices.ContainsFunc(l.Services, func(s simulatedService) bool { return s.Speed.Reports }) {
			continue
		}
		with, without := simulate(l), simulate(l.withoutReports())
		for _, c := range l.Classes {
			x, y := with.tally[c.Name], without.tally[c.Name]
			t.Logf("%-8s on time %d of %d with reports, %d of %d without; earned %.3f and %.3f; 95 of 100 first bytes within %d and %d ms",
				c.Name, x.OnTime, x.Asked, y.OnTime, y.Asked, x.Earned/x.Owed, y.Earned/y.Owed, quantile(x.times, 0.95), quantile(y.times, 0.95))
			if len(c.Stages) > 0 {
				test.Greater(t, y.Earned, x.Earned, test.Sprint(c.Name))
			}
		}
		for name, svc := range with.scheduler.services {
			t.Logf("%s: %.4f ms a token, base time %.1f ms, usual slowdown %.2f", name, svc.Speed().TokenTime(), svc.Speed().BaseTime(), svc.Speed().Usual())
		}
	}
}

// quantile returns the value below which a share of times lies.
func quantile(times []core.Millis, share float64) core.Millis {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(share*float64(len(sorted)-1))]
}

// withoutReports returns the load with endpoints that state nothing of their speed.
func (l load) withoutReports() load {
	l.Services = slices.Clone(l.Services)
	for i := range l.Services {
		l.Services[i].Speed.Reports = false
	}
	return l
}
