package pool

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/core/claim"
	"cyclamenford/core/fair"
	"cyclamenford/core/route"
)

const (
	// maxQueued is the largest number of tickets of one priority that may wait on one host.
	maxQueued = 1024
	// maxSkips is how many tickets one dispatch may skip because no free endpoint is eligible for them.
	maxSkips = 8
	// divideInterval is the interval at which the host's part of the pool's slots is recomputed.
	divideInterval = 100 * core.Millis(1)
	minRetryAfter  = 200 * core.Millis(1)
	maxRetryAfter  = 30 * core.Second
	// overcommit is the ratio of running requests to slots. Engines queue a few requests, so that no slot is idle
	// between two.
	overcommit = 1.12
	// noEndpointRetryAfter is the retry delay sent to callers when the pool has no endpoints.
	noEndpointRetryAfter = core.Second
)

// headroom is the fraction of this host's slots that each priority must leave free for more urgent requests.
var headroom = [core.PriorityCount]float64{0, 0.02, 0.06}

type runningTicket struct {
	ticket   Ticket
	endpoint core.EndpointID
	started  core.Millis
}

type waitingTicket struct {
	ticket  Ticket
	arrived core.Millis
}

// Pool queues and dispatches one host's tickets for one pool of equivalent endpoints.
type Pool struct {
	router       *route.Router
	queue        *fair.Queue
	waiting      map[uint64]waitingTicket
	running      map[uint64]runningTicket
	shares       [core.PriorityCount]float64
	meter        *claim.Meter
	remoteOffers []claim.Offer
	hostCount    int
	// hostShare is the fraction of the pool's slots that this host may use, computed at dividedAt.
	hostShare float64
	dividedAt core.Millis
}

// New returns a pool without endpoints for a host in the given failure domain.
func New(domain core.FailureDomain, shares [core.PriorityCount]float64, rng *rand.Rand) *Pool {
	return &Pool{
		router: route.New(domain, rng), queue: fair.New(shares, maxQueued), shares: shares,
		meter: claim.NewMeter(), hostShare: 1,
		waiting: map[uint64]waitingTicket{}, running: map[uint64]runningTicket{},
	}
}

// SetShares replaces the guaranteed shares of the priorities.
func (p *Pool) SetShares(shares [core.PriorityCount]float64) {
	p.shares = shares
	p.queue.SetShares(shares)
}

// Announce adds an endpoint or updates it, and dispatches what can run now.
func (p *Pool) Announce(now core.Millis, a core.Announcement, h route.Restriction) []Action {
	p.router.Announce(now, a, h)
	return p.dispatch(now, nil)
}

// RemoveEndpoint removes an endpoint. Its running tickets stay until Finish or Cancel ends them.
func (p *Pool) RemoveEndpoint(id core.EndpointID) {
	p.router.Remove(id)
}

// SetRestriction sets an endpoint's drain and pause, which stops or resumes new requests to it. It doesn't dispatch: the
// effect on waiting tickets is among the actions of the next call that returns some.
func (p *Pool) SetRestriction(now core.Millis, id core.EndpointID, h route.Restriction) {
	p.router.SetRestriction(now, id, h)
}

// PermitAnswered records that the ask for a permit of a dispatched ticket was answered, and dispatches what can run now.
func (p *Pool) PermitAnswered(now core.Millis, id core.EndpointID) []Action {
	p.router.PermitAnswered(now, id)
	return p.dispatch(now, nil)
}

// PauseLeft returns the time until the first pause of an endpoint ends, or 0 if some endpoint isn't paused. It ignores
// drained endpoints and returns 0 if there are no others.
func (p *Pool) PauseLeft(now core.Millis) core.Millis {
	return p.router.PauseLeft(now)
}

// SetRemoteOffers sets the summed offers of the other hosts and the number of hosts, this one included.
func (p *Pool) SetRemoteOffers(offers []claim.Offer, hosts int) {
	p.remoteOffers, p.hostCount = offers, hosts
}

// CountOffer counts a request of the given cost in milliseconds towards this host's offers, whether or not it is
// admitted.
func (p *Pool) CountOffer(now core.Millis, priority core.Priority, org core.OrganisationID, weight, cost float64) {
	p.meter.Add(now, priority, org, weight, cost)
}

// Offers returns this host's present offers.
func (p *Pool) Offers(now core.Millis) []claim.Offer {
	return p.meter.Offers(now)
}

// Depth returns the numbers of waiting and running tickets.
func (p *Pool) Depth() (waiting, active int) {
	return len(p.waiting), len(p.running)
}

// Endpoints returns the number of endpoints, drained and paused ones included.
func (p *Pool) Endpoints() int {
	return p.router.Len()
}

// Submit queues, dispatches or refuses a ticket. The returned actions may concern other tickets as well.
func (p *Pool) Submit(now core.Millis, t Ticket) []Action {
	if p.router.Len() == 0 {
		return []Action{p.refusal(t, core.ReasonNoEndpoint, noEndpointRetryAfter)}
	}
	pause := p.PauseLeft(now)
	if t.NoWait && (pause > 0 || p.queue.Len() > 0 || len(p.running) >= p.maxRunning()) {
		return []Action{p.refusal(t, core.ReasonQueueFull, max(pause, minRetryAfter))}
	}
	if now+pause > t.StartBy {
		return []Action{p.refusal(t, core.ReasonEndpointsPause, p.retryAfter(t, pause))}
	}
	if now+pause+p.ExpectedWait(t.Priority, t.Organisation) > t.StartBy {
		return []Action{p.refusal(t, core.ReasonDeadlineInfeasible, p.retryAfter(t, pause))}
	}
	var actions []Action
	p.waiting[t.ID] = waitingTicket{ticket: t, arrived: now}
	for _, dropped := range p.queue.Push(now, t.queueItem()) {
		actions = append(actions, p.refuseWaiting(dropped.ID, core.ReasonQueueFull, pause))
	}
	return p.dispatch(now, actions)
}

