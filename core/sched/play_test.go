package sched

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
)

// load describes one simulated load: classes of requests, the services that serve them, and disturbances.
type load struct {
	Name    string
	Seconds float64
	Seed    uint64
	// A client comes back once after a refusal, at the time that the refusal states.
	Services []simulatedService
	Classes  []class
	Bursts   []struct {
		Class       string
		At, Seconds float64
		Times       float64
	}
	Slow []struct {
		Service     string
		Count       int
		At, Seconds float64
		Times       float64
	}
	Lost []struct {
		Service     string
		Count       int
		At, Seconds float64
	}
	// Pauses are the times in which the first Count endpoints of a service reject all work and ask for a pause until
	// the end.
	Pauses []struct {
		Service     string
		Count       int
		At, Seconds float64
	}
	// Limits are the times in which the first Count endpoints of a service name a limit in their answers.
	Limits []struct {
		Service     string
		Count       int
		At, Seconds float64
		Rate        float64
	}
	// Hosts is the number of entry hosts, one if not set. Requests arrive at them in turn. In a death, the first Count
	// hosts stop at At, lose the requests that they have, and start a new incarnation at Back.
	Hosts  uint64
	Deaths []struct {
		Count    uint64
		At, Back float64
	}
	// Returns are the times in which the endpoints of a service in one failure domain cannot be reached. They come back
	// together, cold, and announce themselves in the period after that.
	Returns []struct {
		Service     string
		Domain      int
		At, Seconds float64
	}
	Takeovers []takeover
	// Core is the processor time in microseconds that the scheduler's process takes for each event that reaches it, for each pass
	// over the queues, for each entry of a queue in a pass, and for each action that leaves the process. Events wait while the processor is busy. Without it
	// everything is decided at once.
	Core struct{ Event, Dispatch, Entry, Action float64 }
	// Crash is one request of a class that is sent again and again and one of whose pieces crashes the endpoints of a
	// service. A crashed endpoint recovers after BackMs. At most Most endpoints may crash.
	Crash struct {
		Class, Service  string
		At, Seconds     float64
		EveryMs, BackMs core.Millis
		Most            int
	}
	// Least is the smallest share of the possible worth that each class must earn. The values come from the required
	// minima and targets of the sites.
	Least map[string]float64
	// MostFalse is the largest share of the requests that may be refused later than an eighth of their aim after their
	// arrival.
	MostFalse float64
	// MostForeign is the largest share of the fetched bytes that may come from another failure domain, if set. It is
	// half of the 2/3 that results from a choice that ignores the three domains.
	MostForeign float64
}

// simulatedService describes a service of a load and its endpoints.
type simulatedService struct {
	conf.Service
	Endpoints int
	// TokensPerMs is the speed at which engines read prompts, and WorkMs the duration of a plain call.
	TokensPerMs, WorkMs float64
	// Speed describes endpoints of different and changing speed.
	Speed endpointSpeed
}

// class describes one kind of request of a load.
type class struct {
	Name      string
	PerSecond float64
	Service   string
	Priority  int
	Aim, Left core.Millis
	// Shared and Own are the numbers of prompt tokens that are shared and that belong to the request alone.
	Shared, Own int
	Things      int
	Output      int
	Worth, Late float64
	Stages      []struct {
		Service string
		After   []int
		Mean    float64
		Share   float64
		Bytes   int64
		WorkX   float64
	}
}

// event is a function to run at a simulated time. n orders events at the same time.
type event struct {
	at  core.Millis
	n   int
	run func()
}

// events is a priority queue of events, the earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// tally counts the outcomes of the requests of one class, also the requests that were refused later than an eighth of
// their aim after their arrival, and sums up the worth that they could earn and did earn.
type tally struct {
	Asked, OnTime, Late, Refused, RefusedLate int
	Owed, Earned                              float64
	// times holds the times from the arrival to the first byte.
	times []core.Millis
}

// simulation runs a load in simulated time against a scheduler, with simulated hosts, endpoints and clients.
type simulation struct {
	load       load
	rng        *rand.Rand
	scheduler  *Scheduler
	now        core.Millis
	queue      events
	eventCount int
	seq        uint64
	requests   map[order.Key]*clientRequest
	domains    map[core.EndpointID]int
	// fetched counts the bytes of results that endpoints fetched, and foreign those that came from another failure
	// domain.
	fetched, foreign                  int64
	tally                             map[string]*tally
	handleExpiry                      map[string]core.Millis
	handleBytes                       map[string]int64
	usedRoom                          map[string]int64
	handleCount                       int
	calls, pieces, goneInputs, noRoom int
	// quarantine holds the suspects, recoversAt is when crashed endpoints run again, and crashes counts the crashes.
	quarantine *poison.Quarantine
	recoversAt map[core.EndpointID]core.Millis
	crashes    int
	// sentWhilePaused counts the requests, calls and releases that were sent to an endpoint during its pause.
	sentWhilePaused int
	// issuer issues the permits, and sentToLimited holds when work was sent to each endpoint that names a limit.
	issuer        *limit.Issuer
	sentToLimited map[core.EndpointID][]core.Millis
	// incarnations holds the current incarnation of each entry host. A stopped host has none.
	incarnations map[core.HostID]core.Incarnation
	// schedulerDown is set while there is no active scheduler. waiting holds the requests that have no endpoint, and
	// held the results in use.
	schedulerDown bool
	waiting       map[order.Key]*clientRequest
	held          map[order.Key][]order.HeldResults
	running       map[uint64]order.RunningCall
	busyUntil     map[core.EndpointID]core.Millis
	// inbox holds the events that wait for the scheduler's processor, tickWaits means that a tick is among them, and coreBusy is
	// set while it works. coreTime is the
	// processor time in microseconds that is not accounted for yet, and coreUsed its total.
	inbox              []func()
	coreBusy           bool
	tickWaits          bool
	coreTime, coreUsed float64
	cachedParts        map[core.EndpointID]map[string]bool
	engines            engineRequests
	// slowPeriods holds the slow periods of each endpoint that has some.
	slowPeriods map[core.EndpointID][]period
	// arrivals holds when requests reached each endpoint with a cold bound.
	arrivals map[core.EndpointID][]core.Millis
}

