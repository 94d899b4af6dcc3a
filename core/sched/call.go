package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
)

const (
	// overdueFactor is the multiple of the expected time after which the pieces of a call are also started at another
	// endpoint. The speeds of healthy endpoints differ by a factor of up to 1.3.
	overdueFactor = 2
	// overdueSlack is added to the overdue time for network latency.
	overdueSlack = 150 * core.Millis(1)
	// maxNoRoomShare is the share of a call's pieces that may fail for lack of room before the endpoint gets no new
	// calls for a while.
	maxNoRoomShare = 0.5
	// maxFailuresPerPiece bounds the failed runs of a stage: a request is refused once its stage has failed more often
	// than this times the number of its pieces.
	maxFailuresPerPiece = 4
)

// call is a call in progress at a stage's endpoint.
type call struct {
	number       uint64
	endpoint     *fleet.Endpoint
	items        []order.Item
	startedAt    core.Millis
	expectedTime core.Millis
	// overdueAt is when the pieces are also started at another endpoint.
	overdueAt core.Millis
	overdue   bool
	bytes     int64
	// trial identifies the suspected pieces that run alone in the call. It is 0 for all other calls.
	trial poison.Content
	// fetchedAt is when the endpoint has certainly fetched the inputs of the call's pieces. It is 0 if that time is
	// unknown or has already been handled.
	fetchedAt core.Millis
}

// startCall starts a call with the given items at an endpoint and emits the actions for it.
func (s *Scheduler) startCall(svc *service, e *fleet.Endpoint, items []order.Item, bytes int64) {
	s.lastCall++
	usualTime := svc.Pieces.CallTime + float64(len(items))*svc.Pieces.ItemTime
	slowdown := e.CallSlowdown(s.now, usualTime)
	expected := core.Millis(slowdown * usualTime)
	c := &call{number: s.lastCall, endpoint: e, items: items, startedAt: s.now, expectedTime: expected, bytes: bytes}
	room := e.FreeBytes()
	c.overdueAt = s.now + core.Millis(overdueFactor*usualTime*min(fleet.SlowFactor, slowdown)) + overdueSlack
	c.fetchedAt = s.estimateFetched(svc, items)
	s.calls[c.number] = c
	owners := s.owners(items)
	alone := s.suspects[owners[0].Content].Standing == poison.Suspected
	if alone {
		c.trial = owners[0].Content
		s.trials[c.trial] = c.number
	}
	s.adjustRunning(c, 1)
	e.BeginCall(bytes)
	s.actions = append(s.actions, order.Action{Call: &order.Call{
		Number: c.number, Endpoint: e.ID, Address: e.Address, FailureDomain: e.FailureDomain, Service: svc.Name, Items: items, Expected: expected, Bytes: bytes, Room: room,
		Life: e.Incarnation, Owners: owners, Alone: alone, Permitted: s.takePermits(e, len(items)), Bounded: e.Bounded(),
	}}, order.Action{CallBegan: &order.RunningCall{
		Number: c.number, Endpoint: e.ID, Life: e.Incarnation, Bytes: bytes, EndsAt: s.now + expected, Till: s.now + expected + svc.Pieces.Keep,
	}})
}

// CallDone records the end of a stage call. results has one entry for each item if the endpoint answered the whole
// call, and how is the outcome of the call.
func (s *Scheduler) CallDone(now core.Millis, number uint64, results []order.ItemResult, ending order.AttemptOutcome) {
	s.now = now
	c, ok := s.calls[number]
	if !ok {
		return
	}
	delete(s.calls, number)
	if s.trials[c.trial] == number {
		delete(s.trials, c.trial)
	}
	s.actions = append(s.actions, order.Action{CallEnded: number})
	c.endpoint.EndCall()
	if !c.overdue {
		s.adjustRunning(c, -1)
	}
	if ending == order.Served && len(results) == len(c.items) {
		c.endpoint.RecordPace(s.now, s.now-c.startedAt, float64(c.expectedTime), c.endpoint.Calls()+1)
		c.endpoint.RecordCall(s.now, s.now-c.startedAt, c.expectedTime)
		// Result sizes are approximate, so a few pieces may find no room. If many do, the endpoint holds results that
		// this scheduler has no record of.
		if noRoom := noRoomShare(results); noRoom > maxNoRoomShare || noRoom > 0 && s.now < s.unknownUntil {
			c.endpoint.RecordNoRoom(s.now)
		}
		for i, r := range results {
			s.completePiece(c, c.items[i], r)
		}
		s.reportResults(c, results)
	} else {
		c.endpoint.FreeResults(c.bytes)
		s.recordEnding(c.endpoint, c.startedAt, ending, c.endpoint.Calls()+1)
		c.endpoint.RecordFailure(now, ending)
		// An endpoint that has ended hasn't run the call and gets no other one.
		counted := ending != order.Rejected && ending != order.OtherEndpoint
		for _, i := range c.items {
			s.failPiece(c, i, "", counted)
		}
	}
	s.passDue = true
}

