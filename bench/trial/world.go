package trial

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"cyclamenford/bench/site"
	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/plan"
)

const (
	tickMs     = 10
	shareMs    = 200
	announceMs = 1000
	hopMs      = 1
	farMs      = 2
	// callerTries bounds how often a caller comes back.
	callerTries = 5
)

// world is one trial.
type world struct {
	loop
	scenario   Scenario
	deployment site.Deployment
	rng        *rand.Rand
	hosts      []*host
	endpoints  map[core.EndpointID]*fake
	byPool     map[core.PoolID][]*fake
	order      []*fake
	keys       [core.PriorityCount][]plan.Key
	orgs       []core.OrganisationID
	result     Result
	running    map[core.TeamID]int
}

// Run plays a scenario and returns what was measured.
func Run(s Scenario) (Result, error) {
	d, ok := site.ByName(s.Deployment)
	if !ok {
		return Result{}, fmt.Errorf("unknown deployment %q", s.Deployment)
	}
	w := &world{
		scenario: s, deployment: d, rng: rand.New(rand.NewPCG(s.Seed, 7)), endpoints: map[core.EndpointID]*fake{},
		byPool: map[core.PoolID][]*fake{}, running: map[core.TeamID]int{}, result: newResult(s),
	}
	w.build()
	w.schedule()
	w.until(s.EndMs)
	for p := range w.result.Shares {
		w.result.Shares[p] = d.Tree.Share(core.Priority(p)).Share
	}
	w.result.Capacity = w.capacity() * float64(s.countUntil()-s.WarmMs) / float64(core.Second)
	return w.result, nil
}

func (w *world) build() {
	for _, o := range w.deployment.StandInOptions(nil) {
		f := &fake{world: w, slow: 1, cache: map[uint64]uint64{}, prefill: float64(o.WorkMs) * 0.9}
		f.announce = core.Announcement{
			ID: o.ID, Incarnation: 1, Address: "fake", FailureDomain: o.FailureDomain, Kind: o.Kind, Models: o.Models, Slots: o.Slots, CacheEntries: cacheBound,
		}
		f.workMs = float64(o.WorkMs)
		if o.Kind == core.Generate {
			f.prefill = float64(o.WorkMs) * 5
			f.workMs = f.prefill + float64(o.TokenMs)*float64(o.Tokens)
		}
		w.endpoints[o.ID] = f
		w.order = append(w.order, f)
		id := core.PoolID{Kind: o.Kind, Model: o.Models[0]}
		w.byPool[id] = append(w.byPool[id], f)
	}
	policy := desk.PolicyOf(w.deployment.Tree, nil, nil)
	for _, spec := range w.deployment.Hosts {
		h := &host{world: w, id: spec.ID, domain: spec.FailureDomain, asked: map[uint64]*ticket{}}
		h.desk = desk.New(spec.ID, spec.FailureDomain, rand.New(rand.NewPCG(w.rng.Uint64(), 3)))
		h.desk.SetPolicy(0, policy)
		w.hosts = append(w.hosts, h)
	}
	p := w.deployment.Tree.Platform.Pipelines[0]
	for priority := range w.keys {
		for _, s := range p.Stages {
			k := plan.Key{Pool: s.Pool(), Name: p.Name + "/" + s.Name, Priority: core.Priority(priority)}
			w.keys[priority] = append(w.keys[priority], k)
		}
	}
	for _, id := range w.deployment.Tree.TeamIDs() {
		w.orgs = append(w.orgs, core.OrganisationID(id))
	}
}

// capacity returns the requests a second that the slowest stage can serve.
func (w *world) capacity() float64 {
	least := 0.0
	for i, k := range w.keys[0] {
		rate := 0.0
		for _, f := range w.byPool[k.Pool] {
			rate += float64(f.announce.Slots) / (f.workMs * meanJitter) * float64(core.Second)
		}
		if i == 0 || rate < least {
			least = rate
		}
	}
	return least
}

