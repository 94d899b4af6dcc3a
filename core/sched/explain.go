package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

// The obstacles that an endpoint has for one request, besides its own.
const (
	// PausedForHost means that the endpoint has asked the request's host for a pause.
	PausedForHost fleet.Obstacle = "PausedForHost"
	// Tried means that the request was already sent to the endpoint.
	Tried fleet.Obstacle = "Tried"
	// MemoryUnknown means that requests which an earlier scheduler granted, and which are not all known yet, may take up the
	// memory of the engine.
	MemoryUnknown fleet.Obstacle = "MemoryUnknown"
	// NoPermit means that no permit is free for the endpoint, which names a limit or has a bound.
	NoPermit fleet.Obstacle = "NoPermit"
	// OtherVersion means that the request is bound to another software version.
	OtherVersion fleet.Obstacle = "OtherVersion"
)

// Fate is what would happen to a request now.
type Fate string

// The fates of a request.
const (
	// Granted means that the request would get an endpoint.
	Granted Fate = "Granted"
	// Waits means that the request would wait for an endpoint.
	Waits Fate = "Waits"
	// Refused means that the request would be refused.
	Refused Fate = "Refused"
)

// Explanation tells what would happen to a request now, and why.
type Explanation struct {
	Fate Fate
	// Reason is the reason of a refusal.
	Reason core.Reason
	// Predicted is the predicted time to the first byte on which admission is based.
	Predicted core.Millis
	// Wait is when a permit is expected if all usable endpoints need one.
	Wait core.Millis
	// Ahead is the number of requests of the service that wait for an endpoint and are considered before.
	Ahead int
	// Endpoints are the endpoints of the service, the chosen one first and the others sorted by ID.
	Endpoints []EndpointExplanation
	// Former counts what is known of the requests that an earlier scheduler granted.
	Former FormerStatus
	// Copied means that these were copied from the earlier scheduler, and CopyAge is the age of the copy at the takeover.
	Copied  bool
	CopyAge core.Millis
}

// EndpointExplanation tells whether and when a request would start at an endpoint.
type EndpointExplanation struct {
	core.Life
	FailureDomain core.FailureDomain
	Version       string
	// Chosen is set for the endpoint that the request would get, and Home if that is the home engine of the prompt's shared
	// parts.
	Chosen, Home bool
	// Obstacle is why the endpoint cannot get the request now, and Left the milliseconds for which a backoff or pause lasts.
	Obstacle fleet.Obstacle
	Left     core.Millis
	// Expected is the expected time to the first byte, penalties included, and Later how much that is above the one of the
	// chosen endpoint. Later is negative if the home of the prompt's shared parts is preferred to this endpoint.
	Expected, Later core.Millis
	// Cached is the number of prompt tokens that the endpoint is assumed to have cached, and Running the number of its
	// requests.
	Cached, Running int
	// Cold means that the endpoint is known or assumed to be cold. Window is the size of its window in requests, 0 if it has
	// none.
	Cold   bool
	Window float64
	// Announced is the age of the last announcement, and Reported that of the last load report, -1 if there was none.
	Announced, Reported core.Millis
}