// noRoomShare returns the share of a call's pieces that found no room.
func noRoomShare(results []order.ItemResult) float64 {
	noRoom := 0
	for _, r := range results {
		if r.Reason == order.ItemNoRoom {
			noRoom++
		}
	}
	return float64(noRoom) / float64(max(1, len(results)))
}

// adjustRunning adds by to the running count of the stage of each item in a call.
func (s *Scheduler) adjustRunning(c *call, by int) {
	for _, i := range c.items {
		if r, ok := s.preparing(i); ok {
			r.stages[i.Stage].running += by
		}
	}
}

// preparing returns the request of a piece, and whether the piece belongs to the present preparation of its stages. The request
// may have been placed again, or its stages may have been reset, so that even the inputs of the piece may not exist yet.
func (s *Scheduler) preparing(i order.Item) (*request, bool) {
	r, ok := s.requests[i.Key]
	return r, ok && r.preparation == i.Preparation
}

// pendingRequest returns the request of a piece, and whether it still waits for the piece's result. Another call may have made it meanwhile,
// and the inputs of the piece may have been freed since.
func (s *Scheduler) pendingRequest(i order.Item) (*request, bool) {
	r, ok := s.preparing(i)
	return r, ok && r.stages[i.Stage].handles[i.Piece] == ""
}

// completePiece stores the result of a piece, or handles its failure. A result that is not needed any more is freed.
func (s *Scheduler) completePiece(c *call, i order.Item, result order.ItemResult) {
	if result.Handle != "" {
		s.totals.ResultsMade++
	}
	r, pending := s.pendingRequest(i)
	switch {
	case result.Handle == "":
		if result.Reason == order.ItemNoRoom {
			s.totals.NoRoom++
		}
		c.endpoint.FreeResults(i.Bytes)
		s.failPiece(c, i, result.Reason, true)
		return
	case !pending:
		s.totals.ResultsUnused++
		s.freeResults([]string{result.Handle}, c.endpoint, i.Bytes, s.expiryOfResult(c.endpoint.Service))
		return
	}
	if c.overdue {
		s.unqueuePiece(r, i)
	}
	st := &r.stages[i.Stage]
	st.handles[i.Piece] = result.Handle
	st.missing--
	if st.service != nil {
		st.service.missing--
	}
	expiresAt := s.expiryOfResult(st.Service)
	r.addResult(i.Stage, madeResult{handle: result.Handle, endpoint: c.endpoint, startedAt: c.startedAt, expiresAt: expiresAt})
	if s.services[st.Service].Pieces != nil && (st.expiresAt == 0 || expiresAt < st.expiresAt) {
		st.expiresAt = expiresAt
	}
	if st.missing == 0 {
		r.unfinished--
		s.freeConsumedInputs(r, i.Stage)
		s.advance(r)
	}
}

// expiryOfResult returns when a service's endpoint drops a result by itself that has just arrived: now, if a new configuration has meanwhile made
// this a service without stage calls.
func (s *Scheduler) expiryOfResult(service string) core.Millis {
	if svc := s.services[service]; svc != nil && svc.Pieces != nil {
		return s.now + svc.Pieces.Keep
	}
	return s.now
}