// clientRequest is a simulated request. A client may send it a second time after a refusal.
type clientRequest struct {
	class       int
	ask         order.PlacementRequest
	firstSentAt core.Millis
	arrivedAt   core.Millis
	retried     bool
	// poisoned is set if the request crashes endpoints. Its clients are not counted.
	poisoned bool
	// finished is set once the client has its answer, was refused for the last time or lost its host.
	finished bool
	worth    float64
	work     []float64
	// granted is the endpoint of the last grant.
	granted core.Life
}

// scheduleAt adds an event.
func (sim *simulation) scheduleAt(t core.Millis, f func()) {
	sim.eventCount++
	heap.Push(&sim.queue, event{t, sim.eventCount, f})
}

// slowdown returns the factor by which an endpoint is slower than usual at present.
func (sim *simulation) slowdown(service string, e core.EndpointID) float64 {
	x := 1.0
	for _, s := range sim.load.Slow {
		for i := range s.Count {
			if s.Service == service && e == endpointName(service, i) && sim.now >= core.Millis(s.At*1000) && sim.now < core.Millis((s.At+s.Seconds)*1000) {
				x *= s.Times
			}
		}
	}
	return x * sim.slownessAt(service, e, sim.now)
}

func endpointName(service string, i int) core.EndpointID {
	return core.EndpointID(fmt.Sprintf("%s-%d", service, i))
}

// isLost reports whether an endpoint is down after a crash or by a loss that the load defines.
func (sim *simulation) isLost(service string, e core.EndpointID) bool {
	if sim.now < sim.recoversAt[e] {
		return true
	}
	for _, s := range sim.load.Lost {
		for i := range s.Count {
			if s.Service == service && e == endpointName(service, i) && sim.now >= core.Millis(s.At*1000) && sim.now < core.Millis((s.At+s.Seconds)*1000) {
				return true
			}
		}
	}
	return false
}

// pausedUntil returns when the current pause of an endpoint ends, or 0 if it accepts work now.
func (sim *simulation) pausedUntil(service string, e core.EndpointID) core.Millis {
	for _, x := range sim.load.Pauses {
		for i := range x.Count {
			if end := core.Millis((x.At + x.Seconds) * 1000); x.Service == service && e == endpointName(service, i) && sim.now >= core.Millis(x.At*1000) && sim.now < end {
				return end
			}
		}
	}
	return 0
}