// Explain tells what would happen to a new request at the given time, by the same predicates as the decision. It changes
// nothing. Stages are ignored: the inputs of the request count as prepared. Events that the queues have not been looked at for
// are taken into account, requests that wait are not placed first.
func (s *Scheduler) Explain(now core.Millis, a order.PlacementRequest) Explanation {
	defer s.keepState()()
	s.now = now
	s.dropBudgets()
	a.Stages = nil
	r := &request{PlacementRequest: a, arrivedAt: now, aimAt: now + a.Aim, deadlineAt: now + a.Left, attempts: a.Attempts}
	x := Explanation{Fate: Refused, Former: s.FormerStatus(now), Copied: s.former.copied, CopyAge: s.former.copyAge}
	x.Reason, x.Predicted = s.arrivalRefusal(r)
	svc, ok := s.services[r.Service]
	if !ok || x.Reason == "" && r.attempts >= r.MaxAttempts {
		x.Reason = core.ReasonNoEndpoint
	}
	if !ok {
		return x
	}
	// A request that is refused for its version or an evacuation is not prepared for its placement.
	r.chain = fleet.NewPrefixChain(r.Prompt.Parts)
	x.Wait, _ = s.limitWait(svc, len(svc.waiting))
	x.Ahead = s.waitingAhead(svc, r)
	var chosen *fleet.Endpoint
	var cost float64
	if x.Reason == "" {
		chosen, cost = s.chooseEndpoint(svc, r)
		if chosen == nil {
			x.Reason = s.waitingRefusal(svc, r, x.Ahead, core.Millis(svc.FirstByteTime()))
		}
	}
	switch {
	case chosen != nil:
		x.Fate = Granted
	case x.Reason == "":
		x.Fate = Waits
	}
	for _, e := range svc.Endpoints() {
		y := s.explainEndpoint(e, r)
		if chosen != nil && y.Obstacle == "" {
			y.Later = y.Expected - core.Millis(cost)
		}
		if e != chosen {
			x.Endpoints = append(x.Endpoints, y)
			continue
		}
		y.Chosen, y.Home = true, e == svc.PreferredEngine(s.now, r.chain)
		x.Endpoints = slices.Insert(x.Endpoints, 0, y)
	}
	return x
}

// explainEndpoint tells whether and when a request would start at an endpoint.
func (s *Scheduler) explainEndpoint(e *fleet.Endpoint, r *request) EndpointExplanation {
	cached := e.CachedTokens(r.chain)
	x := EndpointExplanation{
		Life: e.Life(), FailureDomain: e.FailureDomain, Version: e.Version, Cached: cached, Running: e.Running(),
		Cold: e.IsCold(s.now), Announced: e.AnnouncementAge(s.now), Reported: -1,
	}
	x.Obstacle, x.Left = s.obstacle(e, r)
	if x.Obstacle == "" {
		x.Expected = core.Millis(s.startCost(e, r, cached))
	}
	if size, active := e.Window(); active {
		x.Window = size
	}
	if e.ReportsSpeed() {
		x.Reported = e.ReportAge(s.now)
	}
	return x
}

// obstacle returns why canTake refuses an endpoint, and for how many milliseconds a backoff or pause lasts. It returns no
// obstacle if canTake accepts it. The decision itself asks for no names, since it asks for each waiting request and endpoint.
func (s *Scheduler) obstacle(e *fleet.Endpoint, r *request) (fleet.Obstacle, core.Millis) {
	if s.canTake(e, r) {
		return "", 0
	}
	if o, left := e.Unusable(s.now); o != "" {
		return o, left
	}
	if until := s.pausedUntil(e, r); until > 0 {
		return PausedForHost, until - s.now
	}
	if slices.Contains(r.tried, e.ID) {
		return Tried, 0
	}
	if o := e.Misfit(r.Prompt); o != "" {
		return o, 0
	}
	switch {
	case !s.fitsKnown(e, r.Prompt):
		return MemoryUnknown, 0
	case !s.permitFree(e):
		return NoPermit, 0
	}
	return OtherVersion, 0
}

// waitingAhead returns how many waiting requests of a service are considered before a request that arrives now.
func (s *Scheduler) waitingAhead(svc *service, r *request) int {
	remaining := core.Millis(svc.FirstByteTime())
	key := s.schedulingKey(r, remaining)
	ahead := 0
	for _, x := range svc.waiting {
		if s.schedulingKey(x, remaining) <= key {
			ahead++
		}
	}
	return ahead
}

// keepState returns a function that restores the clock and what is kept between the steps of a decision.
func (s *Scheduler) keepState() (restore func()) {
	now := s.now
	kept := make(map[*service]service, len(s.services))
	for _, svc := range s.services {
		kept[svc] = *svc
		// Not overwritten by the budgets of the explanation.
		svc.cachedBudgets = nil
	}
	return func() {
		s.now = now
		for svc, x := range kept {
			svc.ahead, svc.cachedBudgets, svc.budgetsAt = x.ahead, x.cachedBudgets, x.budgetsAt
		}
	}
}
