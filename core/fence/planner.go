package fence

import (
	"cmp"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/state"
)

const (
	// LongestOrder bounds the time in which an endpoint carries an order out; the call is cut off then.
	LongestOrder = 20 * core.Second
	// leaseMargin is how long before the end of its lease an issuer stops sending.
	leaseMargin = 50 * core.Millis(1)
	// retryAfter is the wait before an order without an answer is sent again.
	retryAfter = core.Second
)

// Issuer is the keeper that may send orders.
type Issuer struct {
	// Began is when it became leader, and Until when its lease ends.
	Began, Until core.Millis
	// FormerLease is the longest lease that an earlier leader may still have held at Began.
	FormerLease core.Millis
}

// Why says why an order is not sent now.
type Why string

// The reasons for which an order waits.
const (
	Sent            Why = ""
	NoLease         Why = "NoLease"
	EndpointAbsent  Why = "EndpointAbsent"
	EndpointBusy    Why = "EndpointBusy"
	FormerIssuer    Why = "FormerIssuer"
	WeightStoreBusy Why = "WeightStoreBusy"
	AwaitingRetry   Why = "AwaitingRetry"
)

// Decision is what is done about one open order.
type Decision struct {
	Order state.Order
	Why   Why
}

// Planner decides for one issuer; it forgets everything when another term begins.
type Planner struct {
	term     core.Millis
	sending  map[core.EndpointID]uint64
	retryAt  map[uint64]core.Millis
	weightAt core.Millis
}

// New returns a planner that has sent nothing.
func New() *Planner {
	return &Planner{sending: map[core.EndpointID]uint64{}, retryAt: map[uint64]core.Millis{}}
}

// Plan decides about the open orders: those to be sent now have an empty Why and count as under way.
//
// Loads share the weight store's rate in bytes a second, the most urgent first; a rate of 0 means no limit.
func (p *Planner) Plan(now core.Millis, i Issuer, open []state.Order, rate int64, endpoint func(core.EndpointID) (core.Announcement, bool)) []Decision {
	if p.term != i.Began {
		*p = *New()
		p.term = i.Began
	}
	var decisions []Decision
	for _, o := range byUrgency(open) {
		why := p.decide(now, i, o, open, rate, endpoint)
		if why == Sent {
			p.sending[o.Place.Endpoint] = o.Fence
			p.bookWeights(now, o, rate)
		}
		decisions = append(decisions, Decision{Order: o, Why: why})
	}
	return decisions
}

func byUrgency(open []state.Order) []state.Order {
	list := slices.Clone(open)
	slices.SortStableFunc(list, func(a, b state.Order) int {
		return cmp.Or(cmp.Compare(a.Place.Priority, b.Place.Priority), cmp.Compare(a.Fence, b.Fence))
	})
	return list
}

func (p *Planner) decide(now core.Millis, i Issuer, o state.Order, open []state.Order, rate int64, endpoint func(core.EndpointID) (core.Announcement, bool)) Why {
	if now > i.Until-leaseMargin {
		return NoLease
	}
	if now < p.retryAt[o.Fence] {
		return AwaitingRetry
	}
	if _, busy := p.sending[o.Place.Endpoint]; busy || !isOldest(o, open) {
		return EndpointBusy
	}
	a, alive := endpoint(o.Place.Endpoint)
	if !alive {
		return EndpointAbsent
	}
	if !a.ChecksFencing && now < i.Began+i.FormerLease+LongestOrder {
		return FormerIssuer
	}
	if o.Place.Bytes > 0 && rate > 0 && now < p.weightAt {
		return WeightStoreBusy
	}
	return Sent
}

// isOldest reports whether no earlier order to the same endpoint is open, so that orders arrive in their order.
func isOldest(o state.Order, open []state.Order) bool {
	for _, other := range open {
		if other.Place.Endpoint == o.Place.Endpoint && other.Fence < o.Fence {
			return false
		}
	}
	return true
}

// bookWeights reserves the weight store for the time that the load takes at the full rate.
func (p *Planner) bookWeights(now core.Millis, o state.Order, rate int64) {
	if o.Place.Bytes <= 0 || rate <= 0 {
		return
	}
	p.weightAt = max(p.weightAt, now) + core.Millis(o.Place.Bytes*int64(core.Second)/rate)
}

// Ended notes that a sent order has an answer, or has failed to get one and waits for another try.
func (p *Planner) Ended(now core.Millis, o state.Order, answered bool) {
	if p.sending[o.Place.Endpoint] != o.Fence {
		return
	}
	delete(p.sending, o.Place.Endpoint)
	if answered {
		delete(p.retryAt, o.Fence)
		return
	}
	p.retryAt[o.Fence] = now + retryAfter
}