// simulate runs a load to its end and returns the simulation with its counters.
func simulate(l load) *simulation {
	sim := &simulation{
		engines: newEngineRequests(), running: map[uint64]order.RunningCall{},
		load: l, rng: rand.New(rand.NewPCG(l.Seed, 1)), now: 1, waiting: map[order.Key]*clientRequest{}, held: map[order.Key][]order.HeldResults{}, requests: map[order.Key]*clientRequest{}, domains: map[core.EndpointID]int{}, tally: map[string]*tally{},
		handleExpiry: map[string]core.Millis{}, handleBytes: map[string]int64{}, usedRoom: map[string]int64{},
		issuer: limit.NewIssuer(), sentToLimited: map[core.EndpointID][]core.Millis{}, quarantine: poison.New(), recoversAt: map[core.EndpointID]core.Millis{}, incarnations: map[core.HostID]core.Incarnation{}, busyUntil: map[core.EndpointID]core.Millis{}, cachedParts: map[core.EndpointID]map[string]bool{},
	}
	sim.drawSlowPeriods()
	sim.arrivals = map[core.EndpointID][]core.Millis{}
	sim.startScheduler()
	sim.scheduleAnnouncements()
	for i := range l.Classes {
		sim.tally[l.Classes[i].Name] = &tally{}
		sim.scheduleArrivals(i, 0)
	}
	for n := range max(1, l.Hosts) {
		sim.incarnations[hostName(n)] = 1
	}
	for at := l.Crash.At * 1000; l.Crash.Class != "" && at < (l.Crash.At+l.Crash.Seconds)*1000; at += float64(l.Crash.EveryMs) {
		i := slices.IndexFunc(l.Classes, func(c class) bool { return c.Name == l.Crash.Class })
		sim.scheduleAt(core.Millis(at), func() {
			x := sim.newRequest(i)
			x.poisoned, x.ask.Content = true, poisonedContent
			sim.submit(x)
		})
	}
	for _, d := range l.Deaths {
		for n := range d.Count {
			sim.scheduleAt(core.Millis(d.At*1000), func() { sim.stopHost(hostName(n)) })
			sim.scheduleAt(core.Millis(d.Back*1000), func() { sim.startHost(hostName(n), core.Incarnation(sim.now)) })
		}
	}
	for _, x := range l.Takeovers {
		sim.scheduleAt(core.Millis(x.At*1000), func() { sim.schedulerDown, sim.inbox = true, nil })
		sim.scheduleAt(core.Millis(x.At*1000)+x.Gap, func() { sim.takeOver(x) })
	}
	var tick func()
	tick = func() {
		if !sim.schedulerDown && !sim.tickWaits {
			sim.tickWaits = sim.load.Core.Event > 0
			sim.notify(func() {
				sim.tickWaits = false
				sim.scheduler.Tick(sim.now)
			})
		}
		if sim.now < core.Millis(l.Seconds*1000)+30000 {
			sim.scheduleAt(sim.now+20, tick)
		}
	}
	sim.scheduleAt(1, tick)
	for sim.queue.Len() > 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = max(sim.now, e.at)
		e.run()
		sim.applyActions()
	}
	return sim
}

// notify passes an event to the scheduler, at once or when its processor is free.
func (sim *simulation) notify(event func()) {
	if sim.load.Core.Event == 0 {
		event()
		return
	}
	if sim.schedulerDown {
		return
	}
	sim.inbox = append(sim.inbox, event)
	if !sim.coreBusy {
		sim.coreBusy = true
		sim.scheduleAt(sim.now, sim.runCore)
	}
}

// runCore passes the waiting events to the scheduler, and carries out its actions after the processor time that this takes.
func (sim *simulation) runCore() {
	events, scheduler := sim.inbox, sim.scheduler
	sim.inbox = nil
	before := scheduler.Totals()
	for _, event := range events {
		event()
	}
	actions := scheduler.TakeActions()
	after, cost := scheduler.Totals(), sim.load.Core
	used := float64(len(events))*cost.Event + float64(after.Dispatches-before.Dispatches)*cost.Dispatch +
		float64(after.Examined-before.Examined)*cost.Entry
	for _, a := range actions {
		if a.Grant != nil || a.Refuse != nil || a.Call != nil || a.Free != nil {
			used += cost.Action
		}
	}
	sim.coreTime += used
	sim.coreUsed += used
	passed := core.Millis(sim.coreTime / 1000)
	sim.coreTime -= float64(passed) * 1000
	sim.scheduleAt(sim.now+passed, func() {
		if sim.scheduler == scheduler && !sim.schedulerDown {
			sim.applyList(actions)
		}
		sim.coreBusy = len(sim.inbox) > 0
		if sim.coreBusy {
			sim.runCore()
		}
	})
}

// startScheduler creates a scheduler and adds the services and endpoints to it.
func (sim *simulation) startScheduler() {
	sim.scheduler = New(fleet.RetryLimits{Ratio: 0.2, Slack: 56, Window: 10 * core.Second})
	former := sim.issuer.Reports(sim.now)
	sim.issuer = limit.NewIssuer()
	sim.issuer.Merge(sim.now, former)
	sim.scheduler.SetLimits(sim.issuer)
	var services []conf.Service
	for _, s := range sim.load.Services {
		services = append(services, s.Service)
	}
	sim.scheduler.Configure(sim.now, services)
	for _, s := range sim.load.Services {
		slots := 6
		if s.Pieces != nil {
			slots = s.Pieces.Slots
		}
		if s.Engine != nil {
			slots = s.Engine.Slots
		}
		for i := range s.Endpoints {
			sim.domains[endpointName(s.Name, i)] = i % 3
			sim.scheduler.SetEndpoint(sim.now, order.Endpoint{
				ID: endpointName(s.Name, i), Incarnation: 1, Address: string(endpointName(s.Name, i)),
				FailureDomain: core.FailureDomain(fmt.Sprint("d", i%3)), Service: s.Name, Slots: slots,
			}, false)
		}
	}
}

// takeOver starts a new scheduler, which inherits the results in use. The hosts then place their waiting requests
// again.
func (sim *simulation) takeOver(x takeover) {
	sim.startScheduler()
	sim.scheduler.AssumeAllCold(sim.now)
	sim.schedulerDown, sim.tickWaits = false, false
	var list []order.HeldResults
	for _, key := range slices.SortedFunc(maps.Keys(sim.held), compareKeys) {
		list = append(list, sim.held[key]...)
	}
	clear(sim.held)
	var running []order.RunningCall
	for _, n := range slices.Sorted(maps.Keys(sim.running)) {
		running = append(running, sim.running[n])
	}
	clear(sim.running)
	sim.scheduler.Inherit(sim.now, list, running)
	sim.inheritRunning(x)
	waiting := maps.Clone(sim.waiting)
	clear(sim.waiting)
	for _, key := range slices.SortedFunc(maps.Keys(waiting), compareKeys) {
		waiting[key].ask.Former = key
		sim.submitToScheduler(waiting[key])
	}
}

