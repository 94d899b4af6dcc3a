package sched

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

// listDelay is how long after a takeover the first host lists its requests; the others follow, each a little later.
const listDelay = 30 * core.Millis(1)

// takeover replaces the scheduler. The old one makes no more decisions from At on. Gap milliseconds later a new one starts from the results
// that were in use, and the hosts place their requests again.
type takeover struct {
	At  float64
	Gap core.Millis
	// CopyAge is the age at At of the copy of the requests at engines; Empty means that there is no copy. The first Silent hosts never list
	// their requests.
	CopyAge core.Millis
	Empty   bool
	Silent  uint64
}

// engineRequests is what the engines of a simulation really run, and what was recorded of it.
type engineRequests struct {
	// held is the sum of the tokens at each engine, and overfull counts the requests whose arrival exceeded the memory of an engine.
	held     map[core.EndpointID]int
	overfull int
	// running holds the requests at engines, each with the number of its scheduler, and schedulers counts the schedulers.
	running    map[order.Key]order.RunningRequest
	granter    map[order.Key]int
	schedulers int
	// recorded are the actions about requests at engines since the present scheduler began, each with its time.
	recorded []recordedAction
	// inherited is what the present scheduler was told at its start.
	inherited []order.RunningRequest
}

type recordedAction struct {
	at core.Millis
	order.Action
}

func newEngineRequests() engineRequests {
	return engineRequests{held: map[core.EndpointID]int{}, running: map[order.Key]order.RunningRequest{}, granter: map[order.Key]int{}}
}

// beginAtEngine adds a granted request to its engine.
func (sim *simulation) beginAtEngine(g order.Grant, x *clientRequest) {
	r := order.RunningRequest{
		Key: g.Key, Endpoint: g.Endpoint, Life: g.Life, HeldTokens: x.ask.Prompt.Tokens + x.ask.Prompt.Output, UnreadTokens: x.ask.Prompt.Tokens,
		Till: x.firstSentAt + sim.load.Classes[x.class].Left + HostReportGrace,
	}
	b := &sim.engines
	others := b.held[g.Endpoint]
	b.held[g.Endpoint] += r.HeldTokens
	b.running[g.Key], b.granter[g.Key] = r, b.schedulers
	memory := sim.load.Services[sim.serviceIndex(sim.load.Classes[x.class].Service)].Engine.CacheTokens
	if others == 0 || b.held[g.Endpoint] <= memory {
		return
	}
	// Hosts end their requests at the deadlines.
	for _, key := range slices.SortedFunc(maps.Keys(b.running), compareKeys) {
		if other := b.running[key]; other.Endpoint == g.Endpoint && sim.now >= other.Till-HostReportGrace {
			sim.endAtEngine(key)
		}
	}
	if b.held[g.Endpoint] > memory {
		b.overfull++
	}
}

// endAtEngine removes a request from its engine.
func (sim *simulation) endAtEngine(key order.Key) {
	if r, ok := sim.engines.running[key]; ok {
		sim.engines.held[r.Endpoint] -= r.HeldTokens
		delete(sim.engines.running, key)
		delete(sim.engines.granter, key)
	}
}

// recordAction records an action about requests at engines for the copy.
func (sim *simulation) recordAction(a order.Action) {
	if a.RequestRuns != nil || a.RequestBegan != nil || a.RequestEnded != nil {
		sim.engines.recorded = append(sim.engines.recorded, recordedAction{at: sim.now, Action: a})
	}
}

// inheritRunning gives a new scheduler the copy of the requests at engines, and lets the hosts list theirs.
func (sim *simulation) inheritRunning(x takeover) {
	b := &sim.engines
	copied := map[order.Key]order.RunningRequest{}
	for _, r := range b.inherited {
		copied[r.Key] = r
	}
	copiedAt := core.Millis(x.At*1000) - x.CopyAge
	for _, a := range b.recorded {
		switch {
		case a.at > copiedAt:
		case a.RequestRuns != nil:
			copied[a.RequestRuns.Key] = *a.RequestRuns
		case a.RequestBegan != nil:
			if r, ok := copied[*a.RequestBegan]; ok {
				r.Began = true
				copied[r.Key] = r
			}
		case a.RequestEnded != nil:
			delete(copied, *a.RequestEnded)
		}
	}
	b.inherited, b.recorded = nil, nil
	if !x.Empty {
		for _, key := range slices.SortedFunc(maps.Keys(copied), compareKeys) {
			b.inherited = append(b.inherited, copied[key])
		}
	}
	b.schedulers++
	hosts := slices.Sorted(maps.Keys(sim.incarnations))
	sim.scheduler.InheritRunning(sim.now, Takeover{Requests: b.inherited, Copied: !x.Empty, Age: sim.now - copiedAt, Hosts: hosts})
	number := b.schedulers
	for n, host := range hosts {
		if n < int(x.Silent) {
			continue
		}
		sim.scheduleAt(sim.now+listDelay+core.Millis(n), func() { sim.listRunning(number, host) })
	}
}

// listRunning lets a host list the requests that earlier schedulers granted, unless the scheduler has been replaced again.
func (sim *simulation) listRunning(scheduler int, host core.HostID) {
	life, up := sim.incarnations[host]
	b := &sim.engines
	if !up || sim.schedulerDown || scheduler != b.schedulers {
		return
	}
	var list []order.RunningRequest
	for _, key := range slices.SortedFunc(maps.Keys(b.running), compareKeys) {
		if key.Host == host && b.granter[key] != scheduler {
			list = append(list, b.running[key])
		}
	}
	sim.notify(func() { sim.scheduler.HostRunning(sim.now, host, life, list) })
}