// failPiece handles a run of a piece without a result: if the piece is pending, its inputs are prepared again if they are gone, and
// otherwise the piece is queued again, unless that has happened when the call became overdue. reason is empty if the whole call failed.
func (s *Scheduler) failPiece(c *call, i order.Item, reason order.ItemReason, countFailure bool) {
	r, pending := s.pendingRequest(i)
	switch {
	case r == nil:
	case r.preparation != i.Preparation:
		s.ignore(c, i, reason, order.IgnoredEarlier)
	case !pending:
		s.ignore(c, i, reason, order.IgnoredMade)
	case c.overdue && reason == order.ItemGone && r.hasFreedInputs(i.Stage):
		// The later run has fetched them.
		s.ignore(c, i, reason, order.IgnoredOverdue)
	case reason == order.ItemGone:
		s.rebuildOrRefuse(r, c.reset(order.ResetGone, i))
	case countFailure && s.failsTooOften(r, i.Stage):
	case c.overdue:
		s.ignore(c, i, reason, order.IgnoredOverdue)
	default:
		s.requeuePiece(c, i, r)
	}
}

// failsTooOften counts a failed run of a stage's piece. It refuses the request and returns true once a stage has failed too often.
func (s *Scheduler) failsTooOften(r *request, stage int) bool {
	st := &r.stages[stage]
	st.failures++
	if st.failures <= maxFailuresPerPiece*max(1, st.Pieces) {
		return false
	}
	s.refuse(r, core.ReasonEndpointFailed, 0)
	s.drop(r)
	return true
}

// ignore reports a failure of a piece that changes nothing, together with those of the same stage in the call.
func (s *Scheduler) ignore(c *call, i order.Item, reason order.ItemReason, why order.IgnoreCause) {
	if n := len(s.actions); n > 0 && s.actions[n-1].Ignored != nil {
		if x := s.actions[n-1].Ignored; x.Call == c.number && x.ID == i.ID && x.Stage == i.Stage && x.Why == why {
			x.Pieces++
			return
		}
	}
	s.actions = append(s.actions, order.Action{Ignored: &order.Ignored{ID: i.ID, Call: c.number, Stage: i.Stage, Pieces: 1, Reason: reason, Why: why}})
}

// reset describes a reset of a request's stages that the outcome of a piece of the call causes.
func (c *call) reset(cause order.ResetCause, i order.Item) order.Reset {
	return order.Reset{Cause: cause, Call: c.number, Stage: i.Stage, Piece: i.Piece, Overdue: c.overdue}
}

// requeuePiece puts a pending piece of a call back into the queue of its stage.
func (s *Scheduler) requeuePiece(c *call, i order.Item, r *request) {
	if r.hasFreedInputs(i.Stage) {
		s.rebuildOrRefuse(r, c.reset(order.ResetFreed, i))
		return
	}
	st := &r.stages[i.Stage]
	st.fetched[i.Piece] = false
	svc := s.services[st.Service]
	for _, g := range svc.groups {
		if g.request == r && g.stage == i.Stage {
			if !slices.Contains(g.pieces, i.Piece) {
				g.pieces = append(g.pieces, i.Piece)
			}
			return
		}
	}
	svc.groups = append(svc.groups, &group{request: r, stage: i.Stage, pieces: []int{i.Piece}})
}

// unqueuePiece removes a piece from the queue of its stage if it waits for another run.
func (s *Scheduler) unqueuePiece(r *request, i order.Item) {
	svc := s.services[r.stages[i.Stage].Service]
	for _, g := range svc.groups {
		if g.request == r && g.stage == i.Stage {
			g.pieces = slices.DeleteFunc(g.pieces, func(piece int) bool { return piece == i.Piece })
		}
	}
	svc.groups = slices.DeleteFunc(svc.groups, func(g *group) bool { return len(g.pieces) == 0 })
}

// restartOverdueCalls queues the pieces of overdue calls again, so that another endpoint runs them as well.
func (s *Scheduler) restartOverdueCalls() {
	for _, number := range s.sortedCallNumbers() {
		c := s.calls[number]
		if c.overdue || s.now < c.overdueAt {
			continue
		}
		c.overdue = true
		s.adjustRunning(c, -1)
		c.endpoint.RecordOverdue(float64(s.now-c.startedAt) / max(1, float64(c.expectedTime)))
		for _, i := range c.items {
			if r, pending := s.pendingRequest(i); pending {
				s.requeuePiece(c, i, r)
			}
		}
	}
}

func (s *Scheduler) sortedCallNumbers() []uint64 {
	list := make([]uint64, 0, len(s.calls))
	for n := range s.calls {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}
