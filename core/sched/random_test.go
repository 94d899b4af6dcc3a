package sched

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

var (
	randomSeed  = flag.Uint64("seed", 1, "first seed of TestEveryOrderNamesItsInputs")
	randomSeeds = flag.Int("seeds", 60, "number of seeds of TestEveryOrderNamesItsInputs")
)

// randomResult is a result that a simulated endpoint has made.
type randomResult struct {
	life  core.Life
	piece order.Item
	// scheduler is the number of the scheduler that ordered it.
	scheduler int
	expiresAt core.Millis
	released  bool
}

// randomRequest is a request of a client and what its host knows of it.
type randomRequest struct {
	order.PlacementRequest
	// attempt is the grant in use, 0 if there is none. ended is set once the host has no use for the request any more.
	attempt int
	ended   bool
}

// randomPlay drives a scheduler with random outcomes: late, lost and failed calls, crashes, expired results, attempts that break off, hosts
// that are lost, and takeovers by another scheduler.
type randomPlay struct {
	*testing.T
	*Scheduler
	rng       *rand.Rand
	time      core.Millis
	queue     events
	pushed    int
	services  []conf.Service
	lives     map[core.EndpointID]core.Incarnation
	results   map[string]*randomResult
	requests  map[order.Key]*randomRequest
	held      []order.HeldResults
	schedules int
	seq       uint64
	orders    int
}

func playRandom(t *testing.T, seed uint64) *randomPlay {
	p := &randomPlay{
		T: t, rng: rand.New(rand.NewPCG(seed, 3)), time: 1, lives: map[core.EndpointID]core.Incarnation{},
		results: map[string]*randomResult{}, requests: map[order.Key]*randomRequest{},
	}
	for i, name := range []string{"first", "second", "third"} {
		pieces := &conf.Pieces{Slots: 1, Queue: 2, Batch: 3, CallTime: 200, ItemTime: 10, Room: 400, Keep: 4000}
		if i < 2 {
			pieces.LinkMbps = 10
		}
		p.services = append(p.services, conf.Service{Name: name, Pieces: pieces})
	}
	p.services = append(p.services, conf.Service{Name: "engine", Engine: &conf.Engine{Slots: 8, CacheTokens: 100_000}})
	p.replaceScheduler()
	for at := core.Millis(5); at < 20*core.Second; at += core.Millis(1 + p.rng.IntN(300)) {
		p.at(at, p.arrive)
	}
	for at := core.Millis(500); at < 20*core.Second; at += core.Millis(1 + p.rng.IntN(600)) {
		p.at(at, p.disturb)
	}
	for at := core.Millis(10); at < 30*core.Second; at += 10 {
		p.at(at, func() { p.Tick(p.time) })
	}
	for p.queue.Len() > 0 && !t.Failed() {
		e := heap.Pop(&p.queue).(event)
		p.time = e.at
		e.run()
		p.carryOut(p.TakeActions())
	}
	return p
}

func (p *randomPlay) at(t core.Millis, f func()) {
	p.pushed++
	heap.Push(&p.queue, event{max(t, p.time), p.pushed, f})
}

// after runs f after a random time up to a limit.
func (p *randomPlay) after(limit core.Millis, f func()) {
	p.at(p.time+core.Millis(1+p.rng.IntN(int(limit))), f)
}

// tell runs f after a random time up to a limit, unless the scheduler has been replaced by then.
func (p *randomPlay) tell(limit core.Millis, f func()) {
	s := p.Scheduler
	p.after(limit, func() {
		if p.Scheduler == s {
			f()
		}
	})
}

// replaceScheduler starts a new scheduler. It inherits the results in use, and hosts place their waiting requests again.
func (p *randomPlay) replaceScheduler() {
	p.schedules++
	p.Scheduler = New(fleet.RetryLimits{Ratio: 0.5, Slack: 100, Window: 10 * core.Second})
	p.Configure(p.time, p.services)
	for _, svc := range p.services {
		for n := range 4 {
			p.announce(svc.Name, n)
		}
	}
	p.Inherit(p.time, p.held, nil)
	p.held = nil
	for _, x := range p.sorted() {
		if !x.ended && x.attempt == 0 {
			p.placeAnew(x)
		}
	}
}

// placeAnew places a request under another key, as a host does whose request the scheduler does not know.
func (p *randomPlay) placeAnew(x *randomRequest) {
	delete(p.requests, x.Key)
	x.Former = x.Key
	p.seq++
	x.Key.Seq = p.seq
	p.requests[x.Key] = x
	p.AddRequest(p.time, x.PlacementRequest)
}