// scheduleArrivals schedules the next arrival of a class after the time from, which in turn schedules the one after it. The
// intervals are exponentially distributed.
func (sim *simulation) scheduleArrivals(i int, from float64) {
	c := sim.load.Classes[i]
	rate := c.PerSecond
	for _, b := range sim.load.Bursts {
		if (b.Class == c.Name || b.Class == "") && from >= b.At*1000 && from < (b.At+b.Seconds)*1000 {
			rate *= b.Times
		}
	}
	next := from - math.Log(1-sim.rng.Float64())*1000/rate
	if next > sim.load.Seconds*1000 {
		return
	}
	sim.scheduleAt(core.Millis(next), func() {
		sim.submitNew(i)
		sim.scheduleArrivals(i, next)
	})
}

// submitNew creates a request of a class, counts it and submits it.
func (sim *simulation) submitNew(i int) {
	x := sim.newRequest(i)
	t := sim.tally[sim.load.Classes[i].Name]
	t.Asked++
	t.Owed += x.worth
	sim.submit(x)
}

// poisonedContent is the content of the request that crashes endpoints.
const poisonedContent = 1

// newRequest creates a random request of a class.
func (sim *simulation) newRequest(i int) *clientRequest {
	c := sim.load.Classes[i]
	x := &clientRequest{class: i, firstSentAt: sim.now}
	size := math.Exp(sim.rng.NormFloat64()*0.8 - 0.32)
	own := int(float64(c.Own) * size)
	a := order.PlacementRequest{
		ID: core.RequestID(fmt.Sprint(c.Name, "-", sim.eventCount)), Service: c.Service, Class: conf.Stream, Priority: c.Priority,
		FailureDomain: core.FailureDomain(fmt.Sprint("d", sim.rng.IntN(3))), Aim: c.Aim, Left: c.Left, MaxAttempts: 2, PieceKey: "k",
	}
	if c.Shared > 0 {
		thing := sim.rng.IntN(c.Things)
		a.Prompt = order.Prompt{Tokens: c.Shared + own, Output: c.Output, Parts: []order.Part{
			{ID: fmt.Sprint(c.Name, thing%4), Tokens: c.Shared / 2},
			{ID: fmt.Sprint(c.Name, "s", thing), Tokens: c.Shared / 2},
			{ID: fmt.Sprint(a.ID), Tokens: own},
		}}
	}
	for _, s := range c.Stages {
		n := 0
		if s.Share == 0 || sim.rng.Float64() < s.Share {
			n = max(1, int(math.Round(s.Mean*math.Exp(sim.rng.NormFloat64()*0.4-0.08))))
		}
		a.Stages = append(a.Stages, order.StageRequest{Service: s.Service, After: s.After, Pieces: n, Bytes: s.Bytes})
		work := s.WorkX
		if work == 0 {
			work = 1
		}
		x.work = append(x.work, work)
	}
	a.Content = poison.NewContent("o", nil, string(a.ID))
	x.ask, x.worth = a, c.Worth*(0.3+0.7*size)
	return x
}

func hostName(n uint64) core.HostID { return core.HostID(fmt.Sprint("h", n)) }

// stopHost ends a host and the requests that it has. Their clients no longer count, and nothing more is reported about
// these requests.
func (sim *simulation) stopHost(host core.HostID) {
	delete(sim.incarnations, host)
	for key, x := range sim.requests {
		if key.Host == host && !x.finished {
			x.finished = true
			t := sim.tally[sim.load.Classes[x.class].Name]
			t.Asked--
			t.Owed -= x.worth
		}
	}
}

// startHost starts a new incarnation of a host.
func (sim *simulation) startHost(host core.HostID, life core.Incarnation) {
	sim.incarnations[host] = life
	sim.scheduler.HostStarted(sim.now, host, life)
}

// hostGone reports whether the incarnation of the host at which a request arrived has ended.
func (sim *simulation) hostGone(key order.Key) bool { return sim.incarnations[key.Host] != key.Life }

// isPlain reports whether entry hosts choose the endpoints of the request's class without the scheduler.
func (sim *simulation) isPlain(x *clientRequest) bool {
	return sim.load.Services[sim.serviceIndex(sim.load.Classes[x.class].Service)].Plain()
}

// servePlain answers a request of a plain class after its simulated work.
func (sim *simulation) servePlain(x *clientRequest) {
	s := sim.load.Services[sim.serviceIndex(sim.load.Classes[x.class].Service)]
	took := core.Millis(s.WorkMs * math.Exp(sim.rng.NormFloat64()*0.5-0.125))
	sim.scheduleAt(sim.now+took+3, func() { sim.complete(x.ask.Key, x) })
}

