package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
)

// onTimeShare is the share of the expected remaining time that must fit before the aim for a request to count as on
// time, since calls may be faster than expected.
const onTimeShare = 0.8

// HostReportGrace is how long after its deadline a running request is dropped if its host has not reported the end of
// the attempt.
const HostReportGrace = 2 * core.Second

// maxFreeUnreachable is how many unreachable endpoints a request may meet before they count as attempts.
const maxFreeUnreachable = 3

// Scheduler schedules all requests of a deployment. It reads no clock: its caller passes the time with every event.
type Scheduler struct {
	retries  fleet.RetryLimits
	now      core.Millis
	fleet    *fleet.Fleet
	services map[string]*service
	requests map[order.Key]*request
	// byDue holds those of them that have no endpoint and are not late, ordered by when their first stage must begin.
	byDue []*request
	// incarnations holds the last known incarnation of each entry host.
	incarnations map[core.HostID]core.Incarnation
	calls        map[uint64]*call
	lastCall     uint64
	// lastPreparation is the number of the latest preparation of a request's stages.
	lastPreparation uint64
	// pendingFrees holds the freed results whose endpoints have not acknowledged the release yet, by the number of the
	// release.
	pendingFrees map[uint64]pendingFree
	// waitingFrees holds the releases that have not been sent yet, one for each endpoint.
	waitingFrees []waitingFree
	lastFree     uint64
	// inherited holds the results that an earlier scheduler had made, and claimUntil is when the unclaimed ones are
	// freed.
	inherited      map[order.Key][]order.HeldResults
	claimUntil     core.Millis
	inheritedCalls []inheritedCall
	// unknownUntil is the time up to which endpoints may hold results of an earlier scheduler's calls that were not
	// reported to this one.
	unknownUntil core.Millis
	// suspects holds the pieces that may have crashed endpoints, and trials the numbers of the calls in which one of
	// them runs alone.
	suspects map[poison.Content]Suspicion
	trials   map[poison.Content]uint64
	// pauses holds the ends of the pauses that endpoints have asked hosts for.
	pauses map[pauseKey]core.Millis
	// former holds the requests that an earlier scheduler granted.
	former formerRequests
	limits Limits
	// limitsInUse is set while an endpoint may have a limit set by updateLimits.
	limitsInUse bool
	// evacuated holds the evacuated failure domains, and evacuationSpread the number of refusals for this reason so far, from which
	// their retry delays follow.
	evacuated        map[core.FailureDomain]bool
	evacuationSpread uint64
	// heardBy is when every endpoint has announced itself. Before that, a service may have endpoints that are not known.
	heardBy core.Millis
	// passDue is set by events after which the queues must be looked at.
	passDue   bool
	coldWatch coldWatch
	totals    Totals
	actions   []order.Action
}

// service holds the queues of one service.
type service struct {
	*fleet.Service
	// groups wait for a stage call, and waiting holds the requests that wait for an endpoint.
	groups   []*group
	waiting  []*request
	arrivals arrivalRate
	// missing counts the pieces that all requests still need. ahead counts those ahead of the request that was last
	// passed to countAhead.
	missing, ahead int
	// returnsAt is when the client is expected back that was refused last because all endpoints name a limit.
	returnsAt core.Millis
	// cachedBudgets holds the budgets of the endpoints at the time budgetsAt.
	cachedBudgets []budget
	budgetsAt     core.Millis
	// wasBounded means that the service had a cold bound when bounds were last applied.
	wasBounded bool
}

// request is one attempt of a client, from its arrival to the end of its last attempt at an endpoint.
type request struct {
	order.PlacementRequest
	arrivedAt  core.Millis
	aimAt      core.Millis
	deadlineAt core.Millis
	// due is when the first stage must begin to meet the aim; each less urgent priority adds priorityWeight.
	due    core.Millis
	stages []stageState
	// preparation numbers the present preparation of the stages. Outcomes of stage calls count for the one that they were sent for.
	preparation uint64
	// final holds the stages whose results no other stage uses. It is nil until first computed.
	final []int
	// unfinished counts the stages that are not done.
	unfinished int
	attempts   int
	// budgetCounted is set once the request has been counted towards the retry budget. unreachable counts the endpoints that
	// could not be reached and were not counted as attempts.
	budgetCounted bool
	unreachable   int
	tried         []core.EndpointID
	endpoint      *fleet.Endpoint
	grantedAt     core.Millis
	firstByteSeen bool
	load          fleet.Load
	rebuilds      int
	// pathTimes holds for each stage the time of its call and of the longest chain of calls after it. cacheDomain is
	// the failure domain of the engine that has cached most of the prompt.
	pathTimes   []float64
	cacheDomain core.FailureDomain
	chain       fleet.PrefixChain
	// late is set when the request is not expected to be on time. It only uses capacity that other requests leave free.
	late    bool
	results []madeResult
	// freed is set when the inputs were freed, for example at the first byte.
	freed bool
	// firstByte is the predicted time to the first byte.
	firstByte firstBytePrediction
}