func (p *randomPlay) sorted() []*randomRequest {
	var list []*randomRequest
	for _, x := range p.requests {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *randomRequest) int { return compareKeys(a.Key, b.Key) })
	return list
}

func (p *randomPlay) announce(service string, n int) {
	id := endpointName(service, n)
	p.SetEndpoint(p.time, order.Endpoint{
		ID: id, Incarnation: p.lives[id], Address: string(id), FailureDomain: core.FailureDomain(fmt.Sprint(n % 2)), Service: service, Slots: 8,
	}, false)
}

// arrive adds a request with one to three pieces in each of its stages, which form a chain or a fork.
func (p *randomPlay) arrive() {
	p.seq++
	x := &randomRequest{PlacementRequest: order.PlacementRequest{
		Key: order.Key{Host: core.HostID(fmt.Sprint("h", p.rng.IntN(2))), Seq: p.seq}, ID: core.RequestID(fmt.Sprint("r", p.seq)), Service: "engine", PieceKey: "k",
		Aim: 4 * core.Second, Left: 8 * core.Second, MaxAttempts: 4, Prompt: order.Prompt{Tokens: 100, Output: 10},
	}}
	third := []int{1}
	if p.rng.IntN(3) == 0 {
		third = []int{0, 1}
	}
	for i, after := range [][]int{nil, {0}, third} {
		x.Stages = append(x.Stages, order.StageRequest{Service: p.services[i].Name, Pieces: 1 + p.rng.IntN(3), Bytes: 40, After: after})
	}
	p.requests[x.Key] = x
	p.AddRequest(p.time, x.PlacementRequest)
}

// disturb lets something happen that no call or attempt brings about.
func (p *randomPlay) disturb() {
	svc := p.services[p.rng.IntN(len(p.services))].Name
	n := p.rng.IntN(4)
	id := endpointName(svc, n)
	switch p.rng.IntN(10) {
	case 0:
		p.replaceScheduler()
	case 1:
		p.HostLost(p.time, "h0")
	case 2, 3, 4:
		p.lives[id]++
		p.announce(svc, n)
	case 5:
		p.RemoveEndpoint(p.time, id)
		p.after(2*core.Second, func() { p.announce(svc, n) })
	case 6:
		for _, x := range p.sorted() {
			if !x.ended && p.rng.IntN(8) == 0 {
				x.ended = true
				p.CancelRequest(p.time, x.Key)
			}
		}
	default:
		p.RemoveEndpoint(p.time, id)
		p.lives[id]++
		p.announce(svc, n)
	}
}

// checkInputs checks that an order names the results of all pieces of the given stages, of this request, each once and in order, that no
// order to free one of them was sent before, and that this scheduler made them in one preparation.
func (p *randomPlay) checkInputs(what string, x *randomRequest, stages []int, inputs []string) {
	p.orders++
	var want, got []string
	preparations := map[uint64]bool{}
	for _, stage := range stages {
		for piece := range x.Stages[stage].Pieces {
			want = append(want, fmt.Sprintf("%s/%d/%d", x.ID, stage, piece))
		}
	}
	for _, handle := range inputs {
		r, ok := p.results[handle]
		if !ok {
			got = append(got, fmt.Sprintf("unknown %q", handle))
			continue
		}
		got = append(got, fmt.Sprintf("%s/%d/%d", r.piece.ID, r.piece.Stage, r.piece.Piece))
		must.False(p, r.released, must.Sprintf("%d ms: %s names %s, which was freed", p.time, what, handle))
		if r.scheduler == p.schedules {
			preparations[r.piece.Preparation] = true
		}
	}
	must.Eq(p, want, got, must.Sprintf("%d ms: inputs of %s", p.time, what))
	must.LessEq(p, 1, len(preparations), must.Sprintf("%d ms: %s has inputs of several preparations", p.time, what))
}

func (p *randomPlay) carryOut(actions []order.Action) {
	for _, a := range actions {
		switch {
		case a.Withheld != nil:
			p.Fatalf("%d ms: an order is withheld: %+v", p.time, *a.Withheld)
		case a.Grant != nil:
			p.grant(*a.Grant)
		case a.Refuse != nil:
			if x := p.requests[a.Refuse.Key]; x != nil && !x.ended {
				must.Eq(p, 0, x.attempt, must.Sprintf("%d ms: %s is refused while it runs", p.time, x.ID))
				x.ended = true
			}
		case a.Call != nil:
			p.call(*a.Call)
		case a.Free != nil:
			p.free(*a.Free)
		case a.ResultsMade != nil:
			p.held = append(p.held, *a.ResultsMade)
		}
	}
}