// submit sends a request to an entry host that is up.
func (sim *simulation) submit(x *clientRequest) {
	sim.seq++
	n := sim.seq
	for sim.incarnations[hostName(n%max(1, sim.load.Hosts))] == 0 {
		n++
	}
	host := hostName(n % max(1, sim.load.Hosts))
	x.ask.Key = order.Key{Host: host, Life: sim.incarnations[host], Seq: sim.seq}
	x.arrivedAt = sim.now
	x.ask.Former = order.Key{}
	if sim.isPlain(x) {
		sim.requests[x.ask.Key] = x
		sim.servePlain(x)
		return
	}
	if sim.schedulerDown {
		sim.requests[x.ask.Key], sim.waiting[x.ask.Key] = x, x
		return
	}
	sim.submitToScheduler(x)
}

// submitToScheduler submits a request to the scheduler under a new key.
func (sim *simulation) submitToScheduler(x *clientRequest) {
	sim.seq++
	x.ask.Key.Seq = sim.seq
	c := sim.load.Classes[x.class]
	x.ask.Aim = x.firstSentAt + c.Aim - sim.now
	x.ask.Left = x.firstSentAt + c.Left - sim.now
	sim.requests[x.ask.Key], sim.waiting[x.ask.Key] = x, x
	ask := x.ask
	sim.notify(func() { sim.scheduler.AddRequest(sim.now, ask) })
}

// applyActions carries out the actions of the scheduler until there are none left.
func (sim *simulation) applyActions() {
	for !sim.schedulerDown && sim.load.Core.Event == 0 {
		list := sim.scheduler.TakeActions()
		if len(list) == 0 {
			return
		}
		sim.applyList(list)
	}
}

// applyList carries out actions of the scheduler.
func (sim *simulation) applyList(list []order.Action) {
	for _, a := range list {
		sim.recordAction(a)
		switch {
		case a.CallBegan != nil:
			sim.running[a.CallBegan.Number] = *a.CallBegan
		case a.CallEnded > 0:
			delete(sim.running, a.CallEnded)
		case a.ResultsMade != nil:
			sim.held[a.ResultsMade.Key] = append(sim.held[a.ResultsMade.Key], *a.ResultsMade)
		case a.Grant != nil:
			delete(sim.waiting, a.Grant.Key)
			sim.handleGrant(*a.Grant)
		case a.Refuse != nil:
			delete(sim.waiting, a.Refuse.Key)
			sim.handleRefusal(*a.Refuse)
		case a.Call != nil:
			sim.handleCall(*a.Call)
		case a.Free != nil:
			for _, made := range a.Free.Made {
				sim.held[made.Key] = slices.DeleteFunc(sim.held[made.Key], func(h order.HeldResults) bool {
					return h.Stage == made.Stage && h.Endpoint == a.Free.Life.Endpoint
				})
			}
			if !a.Free.Lost {
				sim.handleFree(*a.Free)
				break
			}
			for _, h := range a.Free.Handles {
				sim.removeResult(h)
			}
		}
	}
}

// handleRefusal counts a refusal, or lets the client send the request a second time if that can still be in time.
func (sim *simulation) handleRefusal(r order.Refusal) {
	if sim.hostGone(r.Key) {
		return
	}
	x := sim.requests[r.Key]
	c := sim.load.Classes[x.class]
	if x.poisoned {
		x.finished = true
		return
	}
	t := sim.tally[c.Name]
	if sim.now-x.arrivedAt > c.Aim/8 {
		t.RefusedLate++
	}
	retryAt := sim.now + r.RetryAfter + 2
	if x.retried || retryAt-x.firstSentAt > c.Left*2/3 {
		t.Refused++
		x.finished = true
		return
	}
	x.retried = true
	sim.scheduleAt(retryAt, func() { sim.submit(x) })
}

func (sim *simulation) serviceIndex(name string) (i int) {
	for i = range sim.load.Services {
		if sim.load.Services[i].Name == name {
			return i
		}
	}
	return 0
}