// New returns a scheduler without services and endpoints.
func New(r fleet.RetryLimits) *Scheduler {
	return &Scheduler{
		retries: r, fleet: fleet.New(), services: map[string]*service{},
		requests: map[order.Key]*request{}, incarnations: map[core.HostID]core.Incarnation{}, calls: map[uint64]*call{}, pendingFrees: map[uint64]pendingFree{},
		inherited: map[order.Key][]order.HeldResults{}, trials: map[poison.Content]uint64{},
		pauses: map[pauseKey]core.Millis{}, limits: limit.NewIssuer(), former: newFormerRequests(),
		coldWatch: coldWatch{cold: map[core.EndpointID]core.Incarnation{}, counts: map[fleet.ColdReason]int{}},
	}
}

// TakeActions starts every call and grants every request that can start now. It returns the actions that the caller must carry out
// and clears them. One pass over the queues serves all events since the last one.
func (s *Scheduler) TakeActions() []order.Action {
	s.sendFrees()
	if s.passDue {
		s.passDue = false
		s.dispatch()
		s.sendFrees()
	}
	actions := s.actions
	s.actions = nil
	for _, a := range actions {
		switch {
		case a.Grant != nil:
			s.totals.Granted++
		case a.Refuse != nil:
			s.totals.Refused++
		case a.Free != nil && !a.Free.Lost:
			s.totals.Releases++
		}
	}
	return actions
}

// Configure applies the services of a configuration.
func (s *Scheduler) Configure(now core.Millis, services []conf.Service) {
	s.now = now
	for _, c := range services {
		f := s.fleet.Configure(c)
		if _, ok := s.services[c.Name]; !ok {
			s.services[c.Name] = &service{Service: f}
		}
	}
	s.applyBounds()
	s.passDue = true
}

// SetEndpoint adds or updates an endpoint. A leaving endpoint gets no new work.
func (s *Scheduler) SetEndpoint(now core.Millis, e order.Endpoint, leaving bool) {
	s.now = now
	former := s.known(e.ID)
	s.fleet.Upsert(now, e, leaving)
	s.attachFormer()
	s.endpointAnnounced(former, e.ID)
	s.dropBudgets()
	s.passDue = true
}

// RemoveEndpoint removes an endpoint that has ended.
func (s *Scheduler) RemoveEndpoint(now core.Millis, id core.EndpointID) {
	s.now = now
	if e := s.known(id); e != nil {
		s.endBound(e)
	}
	s.fleet.Remove(id)
	s.detachFormer(id)
	s.dropBudgets()
}

// AddRequest adds a request. The decision follows as a Grant or a Refusal.
func (s *Scheduler) AddRequest(now core.Millis, a order.PlacementRequest) {
	s.now = now
	if _, known := s.requests[a.Key]; known {
		return
	}
	s.recordIncarnation(a.Key.Host, a.Key.Life)
	// The host has not used a grant of an earlier scheduler if it places the request again.
	s.endReported(a.Former)
	r := &request{PlacementRequest: a, arrivedAt: now, aimAt: now + a.Aim, deadlineAt: now + a.Left, attempts: a.Attempts}
	s.resetStages(r)
	s.claimResults(r)
	if suspicion, convicted := s.convictedStage(r); convicted {
		s.refuseConvicted(r, suspicion)
		s.freeAllResults(r)
		return
	}
	reason, expected := s.arrivalRefusal(r)
	if reason != "" {
		switch reason {
		case core.ReasonEvacuated:
			s.refuseEvacuated(r)
		case core.ReasonVersionGone:
			s.refuseVersion(r)
		case core.ReasonEndpointsLimited:
			s.refuseLimited(s.services[r.Service], r)
		default:
			s.refuse(r, reason, expected)
		}
		s.freeAllResults(r)
		return
	}
	s.countArrival(r)
	s.register(r)
	s.advance(r)
	s.passDue = true
}