// Finish ends a dispatched ticket and returns the actions on tickets that can start or must be refused now.
func (p *Pool) Finish(now core.Millis, id uint64, v Result) []Action {
	r, ok := p.running[id]
	if !ok {
		return nil
	}
	delete(p.running, id)
	request := r.ticket.routeRequest()
	switch v {
	case Inconclusive:
		p.router.Release(now, r.endpoint, request)
	case Unreachable:
		p.router.FinishUnreachable(now, r.endpoint, request)
	default:
		took := float64(now - r.started)
		p.router.Finish(now, r.endpoint, request, v == Succeeded, r.ticket.Cost, took)
	}
	return p.dispatch(now, nil)
}

// Cancel cancels a waiting or running ticket. It returns actions as Finish does, none for a waiting ticket.
func (p *Pool) Cancel(now core.Millis, id uint64) []Action {
	if p.queue.Remove(id) {
		delete(p.waiting, id)
		return nil
	}
	return p.Finish(now, id, Inconclusive)
}

// Tick refuses the tickets that can no longer meet their deadlines and dispatches those that can run now.
func (p *Pool) Tick(now core.Millis) []Action {
	if now-p.dividedAt >= divideInterval {
		p.updateHostShare(now)
	}
	p.router.Tick(now)
	return p.dispatch(now, nil)
}

// dispatch refuses the waiting tickets that have expired, starts those that can run now and appends the actions.
// Tickets without an eligible endpoint return to the queue.
func (p *Pool) dispatch(now core.Millis, actions []Action) []Action {
	pause := p.PauseLeft(now)
	for _, expired := range p.queue.Expire(now + pause) {
		reason := core.ReasonDeadlineInfeasible
		if expired.StartBy >= now {
			reason = core.ReasonEndpointsPause
		}
		actions = append(actions, p.refuseWaiting(expired.ID, reason, pause))
	}
	var skipped []uint64
	for len(skipped) < maxSkips && len(p.running) < p.maxRunning() && p.router.Available() {
		item, orderRule, ok := p.queue.Pop(now, p.hasSpareSlot)
		if !ok {
			break
		}
		a, ok := p.dispatchTicket(now, item.ID, orderRule)
		if !ok {
			skipped = append(skipped, item.ID)
			continue
		}
		actions = append(actions, a)
	}
	for _, id := range skipped {
		p.queue.Push(now, p.waiting[id].ticket.queueItem())
	}
	return actions
}

// dispatchTicket sends a waiting ticket to an endpoint. It returns false if no endpoint is eligible.
func (p *Pool) dispatchTicket(now core.Millis, id uint64, orderRule fair.Rule) (Action, bool) {
	w := p.waiting[id]
	endpoint, routeRule, ok := p.router.Pick(now, w.ticket.routeRequest())
	if !ok {
		return Action{}, false
	}
	delete(p.waiting, id)
	p.running[id] = runningTicket{ticket: w.ticket, endpoint: endpoint, started: now}
	return Action{Ticket: id, Endpoint: endpoint, OrderRule: orderRule, RouteRule: routeRule, Waited: now - w.arrived}, true
}

// hasSpareSlot reports whether a ticket of the priority may start without using the slots reserved for more urgent
// ones.
func (p *Pool) hasSpareSlot(priority core.Priority) bool {
	slots := p.maxRunning()
	reserved := int(headroom[priority] * float64(slots))
	return len(p.running) < slots-reserved
}

// updateHostShare recomputes this host's part of the pool's slots from its own and the other hosts' offers.
func (p *Pool) updateHostShare(now core.Millis) {
	p.dividedAt = now
	p.hostShare = claim.HostShare(float64(p.router.Slots()), p.shares, p.meter.Offers(now), p.remoteOffers, p.hostCount)
	p.router.SetHostShare(overcommit * p.hostShare)
}

// maxRunning returns how many tickets of this host may run at once.
func (p *Pool) maxRunning() int {
	return max(1, int(math.Ceil(overcommit*p.hostShare*float64(p.router.Slots()))))
}

// ExpectedWait estimates how long a new ticket of the priority and organisation would wait in the queue.
func (p *Pool) ExpectedWait(priority core.Priority, org core.OrganisationID) core.Millis {
	if p.queue.Len() == 0 {
		return 0
	}
	return core.Millis(p.queue.CostAhead(priority, org) / float64(p.maxRunning()))
}

// refuseWaiting removes a waiting ticket and returns its refusal.
func (p *Pool) refuseWaiting(id uint64, reason core.Reason, pause core.Millis) Action {
	t := p.waiting[id].ticket
	delete(p.waiting, id)
	return p.refusal(t, reason, p.retryAfter(t, pause))
}

func (p *Pool) refusal(t Ticket, reason core.Reason, after core.Millis) Action {
	return Action{Ticket: t.ID, Reason: reason, RetryAfter: after}
}

// retryAfter returns the retry delay to send to a caller: the time left of a pause of all endpoints, plus the expected
// wait. Up to half as much is added by a hash of the organisation, so that callers don't all return at the same time.
func (p *Pool) retryAfter(t Ticket, pause core.Millis) core.Millis {
	base := pause + min(max(p.ExpectedWait(t.Priority, t.Organisation), minRetryAfter), maxRetryAfter)
	spread := xxhash.Sum64String(string(t.Organisation)) % uint64(base)
	return base + core.Millis(spread/2)
}
