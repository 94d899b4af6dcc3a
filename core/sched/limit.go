package sched

import (
	"sort"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
)

// limitedReleaseShare is the share of an endpoint's room below which results are released at an endpoint that names a
// limit. A release takes one of its requests, and the endpoint drops the results by itself soon after.
const limitedReleaseShare = 0.5

// permitRounding allows for rounding in the sum of many small refills of a limit.
const permitRounding = 1e-9

// Limits issues the permits for requests to endpoints that name a limit.
type Limits interface {
	// Any reports whether any endpoint names a limit.
	Any() bool
	// Budget returns how many permits for an endpoint are free and how many become free in a second. An endpoint that is
	// not limited needs none.
	Budget(now core.Millis, l core.Life) (free, perSecond float64, limited bool)
	// Take takes a permit and reports whether one was free or none is needed.
	Take(now core.Millis, l core.Life) bool
	// TakeMany takes several permits or none.
	TakeMany(now core.Millis, l core.Life, n int) bool
	// SetBound and RemoveBound set and remove a bound of the system besides the limit that an endpoint names.
	SetBound(now core.Millis, l core.Life, x limit.Bound)
	RemoveBound(now core.Millis, l core.Life)
}

// SetLimits replaces the issuer of permits. Without one, the scheduler knows of no limits.
func (s *Scheduler) SetLimits(l Limits) { s.limits = l }

// permitFree reports whether an endpoint's limit allows another request now.
func (s *Scheduler) permitFree(e *fleet.Endpoint) bool {
	if !e.Limited() {
		return true
	}
	free, _, limited := s.limits.Budget(s.now, e.Life())
	return !limited || free >= 1
}

// takePermit takes the permit for a request to an endpoint and reports whether the endpoint needs one.
func (s *Scheduler) takePermit(e *fleet.Endpoint) bool {
	if !e.Limited() {
		return false
	}
	if svc := s.services[e.Endpoint.Service]; svc != nil {
		svc.budgetsAt = 0
	}
	return s.limits.Take(s.now, e.Life())
}

// updateLimits gives the endpoints the limits that they name.
func (s *Scheduler) updateLimits() {
	s.dropBudgets()
	if !s.limits.Any() && !s.limitsInUse {
		return
	}
	s.limitsInUse = s.limits.Any()
	for _, svc := range s.services {
		for _, e := range svc.Endpoints() {
			s.updateLimit(e)
		}
	}
}

// updateLimit gives an endpoint its present limit, which it names itself or which is its bound.
func (s *Scheduler) updateLimit(e *fleet.Endpoint) {
	_, perSecond, limited := s.limits.Budget(s.now, e.Life())
	e.SetLimit(limited, perSecond)
}

// budget is how many permits of an endpoint are free, and how many become free in a millisecond.
type budget struct{ free, rate float64 }

// limitWait returns when a service whose endpoints all name a limit has a permit for a request, after the given number of
// others, at most maxLimitRetryAfter. It reports false if a usable endpoint names no limit, or if none is usable.
func (s *Scheduler) limitWait(svc *service, ahead int) (core.Millis, bool) {
	budgets := s.budgets(svc)
	if len(budgets) == 0 {
		return 0, false
	}
	wait := sort.Search(int(maxLimitRetryAfter), func(wait int) bool { return permitsAfter(budgets, core.Millis(wait)) > ahead })
	return core.Millis(wait), true
}

// permitsAfter returns how many permits are free after a time.
func permitsAfter(budgets []budget, wait core.Millis) int {
	permits := 0
	for _, b := range budgets {
		permits += int(b.free + b.rate*float64(wait) + permitRounding)
	}
	return permits
}

// budgets returns the budgets of a service's usable endpoints, or none if one of them needs no permit. They are kept for one
// millisecond, or until a permit is taken, because they are needed for each waiting request.
func (s *Scheduler) budgets(svc *service) []budget {
	if svc == nil {
		return nil
	}
	if svc.budgetsAt == s.now && s.now > 0 {
		return svc.cachedBudgets
	}
	svc.budgetsAt, svc.cachedBudgets = s.now, svc.cachedBudgets[:0]
	for _, e := range svc.Endpoints() {
		if !e.Usable(s.now) {
			continue
		}
		if !e.Limited() {
			svc.cachedBudgets = svc.cachedBudgets[:0]
			break
		}
		free, perSecond, _ := s.limits.Budget(s.now, e.Life())
		svc.cachedBudgets = append(svc.cachedBudgets, budget{free: free, rate: perSecond / float64(core.Second)})
	}
	return svc.cachedBudgets
}

// predictLimitWait returns when a request is expected to get a permit if all endpoints of its service name a limit: after
// the requests of the same or more urgent priorities that have no endpoint yet.
func (s *Scheduler) predictLimitWait(r *request) core.Millis {
	svc := s.services[r.Service]
	if len(s.budgets(svc)) == 0 {
		return 0
	}
	ahead := 0
	for _, x := range s.requests {
		if x != r && x.Service == r.Service && x.endpoint == nil && x.Priority <= r.Priority {
			ahead++
		}
	}
	wait, _ := s.limitWait(svc, ahead)
	return wait
}

// exceedsLimit reports whether a waiting request can get no permit before its deadline, after the given number of others.
func (s *Scheduler) exceedsLimit(svc *service, r *request, ahead int, remaining core.Millis) bool {
	budgets := s.budgets(svc)
	left := r.deadlineAt - s.now - remaining
	// Waits are predicted for maxLimitRetryAfter at most. A request with more time left stays.
	return len(budgets) > 0 && left < maxLimitRetryAfter && (left < 0 || permitsAfter(budgets, left) <= ahead)
}

// refuseLimited emits the refusal of a request that gets no permit in time. The refused clients are asked to return one
// permit apart, so that they do not return together.
func (s *Scheduler) refuseLimited(svc *service, r *request) {
	wait, _ := s.limitWait(svc, len(svc.waiting))
	next, _ := s.limitWait(svc, len(svc.waiting)+1)
	svc.returnsAt = max(svc.returnsAt, s.now+wait)
	after := max(minRetryAfter, min(maxLimitRetryAfter, svc.returnsAt-s.now))
	svc.returnsAt = min(s.now+maxLimitRetryAfter, svc.returnsAt+max(1, next-wait))
	s.actions = append(s.actions, order.Action{Refuse: &order.Refusal{
		Key: r.Key, ID: r.ID, Reason: core.ReasonEndpointsLimited, RetryAfter: after, Expected: wait, Left: r.deadlineAt - s.now,
	}})
}

// dropBudgets forgets the kept budgets after a change of endpoints or of what they may get.
func (s *Scheduler) dropBudgets() {
	for _, svc := range s.services {
		svc.budgetsAt = 0
	}
}