// arrivalRefusal returns why an arriving request is not admitted, and the predicted time behind that, or no reason if it is
// admitted. It prepares the request for its placement.
func (s *Scheduler) arrivalRefusal(r *request) (core.Reason, core.Millis) {
	switch {
	case s.onlyEvacuated(r):
		return core.ReasonEvacuated, 0
	case s.versionGone(r):
		return core.ReasonVersionGone, 0
	}
	r.pathTimes, r.chain = s.pathTimes(r), fleet.NewPrefixChain(r.Prompt.Parts)
	r.due = r.dueAt()
	r.cacheDomain = s.findCacheDomain(r)
	expected, ok := s.admit(r)
	switch {
	case ok:
		return "", expected
	case s.predictLimitWait(r) > 0:
		return core.ReasonEndpointsLimited, expected
	}
	return core.ReasonDeadlineInfeasible, expected
}

// HasRequest reports whether the scheduler has the request.
func (s *Scheduler) HasRequest(key order.Key) bool {
	_, ok := s.requests[key]
	return ok
}

// CancelRequest drops a request whose client has disconnected or whose host has cancelled it.
func (s *Scheduler) CancelRequest(now core.Millis, key order.Key) {
	s.now = now
	if r, ok := s.requests[key]; ok {
		s.drop(r)
		s.passDue = true
	}
}

// FirstByteReceived records that the first byte of a request's answer has arrived from the endpoint of an attempt, 0 for the present one.
// The report of an earlier attempt may come after its end.
func (s *Scheduler) FirstByteReceived(now core.Millis, key order.Key, attempt int) {
	s.now = now
	r, ok := s.requests[key]
	if !ok {
		s.beginFormer(key)
		return
	}
	if r.endpoint == nil || r.firstByteSeen || attempt > 0 && attempt != r.attempts {
		return
	}
	r.firstByteSeen = true
	s.recordBegan(r)
	r.endpoint.LearnReadTime(s.now, r.load, s.now-r.grantedAt)
	r.endpoint.RecordPace(s.now, s.now-r.grantedAt, s.services[r.Service].FirstByteTime(), r.endpoint.Running())
	r.endpoint.RecordFirstByte(r.load, s.now-r.grantedAt)
	s.freeAllResults(r)
	s.passDue = true
}

// AttemptEnded records how an attempt ended. If again is set, the request needs another endpoint.
func (s *Scheduler) AttemptEnded(now core.Millis, key order.Key, ending order.AttemptOutcome, again bool) {
	s.now = now
	r, ok := s.requests[key]
	if !ok {
		s.recordFormerEnding(key, ending)
		return
	}
	if r.endpoint == nil && again {
		// The end of the attempt was reported before, and the request waits or is being prepared.
		return
	}
	if r.endpoint != nil {
		s.dropBudgets()
		s.recordEnding(r.endpoint, r.grantedAt, ending, r.endpoint.Running())
		r.endpoint.RecordEnding(s.now, ending)
		s.recordLeft(r)
		r.leaveEndpoint()
		s.updateDue(r)
	}
	switch {
	case !again:
		s.drop(r)
	case ending == order.Unreachable && r.unreachable < maxFreeUnreachable:
		// The endpoint has not received the request, so this does not count as an attempt.
		r.unreachable++
		r.attempts--
		s.requeue(r)
	case ending == order.NotSent:
		// The host did not send the request, so this does not count as an attempt.
		r.attempts--
		s.requeue(r)
	case ending == order.GoneInput && r.rebuilds < maxRebuilds:
		r.rebuilds++
		r.attempts--
		s.rebuildInputs(r, order.Reset{Cause: order.ResetUnserved})
	default:
		s.requeue(r)
	}
	s.passDue = true
}

// requeue makes a request wait for another endpoint. Its inputs are prepared again first if they have been freed.
func (s *Scheduler) requeue(r *request) {
	if r.freed && len(r.stages) > 0 {
		s.rebuildInputs(r, order.Reset{Cause: order.ResetRetried})
		return
	}
	s.enqueue(r)
}

