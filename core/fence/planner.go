package fence

import (
	"cmp"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/state"
)

const (
	// OrderTimeout is the timeout of the call that sends an order, within which the endpoint must carry it out.
	OrderTimeout = 20 * core.Second
	// leaseMargin is how long before its lease runs out an issuer stops sending orders.
	leaseMargin = 50 * core.Millis(1)
	// retryAfter is the delay before an unanswered order is sent again.
	retryAfter = core.Second
)

// Issuer is the leading keeper, the only one that may send orders.
type Issuer struct {
	// The times at which the keeper became leader and at which its leader lease runs out.
	LeaderSince, LeaseUntil core.Millis
	// FormerLease is the longest time after the change of leader for which the former one may still have held a lease.
	FormerLease core.Millis
}

// WaitReason is the reason for which an order is not sent now.
type WaitReason string

// The reasons for which an order is delayed. The empty reason means that it is sent now.
const (
	SendNow WaitReason = ""
	// NoLease means that the issuer's lease has run out or is about to.
	NoLease WaitReason = "NoLease"
	// EndpointAbsent means that the endpoint is not alive.
	EndpointAbsent WaitReason = "EndpointAbsent"
	// EndpointBusy means that an earlier order to the endpoint is open or that a call to it is in progress.
	EndpointBusy WaitReason = "EndpointBusy"
	// FormerIssuer means that an order of an earlier leader may still arrive at an endpoint that does not check fencing
	// numbers.
	FormerIssuer WaitReason = "FormerIssuer"
	// WeightStoreBusy means that other loads use the weight store's bandwidth.
	WeightStoreBusy WaitReason = "WeightStoreBusy"
	// AwaitingRetry means that the last call got no answer and its retry delay has not passed.
	AwaitingRetry WaitReason = "AwaitingRetry"
)

// Decision says whether one open order is sent now, and if not, why.
type Decision struct {
	Order  state.Order
	Reason WaitReason
}

// Planner chooses the orders that one issuer sends. Its state is reset when the issuer becomes leader again.
type Planner struct {
	// leaderSince is when the issuer became leader.
	leaderSince core.Millis
	// inProgress holds the fencing number of the order in progress at each endpoint, and retryAt when an unanswered order
	// may be sent again, by its fencing number.
	inProgress map[core.EndpointID]uint64
	retryAt    map[uint64]core.Millis
	// weightStoreFreeAt is when the weight store is free for the next load.
	weightStoreFreeAt core.Millis
}

// New returns a planner without orders in progress.
func New() *Planner {
	return &Planner{inProgress: map[core.EndpointID]uint64{}, retryAt: map[uint64]core.Millis{}}
}

// Plan returns a decision on each open order, most urgent first. An order without a reason to wait must be sent now and
// counts as in progress until its result is recorded.
//
// Model loads share the weight store's rate, in bytes per second; a rate of 0 means no limit.
func (p *Planner) Plan(now core.Millis, i Issuer, open []state.Order, rate int64, endpoint func(core.EndpointID) (core.Announcement, bool)) []Decision {
	if p.leaderSince != i.LeaderSince {
		*p = *New()
		p.leaderSince = i.LeaderSince
	}
	var decisions []Decision
	for _, o := range sortByPriority(open) {
		why := p.decide(now, i, o, open, rate, endpoint)
		if why == SendNow {
			p.inProgress[o.Place.Endpoint] = o.Fence
			p.reserveWeightStore(now, o, rate)
		}
		decisions = append(decisions, Decision{Order: o, Reason: why})
	}
	return decisions
}

// sortByPriority returns the orders sorted by priority and then by fencing number.
func sortByPriority(open []state.Order) []state.Order {
	list := slices.Clone(open)
	slices.SortStableFunc(list, func(a, b state.Order) int {
		return cmp.Or(cmp.Compare(a.Place.Priority, b.Place.Priority), cmp.Compare(a.Fence, b.Fence))
	})
	return list
}

// decide returns the first reason for which an order must wait, or the empty reason.
func (p *Planner) decide(now core.Millis, i Issuer, o state.Order, open []state.Order, rate int64, endpoint func(core.EndpointID) (core.Announcement, bool)) WaitReason {
	if now > i.LeaseUntil-leaseMargin {
		return NoLease
	}
	if now < p.retryAt[o.Fence] {
		return AwaitingRetry
	}
	if _, busy := p.inProgress[o.Place.Endpoint]; busy || !isOldest(o, open) {
		return EndpointBusy
	}
	a, alive := endpoint(o.Place.Endpoint)
	if !alive {
		return EndpointAbsent
	}
	if !a.ChecksFencing && now < i.LeaderSince+i.FormerLease+OrderTimeout {
		return FormerIssuer
	}
	if o.Place.Bytes > 0 && rate > 0 && now < p.weightStoreFreeAt {
		return WeightStoreBusy
	}
	return SendNow
}

// isOldest reports whether the order is the earliest open one to its endpoint. Only that one is sent, so that orders
// arrive in sequence.
func isOldest(o state.Order, open []state.Order) bool {
	for _, other := range open {
		if other.Place.Endpoint == o.Place.Endpoint && other.Fence < o.Fence {
			return false
		}
	}
	return true
}

// reserveWeightStore reserves the weight store for as long as the load takes at the full rate.
func (p *Planner) reserveWeightStore(now core.Millis, o state.Order, rate int64) {
	if o.Place.Bytes <= 0 || rate <= 0 {
		return
	}
	p.weightStoreFreeAt = max(p.weightStoreFreeAt, now) + core.Millis(o.Place.Bytes*int64(core.Second)/rate)
}

// RecordResult records the result of sending an order. An unanswered order is retried after a delay.
func (p *Planner) RecordResult(now core.Millis, o state.Order, answered bool) {
	if p.inProgress[o.Place.Endpoint] != o.Fence {
		return
	}
	delete(p.inProgress, o.Place.Endpoint)
	if answered {
		delete(p.retryAt, o.Fence)
		return
	}
	p.retryAt[o.Fence] = now + retryAfter
}