func (p *randomPlay) free(f order.Free) {
	for _, made := range f.Made {
		p.held = slices.DeleteFunc(p.held, func(h order.HeldResults) bool {
			return h.Key == made.Key && h.Stage == made.Stage && h.Endpoint == f.Life.Endpoint
		})
	}
	for _, handle := range f.Handles {
		if r, ok := p.results[handle]; ok && !f.Lost {
			r.released = true
		}
	}
	p.tell(50, func() { p.ResultsFreed(p.time, f.Number) })
}

// exists reports whether an endpoint can fetch a result.
func (p *randomPlay) exists(handle string) bool {
	r, ok := p.results[handle]
	return ok && !r.released && p.time < r.expiresAt && p.lives[r.life.Endpoint] == r.life.Incarnation
}

// call runs a stage call. Some are late, some fail as a whole, and some fail for single pieces.
func (p *randomPlay) call(c order.Call) {
	for _, i := range c.Items {
		x := p.requests[i.Key]
		must.NotNil(p, x)
		if after := x.Stages[i.Stage].After; len(after) > 0 {
			p.checkInputs(fmt.Sprintf("call %d, piece %s/%d/%d", c.Number, i.ID, i.Stage, i.Piece), x, after, i.Inputs)
		}
	}
	limit, schedules := c.Expected, p.schedules
	if p.rng.IntN(5) == 0 {
		limit = 4 * core.Second
	}
	p.tell(limit, func() {
		life := core.Life{Endpoint: c.Endpoint, Incarnation: c.Life}
		if p.rng.IntN(8) == 0 || p.lives[c.Endpoint] != c.Life {
			outcomes := []order.AttemptOutcome{order.Broken, order.Rejected, order.Unreachable, order.Garbled, order.OtherEndpoint}
			p.CallDone(p.time, c.Number, nil, outcomes[p.rng.IntN(len(outcomes))])
			return
		}
		results := make([]order.ItemResult, len(c.Items))
		for n, i := range c.Items {
			switch draw := p.rng.IntN(20); {
			case slices.ContainsFunc(i.Inputs, func(handle string) bool { return !p.exists(handle) }):
				results[n].Reason = order.ItemGone
			case draw == 0:
				results[n].Reason = order.ItemNoRoom
			case draw == 1:
				results[n].Reason = order.ItemFailed
			default:
				handle := fmt.Sprintf("%s/%d", c.Endpoint, len(p.results))
				p.results[handle] = &randomResult{life: life, piece: i, scheduler: schedules, expiresAt: p.time + 4*core.Second}
				results[n].Handle = handle
			}
		}
		p.CallDone(p.time, c.Number, results, order.Served)
	})
}

// grant runs an attempt: it finds its inputs gone, is not sent, breaks off before or after its first byte, or is served.
func (p *randomPlay) grant(g order.Grant) {
	x := p.requests[g.Key]
	must.NotNil(p, x)
	must.Eq(p, 0, x.attempt, must.Sprintf("%d ms: %s is granted while it runs", p.time, x.ID))
	x.attempt = g.Attempt
	p.checkInputs(fmt.Sprintf("grant of %s", x.ID), x, []int{2}, g.Inputs)
	end := func(how order.AttemptOutcome, again bool) {
		if x.ended {
			return
		}
		x.attempt, x.ended = 0, !again
		if again && !p.HasRequest(g.Key) {
			x.Attempts = g.Attempt
			p.placeAnew(x)
			return
		}
		p.AttemptEnded(p.time, g.Key, how, again)
		if p.rng.IntN(8) == 0 {
			p.AttemptEnded(p.time, g.Key, how, again)
		}
	}
	if slices.ContainsFunc(g.Inputs, func(handle string) bool { return !p.exists(handle) }) {
		p.after(20, func() { end(order.GoneInput, true) })
		return
	}
	switch p.rng.IntN(6) {
	case 0:
		p.after(20, func() { end(order.NotSent, true) })
	case 1:
		p.after(1500, func() { end(order.Broken, true) })
	default:
		p.after(1000, func() {
			p.FirstByteReceived(p.time, g.Key, g.Attempt)
			broken := p.rng.IntN(2) == 0
			p.after(1500, func() {
				if broken {
					end(order.Broken, true)
					return
				}
				end(order.Served, false)
			})
		})
	}
}

// TestEveryOrderNamesItsInputs guards against pieces and requests that are sent with empty, doubled, foreign or freed inputs, with some of
// them or with those of several preparations, and against requests that are granted or refused while they run.
func TestEveryOrderNamesItsInputs(t *testing.T) {
	for n := range *randomSeeds {
		seed := *randomSeed + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			must.Greater(t, 100, playRandom(t, seed).orders)
		})
	}
}