// Tick advances the time, refuses requests that can no longer be served and handles everything else that is due.
func (s *Scheduler) Tick(now core.Millis) {
	s.now = now
	s.restartOverdueCalls()
	s.freeFetchedInputs()
	s.expireInheritedCalls()
	s.expireFormer()
	s.freeUnclaimed()
	s.removeExpiredPauses()
	s.applyBounds()
	s.updateLimits()
	s.sendLimitedFrees()
	for _, r := range s.sortedRequests() {
		if r.endpoint != nil {
			// The host ends the request by its deadline unless the host itself has ended.
			if now > r.deadlineAt+HostReportGrace {
				s.drop(r)
			}
			continue
		}
		left := s.expectedTime(r)
		switch {
		case s.onlyEvacuated(r):
			s.refuseEvacuated(r)
			s.drop(r)
		case r.inputsExpired(now):
			s.rebuildOrRefuse(r, order.Reset{Cause: order.ResetExpired})
		case now+s.minTime(r) > r.deadlineAt:
			s.refuse(r, core.ReasonDeadlineExceeded, s.minTime(r))
			s.drop(r)
		case now+core.Millis(onTimeShare*float64(left)) <= r.aimAt:
		case !r.hasProgress() && !s.hasSpareCapacity(r):
			s.refuse(r, core.ReasonDeadlineInfeasible, left)
			s.drop(r)
		default:
			s.markLate(r)
		}
	}
	s.passDue = true
}

// hasProgress reports whether work has been done for the request: a stage has made a result, or an attempt at an
// endpoint was made. Requests without stages always count.
func (r *request) hasProgress() bool {
	for i := range r.stages {
		if r.stages[i].missing < r.stages[i].Pieces {
			return true
		}
	}
	return len(r.stages) == 0 || r.attempts > 0
}

// sortedRequests returns the requests in the order of their keys, so that the same events always give the same actions.
func (s *Scheduler) sortedRequests() []*request {
	list := make([]*request, 0, len(s.requests))
	for _, r := range s.requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return compareKeys(a.Key, b.Key) })
	return list
}

func compareKeys(a, b order.Key) int {
	return a.Compare(b)
}

// advance queues the stages whose inputs are ready, or the request itself once all stages are done.
func (s *Scheduler) advance(r *request) {
	if r.unfinished == 0 {
		s.enqueue(r)
		return
	}
	for i := range r.stages {
		st := &r.stages[i]
		if st.started || st.Pieces == 0 || !r.inputsReady(st.After) {
			continue
		}
		st.started = true
		s.addGroup(r, i)
	}
}

// enqueue makes a request wait for an endpoint. It refuses the request if its attempts or the retry budget of the
// service are used up, or if the service has no endpoint left outside evacuated failure domains.
func (s *Scheduler) enqueue(r *request) {
	svc, ok := s.services[r.Service]
	if !ok || r.attempts >= r.MaxAttempts {
		s.refuse(r, core.ReasonNoEndpoint, 0)
		s.drop(r)
		return
	}
	if s.onlyEvacuated(r) {
		s.refuseEvacuated(r)
		s.drop(r)
		return
	}
	switch {
	case r.attempts == 0 && !r.budgetCounted:
		r.budgetCounted = true
		svc.CountRequest(s.now, s.retries)
	case r.attempts > 0 && !svc.SpendRetry(s.now, s.retries):
		s.refuse(r, core.ReasonRetryBudget, 0)
		s.drop(r)
		return
	}
	svc.waiting = append(svc.waiting, r)
}

// drop removes a request and releases everything that it holds.
func (s *Scheduler) drop(r *request) {
	s.recordLeft(r)
	r.leaveEndpoint()
	s.freeAllResults(r)
	s.dequeue(r)
	s.unregister(r)
}

// dequeue removes a request and its groups from all queues.
func (s *Scheduler) dequeue(r *request) {
	for _, svc := range s.services {
		svc.waiting = slices.DeleteFunc(svc.waiting, func(x *request) bool { return x == r })
		svc.groups = slices.DeleteFunc(svc.groups, func(g *group) bool { return g.request == r })
	}
}

// refuse emits the refusal of a request. expected is 0 unless the predicted time was the reason.
func (s *Scheduler) refuse(r *request, reason core.Reason, expected core.Millis) {
	var queue order.Queue
	if expected > 0 {
		queue = s.longestQueue(r)
	}
	s.actions = append(s.actions, order.Action{Refuse: &order.Refusal{
		Key: r.Key, ID: r.ID, Reason: reason, RetryAfter: s.retryAfter(r, expected),
		Expected: expected, Left: r.deadlineAt - s.now, Queue: queue,
	}})
}

// dispatch starts every call and grants every request that can start now.
func (s *Scheduler) dispatch() {
	s.totals.Dispatches++
	for _, name := range s.serviceNames() {
		svc := s.services[name]
		s.totals.Examined += uint64(len(svc.groups) + len(svc.waiting))
		if svc.Pieces != nil {
			s.startCalls(svc)
		}
		s.grantWaiting(svc)
	}
}

func (s *Scheduler) serviceNames() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