// handleGrant simulates an attempt at the granted endpoint.
func (sim *simulation) handleGrant(g order.Grant) {
	if sim.hostGone(g.Key) {
		return
	}
	x := sim.requests[g.Key]
	c := sim.load.Classes[x.class]
	s := sim.load.Services[sim.serviceIndex(c.Service)]
	sim.countFetch(g.Endpoint, g.Inputs)
	for _, h := range g.Inputs {
		if sim.handleExpiry[h] < sim.now {
			sim.goneInputs++
			sim.scheduleAt(sim.now+3, func() { sim.retryElsewhere(g.Key, order.GoneInput) })
			return
		}
	}
	if until := sim.pausedUntil(c.Service, g.Endpoint); until > 0 {
		sim.sentWhilePaused++
		sim.scheduleAt(sim.now+3, func() {
			sim.scheduler.PauseForHost(sim.now, g.Key.Host, core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}, until)
			sim.retryElsewhere(g.Key, order.Rejected)
		})
		return
	}
	x.granted = core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	sim.recordSent(c.Service, x.granted)
	if sim.meetsLostEngine(s.Service, g) {
		return
	}
	slowdown := sim.slowdown(c.Service, g.Endpoint) * sim.coldSlowdown(s.Service, g.Endpoint)
	if s.Engine == nil {
		took := core.Millis(s.WorkMs * math.Exp(sim.rng.NormFloat64()*0.5-0.125) * slowdown)
		sim.scheduleAt(sim.now+took+3, func() { sim.complete(g.Key, x) })
		return
	}
	sim.beginAtEngine(g, x)
	cached := sim.cachedParts[g.Endpoint]
	if cached == nil {
		cached = map[string]bool{}
		sim.cachedParts[g.Endpoint] = cached
	}
	unread := x.ask.Prompt.Tokens
	for _, part := range x.ask.Prompt.Parts {
		if !cached[part.ID] {
			break
		}
		unread -= part.Tokens
	}
	for _, part := range x.ask.Prompt.Parts {
		cached[part.ID] = true
	}
	start := max(sim.busyUntil[g.Endpoint], sim.now)
	end := sim.readEnd(s.Name, g.Endpoint, start, float64(unread)/s.TokensPerMs, slowdown)
	sim.busyUntil[g.Endpoint] = end
	sim.scheduleAt(end+25, func() { sim.complete(g.Key, x) })
}

// retryElsewhere asks for another endpoint. If a new scheduler does not have the request, it is submitted to it as a
// new one.
func (sim *simulation) retryElsewhere(key order.Key, ending order.AttemptOutcome) {
	x := sim.requests[key]
	switch {
	case sim.schedulerDown:
		x.ask.Attempts = 1
		sim.waiting[key] = x
	case sim.scheduler.HasRequest(key):
		sim.waiting[key] = x
		sim.notify(func() { sim.scheduler.AttemptEnded(sim.now, key, ending, true) })
	default:
		x.ask.Attempts, x.ask.Former = 1, key
		sim.submitToScheduler(x)
	}
}

// complete records the first byte of a request's answer and what it earned, and schedules the end of the answer.
func (sim *simulation) complete(key order.Key, x *clientRequest) {
	if sim.hostGone(key) {
		sim.endAtEngine(key)
		return
	}
	x.finished = true
	c := sim.load.Classes[x.class]
	sim.reportLoad(c.Service, x.granted)
	sim.notify(func() { sim.scheduler.FirstByteReceived(sim.now, key, 0) })
	t := sim.tally[c.Name]
	if x.poisoned {
		t = &tally{}
	}
	t.times = append(t.times, sim.now-x.firstSentAt)
	if sim.now-x.firstSentAt <= c.Aim {
		t.OnTime++
		t.Earned += x.worth
	} else if sim.now-x.firstSentAt <= c.Left {
		t.Late++
		t.Earned += x.worth * c.Late / c.Worth
	}
	sim.scheduleAt(sim.now+core.Millis(c.Output)*5, func() {
		sim.endAtEngine(key)
		if !sim.hostGone(key) {
			sim.notify(func() { sim.scheduler.AttemptEnded(sim.now, key, order.Served, false) })
		}
	})
}

// removeResult removes a result from its endpoint and frees its room.
func (sim *simulation) removeResult(h string) {
	if sim.handleExpiry[h] > 0 {
		e := sim.holderOf(h)
		sim.usedRoom[e] -= sim.handleBytes[h]
		delete(sim.handleExpiry, h)
	}
}

func (sim *simulation) holderOf(h string) string {
	for i := range h {
		if h[i] == '/' {
			return h[:i]
		}
	}
	return ""
}

// countFetch counts the bytes of results that an endpoint fetches, and those that come from another failure domain.
func (sim *simulation) countFetch(to core.EndpointID, handles []string) {
	for _, h := range handles {
		maker, _, _ := strings.Cut(h, "/")
		sim.fetched += sim.handleBytes[h]
		if sim.domains[core.EndpointID(maker)] != sim.domains[to] {
			sim.foreign += sim.handleBytes[h]
		}
	}
}

// handleFree frees results at their endpoint. The message may arrive after a call that was sent at the same time on
// another connection.
func (sim *simulation) handleFree(f order.Free) {
	sched := sim.scheduler
	service, _, _ := strings.Cut(string(f.Life.Endpoint), "-")
	sim.recordSent(service, f.Life)
	if sim.pausedUntil(service, f.Life.Endpoint) > 0 {
		sim.sentWhilePaused++
	}
	sim.scheduleAt(sim.now+2, func() {
		for _, h := range f.Handles {
			sim.removeResult(h)
		}
		sim.scheduleAt(sim.now+1, func() { sim.notify(func() { sched.ResultsFreed(sim.now, f.Number) }) })
	})
}

// handleCall sends a stage call to its endpoint, or rejects it if it needs a trial that the quarantine does not permit.
func (sim *simulation) handleCall(c order.Call) {
	sched := sim.scheduler
	if c.Alone && !sim.quarantine.BeginTrial(sim.now, c.Owners[0].Content, c.Endpoint, 0) {
		sim.scheduleAt(sim.now+5, func() { sched.CallDone(sim.now, c.Number, nil, order.Rejected) })
		return
	}
	sim.scheduleAt(sim.now+1, func() { sim.runCall(sched, c) })
}