func (w *world) schedule() {
	for i, h := range w.hosts {
		w.after(core.Millis(i), func() { w.every(tickMs, func() { w.tick(h) }) })
		w.after(core.Millis(i*7), func() { w.every(shareMs, func() { w.share(h) }) })
	}
	for i, f := range w.order {
		w.after(core.Millis(i%20), func() {
			w.announce(f)
			w.every(announceMs, func() { w.announce(f) })
		})
	}
	for _, x := range w.scenario.Faults {
		w.after(x.AtMs, func() { w.breakSomething(x) })
	}
	w.arrivals()
}

func (w *world) tick(h *host) {
	if h.dead {
		return
	}
	_, actions := h.desk.Tick(w.now)
	h.take(actions)
}

func (w *world) share(h *host) {
	if h.dead {
		return
	}
	s := h.desk.NextReport(w.now, h.id, 1)
	for _, o := range w.hosts {
		if o != h && !o.dead {
			w.after(farMs, func() { o.take(o.desk.ApplyReport(w.now, s)) })
		}
	}
}

// announce sends a report to one host, which relays it to the others with its next message.
func (w *world) announce(f *fake) {
	if f.dead {
		return
	}
	a := f.report()
	lag := core.Millis(0)
	if x := w.active("LateReports", f); x != nil {
		lag = core.Millis(x.Factor)
	}
	for i, h := range w.hosts {
		wait := core.Millis(hopMs)
		if i != int(f.seq)%len(w.hosts) {
			wait += core.Millis(w.rng.IntN(shareMs))
		}
		w.after(wait+lag, func() {
			if !h.dead {
				// The lease is kept by renewals that come in time; only the load report in them is late.
				_, actions := h.desk.Announce(w.now, a, 0)
				h.take(actions)
			}
		})
	}
}

func (w *world) distance(a, b core.FailureDomain) core.Millis {
	if a == b {
		return hopMs
	}
	return farMs
}

// active returns a fault of the kind that holds now for the endpoint.
func (w *world) active(kind string, f *fake) *Fault {
	for i, x := range w.scenario.Faults {
		stage := x.Stage == "" || x.Stage == f.announce.Kind
		if x.Kind == kind && stage && w.now >= x.AtMs && w.now < x.EndMs {
			return &w.scenario.Faults[i]
		}
	}
	return nil
}

func (w *world) breakSomething(x Fault) {
	switch x.Kind {
	case "Slow", "Dead", "Leave":
		w.breakEndpoints(x)
	case "Host":
		w.loseHost(w.hosts[len(w.hosts)-1])
	case "Domain":
		domain := w.hosts[0].domain
		for _, h := range w.hosts {
			if h.domain == domain {
				w.loseHost(h)
			}
		}
		for _, f := range w.order {
			if f.announce.FailureDomain == domain {
				f.die()
			}
		}
	}
}

func (w *world) breakEndpoints(x Fault) {
	var hit []*fake
	for _, f := range w.order {
		if f.announce.Kind == x.Stage {
			hit = append(hit, f)
		}
	}
	for _, f := range hit[:int(float64(len(hit))*x.Part)] {
		switch x.Kind {
		case "Slow":
			f.slow = x.Factor
			w.after(x.EndMs-x.AtMs, func() { f.slow = 1 })
		case "Dead":
			f.die()
		case "Leave":
			f.left, f.leftAt = true, w.now
			w.announce(f)
		}
	}
}

// loseHost ends a host; its callers get no answer and the balancer sends none there any more.
func (w *world) loseHost(h *host) {
	h.dead = true
	for _, number := range slices.Sorted(maps.Keys(h.asked)) {
		t := h.asked[number]
		if t.visit != nil {
			t.visit.done = func(bool) {}
			t.at.finish(t.visit, false)
		}
		w.end(t.stage.request, "HostLost", 0)
	}
	h.asked = map[uint64]*ticket{}
}