// crashEndpoint crashes the endpoint of a call and reports the crash against all requests in that call.
func (sim *simulation) crashEndpoint(sched *Scheduler, c order.Call) {
	sim.crashes++
	sim.recoversAt[c.Endpoint] = sim.now + sim.load.Crash.BackMs
	life := core.Life{Endpoint: c.Endpoint, Incarnation: core.Incarnation(sim.crashes)}
	sim.scheduleAt(sim.now+20, func() {
		for _, x := range c.Owners {
			sim.quarantine.RecordCrash(sim.now, poison.Crash{Content: x.Content, Organisation: "o", Life: life, SuspectAfter: 2, Alone: c.Alone})
		}
		sim.publishSuspects(sched)
		sched.CallDone(sim.now, c.Number, nil, order.Broken)
	})
}

// publishSuspects passes the published entries of the quarantine to a scheduler.
func (sim *simulation) publishSuspects(sched *Scheduler) {
	suspects := map[poison.Content]Suspicion{}
	for _, e := range sim.quarantine.Entries() {
		if e.Published() {
			suspects[e.Content] = Suspicion{Standing: e.StandingAt(sim.now), RetryAfter: e.RetryAfter(sim.now)}
		}
	}
	sched.SetSuspects(sim.now, suspects)
}

// runCall simulates a call at its endpoint. The result goes to the scheduler that ordered the call, even after a
// takeover.
func (sim *simulation) runCall(sched *Scheduler, c order.Call) {
	s := sim.load.Services[sim.serviceIndex(c.Service)]
	sim.calls++
	sim.pieces += len(c.Items)
	if sim.isLost(c.Service, c.Endpoint) {
		sim.scheduleAt(sim.now+400, func() { sim.notify(func() { sched.CallDone(sim.now, c.Number, nil, order.Unreachable) }) })
		return
	}
	sim.recordSent(c.Service, core.Life{Endpoint: c.Endpoint, Incarnation: c.Life})
	if until := sim.pausedUntil(c.Service, c.Endpoint); until > 0 {
		sim.sentWhilePaused++
		sim.scheduleAt(sim.now+2, func() {
			sched.PauseEndpoint(sim.now, core.Life{Endpoint: c.Endpoint, Incarnation: c.Life}, until)
			sim.notify(func() { sched.CallDone(sim.now, c.Number, nil, order.Rejected) })
		})
		return
	}
	if c.Service == sim.load.Crash.Service && slices.ContainsFunc(c.Items, func(i order.Item) bool { return sim.requests[i.Key].poisoned }) {
		sim.crashEndpoint(sched, c)
		return
	}
	took := s.Pieces.CallTime
	results := make([]order.ItemResult, len(c.Items))
	e := string(c.Endpoint)
	for n, i := range c.Items {
		work := 1.0
		if x := sim.requests[i.Key]; x != nil {
			work = x.work[i.Stage]
		}
		took += s.Pieces.ItemTime * work
		inputGone := false
		sim.countFetch(c.Endpoint, i.Inputs)
		for _, h := range i.Inputs {
			inputGone = inputGone || sim.handleExpiry[h] < sim.now
		}
		switch {
		case inputGone:
			sim.goneInputs++
			results[n].Reason = order.ItemGone
		case sim.usedRoom[e]+i.Bytes > s.Pieces.Room:
			sim.noRoom++
			results[n].Reason = order.ItemNoRoom
		default:
			sim.handleCount++
			h := fmt.Sprintf("%s/%d", e, sim.handleCount)
			results[n].Handle = h
			sim.usedRoom[e] += i.Bytes
			sim.handleBytes[h] = i.Bytes
			sim.handleExpiry[h] = math.MaxInt64
		}
	}
	took *= sim.slowdown(c.Service, c.Endpoint)
	sim.scheduleAt(sim.now+core.Millis(took)+3, func() {
		for _, r := range results {
			if r.Handle != "" && sim.handleExpiry[r.Handle] > 0 {
				sim.handleExpiry[r.Handle] = sim.now + s.Pieces.Keep
				h := r.Handle
				sim.scheduleAt(sim.now+s.Pieces.Keep+1, func() { sim.removeResult(h) })
			}
		}
		if c.Alone {
			sim.quarantine.EndTrial(c.Owners[0].Content, c.Endpoint, true)
			sim.publishSuspects(sched)
		}
		if sched == sim.scheduler {
			sim.reportLoad(c.Service, core.Life{Endpoint: c.Endpoint, Incarnation: c.Life})
		}
		sim.notify(func() { sched.CallDone(sim.now, c.Number, results, order.Served) })
	})
}

// recordSent records work that is sent to an endpoint. The answer says whether the endpoint names a limit.
func (sim *simulation) recordSent(service string, e core.Life) {
	if len(sim.load.Limits) == 0 {
		return
	}
	stated, sentAt := limit.Unlimited(), sim.now
	for _, x := range sim.load.Limits {
		for i := range x.Count {
			from := core.Millis(x.At * 1000)
			if x.Service != service || e.Endpoint != endpointName(service, i) || sim.now < from || sim.now >= core.Millis((x.At+x.Seconds)*1000) {
				continue
			}
			stated = limit.Named(x.Rate)
			if sim.now >= from+limitContact {
				sim.sentToLimited[e.Endpoint] = append(sim.sentToLimited[e.Endpoint], sim.now)
			}
		}
	}
	issuer := sim.issuer
	sim.scheduleAt(sim.now+3, func() { issuer.Record(sim.now, e, stated, limit.Span{SentAt: sentAt, HeardAt: sim.now}) })
}

const (
	// The users' bound on what an endpoint with a limit gets, see the test of package platform.
	limitWindow  = 4 * core.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitContact = 3 * core.Second
)

// mostAtLimited returns the largest number of messages that were sent to one endpoint with a limit in a window.
func (sim *simulation) mostAtLimited() int {
	most := 0
	for _, times := range sim.sentToLimited {
		first := 0
		for i, at := range times {
			for at-times[first] > limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

func readLoads(t testing.TB) []load {
	raw, err := os.ReadFile("testdata/loads.json")
	must.NoError(t, err)
	var list []load
	must.NoError(t, strict.Decode(raw, &list))
	return list
}

// maxSentPerPause is how many requests from one host may be sent to an endpoint during its pause.
const maxSentPerPause = 2

// runsPerLoad is how many times each load is simulated, each time with other arrivals. The result of the least urgent
// class varies by a few hundredths between runs.
const runsPerLoad = 3

// TestLoads simulates each load and checks that the mean worth earned by each class reaches its required minimum. It
// also bounds the crashes, the work sent to paused endpoints, the late refusals and the bytes fetched across failure
// domains.
func TestLoads(t *testing.T) {
	for _, l := range readLoads(t) {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			earned := map[string]float64{}
			var refusedLate, foreign float64
			for n := range runsPerLoad {
				varied := l
				varied.Seed += uint64(n)
				sim := simulate(varied)
				late, asked := 0, 0
				for _, c := range l.Classes {
					x := sim.tally[c.Name]
					t.Logf("%-14s asked %4d on time %4d late %4d refused %4d refused late %4d earned %.3f",
						c.Name, x.Asked, x.OnTime, x.Late, x.Refused, x.RefusedLate, x.Earned/x.Owed)
					late += x.RefusedLate
					asked += x.Asked
					earned[c.Name] += x.Earned / x.Owed / runsPerLoad
				}
				refusedLate += float64(late) / float64(asked) / runsPerLoad
				foreign += float64(sim.foreign) / float64(max(1, sim.fetched)) / runsPerLoad
				test.LessEq(t, l.Crash.Most, sim.crashes, test.Sprint("crashes"))
				test.Eq(t, 0, sim.engines.overfull, test.Sprint("requests that exceeded the memory of an engine"))
				pauses := 0
				for _, x := range l.Pauses {
					pauses += x.Count
				}
				test.LessEq(t, pauses*maxSentPerPause*int(max(1, l.Hosts)), sim.sentWhilePaused, test.Sprint("messages sent to paused endpoints"))
				for _, x := range l.Limits {
					test.LessEq(t, int(limitFactor*x.Rate*limitWindow.Duration().Seconds())+limitSlack, sim.mostAtLimited(), test.Sprint("messages in one window to an endpoint that names a limit"))
					t.Logf("at most %d messages in %d ms to an endpoint with a limit of %v a second", sim.mostAtLimited(), limitWindow, x.Rate)
				}
				for _, s := range l.Services {
					if s.ColdPerSecond > 0 {
						most := sim.mostInSecond(s.Name)
						test.LessEq(t, int(limit.BoundFactor*s.ColdPerSecond+limit.BoundSlack), most, test.Sprint("requests in one second to an endpoint of ", s.Name))
						t.Logf("at most %d requests in a second to an endpoint of %s that bears %v when it is cold", most, s.Name, s.ColdPerSecond)
					}
				}
				t.Logf("processor time of the scheduler %.0f ms, %+v", sim.coreUsed/1000, sim.scheduler.Totals())
				t.Logf("crashes %d, sent to paused endpoints %d; calls %d, %.1f pieces each, lost inputs %d, no room %d, %.2f of the fetched bytes from other domains",
					sim.crashes, sim.sentWhilePaused, sim.calls, float64(sim.pieces)/float64(sim.calls), sim.goneInputs, sim.noRoom, float64(sim.foreign)/float64(max(1, sim.fetched)))
			}
			for _, c := range l.Classes {
				test.GreaterEq(t, l.Least[c.Name], earned[c.Name], test.Sprint(c.Name))
			}
			if l.MostForeign > 0 {
				test.LessEq(t, l.MostForeign, foreign, test.Sprint("share of bytes fetched from other domains"))
			}
			test.LessEq(t, l.MostFalse, refusedLate, test.Sprint("share of requests refused late"))
		})
	}
}
