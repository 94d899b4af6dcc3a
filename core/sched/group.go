package sched

import (
	"cmp"
	"math"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

const (
	// priorityWeight is how many milliseconds earlier the work of one priority must be due to go before work of the
	// next more urgent priority. Most aims are 1 to 5 s.
	priorityWeight = core.Second
	// lateWeight sorts work that will be late behind all work that can be on time. It exceeds any aim and priority.
	lateWeight = 60 * core.Second
	// crossDomainWeight is the penalty in milliseconds for each megabyte of results that is transferred between failure
	// domains: about the transfer time and its price.
	crossDomainWeight = 20.0
	// notYetKey is the sort key of a group that must not start yet.
	notYetKey = math.MaxInt64 / 4
	// largeResultBytes is the result size from which a stage is not started early, and earlyMargin is how many
	// milliseconds it may still start early.
	largeResultBytes = 200_000
	earlyMargin      = 50.0
	// expiryMargin is how long before its inputs expire a piece must start. It covers a full call and the way to the
	// endpoint.
	expiryMargin = core.Second
	// speedWeight is the penalty in milliseconds of an endpoint that takes twice the usual time: about the time of a
	// call.
	speedWeight = 250.0
	megabyte    = 1 << 20
	// minSlackCalls is how many typical calls the slack of a group must cover before the group waits for an endpoint in
	// a better failure domain: the rest of the present call there, and one call that started just before.
	minSlackCalls = 2.0
	// minCrossDomainCost is the transfer penalty in milliseconds from which a group waits for a better failure domain:
	// about one megabyte.
	minCrossDomainCost = 20.0
	// backloggedShare is the share of one full call at each endpoint. If more pieces are ready, they go to whichever
	// endpoint has room first.
	backloggedShare = 0.25
)

// group is the pieces of one stage of one request that wait for a call.
type group struct {
	request *request
	stage   int
	pieces  []int
}

// latestStart returns when a group must start so that none of the request's results expires before it is used. A request
// that will be late is not worth this precedence and gets no such limit.
func (g *group) latestStart() core.Millis {
	earliest := math.MaxInt32 * core.Second
	if g.request.late {
		return earliest
	}
	for i := range g.request.stages {
		if st := &g.request.stages[i]; st.expiresAt > 0 && g.request.needsResults(i) {
			earliest = min(earliest, st.expiresAt-expiryMargin)
		}
	}
	return earliest
}

// addGroup queues the pieces of a stage that have no result. It refuses the request if the service is not configured.
func (s *Scheduler) addGroup(r *request, stage int) {
	st := &r.stages[stage]
	g := &group{request: r, stage: stage}
	for i, h := range st.handles {
		if h == "" {
			g.pieces = append(g.pieces, i)
		}
	}
	svc, ok := s.services[st.Service]
	if !ok {
		s.refuse(r, core.ReasonNoEndpoint, 0)
		s.drop(r)
		return
	}
	svc.groups = append(svc.groups, g)
}

// schedulingKey returns the sort key of a request's work, smallest first: work that can still be on time is ordered by
// when it must start and by priority, and late work comes after it. remaining is the expected time from the start of the
// work to the first byte.
func (s *Scheduler) schedulingKey(r *request, remaining core.Millis) core.Millis {
	if r.late || r.aimAt-remaining < s.now {
		return s.now + lateWeight + r.deadlineAt - remaining
	}
	return r.aimAt - remaining + core.Millis(r.Priority)*priorityWeight
}

// startCalls fills idle endpoints of a stage's service with the pieces that are due first.
func (s *Scheduler) startCalls(svc *service) {
	for len(svc.groups) > 0 {
		idle := s.idleEndpoints(svc)
		if len(idle) == 0 {
			return
		}
		keys := s.groupKeys(svc)
		e := s.nextEndpoint(svc, idle, keys)
		if e == nil {
			return
		}
		items, bytes, incomplete := s.takePieces(svc, e, keys)
		if len(items) > 0 {
			s.startCall(svc, e, items, bytes)
		}
		for _, g := range incomplete {
			// A group of the same request may have reset it.
			if slices.Contains(svc.groups, g) {
				s.withhold(g.request, order.Withheld{Call: true, Stage: g.stage, Inputs: g.request.stages[g.stage].After})
			}
		}
		if len(items) == 0 {
			return
		}
	}
}

// nextEndpoint returns the endpoint that starts a call now, or nil. It is the best endpoint for the group that is due
// first among the groups that do not wait for another endpoint.
func (s *Scheduler) nextEndpoint(svc *service, idle []*fleet.Endpoint, keys map[*group]float64) *fleet.Endpoint {
	slices.SortStableFunc(svc.groups, func(a, b *group) int { return cmp.Compare(keys[a], keys[b]) })
	for _, g := range svc.groups {
		if keys[g] >= notYetKey {
			return nil
		}
		candidates := slices.DeleteFunc(slices.Clone(idle), func(e *fleet.Endpoint) bool { return s.waitsForCloser(svc, g, e) })
		if len(candidates) > 0 {
			return cheapestEndpoint(s.now, candidates, g, s.nextCallBytes(svc, keys))
		}
	}
	return nil
}

// waitsForCloser reports whether a group should wait for an endpoint in another failure domain than that of e, because
// running it at e would transfer much data across domains and there is time to wait.
func (s *Scheduler) waitsForCloser(svc *service, g *group, e *fleet.Endpoint) bool {
	r := g.request
	slack := r.aimAt - s.timeFromStage(r, g.stage) - s.now
	if r.late || float64(slack) < minSlackCalls*svc.CallTime() || g.crossDomainCost(e) < minCrossDomainCost || s.backlogged(svc) {
		return false
	}
	for _, other := range svc.Endpoints() {
		if other.Usable(s.now) && !other.Slow(s.now) && s.permitFree(other) && g.crossDomainCost(other) < g.crossDomainCost(e)/2 {
			return true
		}
	}
	return false
}

// backlogged reports whether so many pieces are ready that no endpoint should stay idle.
func (s *Scheduler) backlogged(svc *service) bool {
	ready, room := 0, 0
	for _, g := range svc.groups {
		ready += len(g.pieces)
	}
	for _, e := range svc.Endpoints() {
		if e.Usable(s.now) {
			room += svc.Pieces.Batch
		}
	}
	return float64(ready) > backloggedShare*float64(room)
}

// idleEndpoints returns the endpoints that can start a call now.
func (s *Scheduler) idleEndpoints(svc *service) []*fleet.Endpoint {
	var list []*fleet.Endpoint
	for _, e := range svc.Endpoints() {
		if e.CanStartCall(s.now) && s.permitFree(e) {
			list = append(list, e)
		}
	}
	return list
}

// nextCallBytes returns the room that the results of the next call need if it takes all groups that may start, up to a
// full call.
func (s *Scheduler) nextCallBytes(svc *service, keys map[*group]float64) int64 {
	piecesLeft, bytes := max(1, svc.Pieces.Batch), int64(0)
	for _, g := range svc.groups {
		if keys[g] < notYetKey {
			n := min(piecesLeft, len(g.pieces))
			bytes += int64(n) * g.request.stages[g.stage].Bytes
			piecesLeft -= n
		}
	}
	return max(1, bytes)
}

// cheapestEndpoint returns the endpoint with the lowest cost for a group: its speed, the transfers to another failure
// domain and the room that it lacks for a full call.
func cheapestEndpoint(now core.Millis, idle []*fleet.Endpoint, g *group, wantedBytes int64) *fleet.Endpoint {
	cost := func(e *fleet.Endpoint) float64 {
		lackingShare := max(0, 1-float64(e.FreeBytes())/float64(wantedBytes))
		return speedWeight*(e.SlowdownAt(now)+lackingShare) + g.crossDomainCost(e)
	}
	return slices.MinFunc(idle, func(a, b *fleet.Endpoint) int { return cmp.Compare(cost(a), cost(b)) })
}

// crossDomainCost returns the penalty in milliseconds for the data that a group would transfer between failure domains
// at an endpoint: the inputs, which each piece fetches, and the results, which are next used where the request is
// expected to be placed.
func (g *group) crossDomainCost(e *fleet.Endpoint) float64 {
	r, st := g.request, &g.request.stages[g.stage]
	var bytes int64
	if r.cacheDomain != "" && r.cacheDomain != e.FailureDomain && slices.Contains(r.finalStages(), g.stage) {
		bytes = st.Bytes
	}
	for _, a := range st.After {
		bytes += r.crossDomainBytes(a, e)
	}
	return crossDomainWeight * float64(bytes) * float64(len(g.pieces)) / megabyte
}

// crossDomainBytes returns the bytes of a stage's results that were made in another failure domain than that of an
// endpoint.
func (r *request) crossDomainBytes(stage int, e *fleet.Endpoint) int64 {
	st := &r.stages[stage]
	return int64(st.held-st.heldIn[e.FailureDomain]) * st.Bytes
}

// groupKeys returns the sort key of each group of a service, smallest first.
func (s *Scheduler) groupKeys(svc *service) map[*group]float64 {
	keys := make(map[*group]float64, len(svc.groups))
	for _, g := range svc.groups {
		keys[g] = float64(min(s.schedulingKey(g.request, s.timeFromStage(g.request, g.stage)), g.latestStart()))
		if g.tooEarly() || s.inTrial(g) {
			keys[g] = notYetKey
		}
	}
	return keys
}

// tooEarly reports whether a group's results would only wait for the results of the request's other stages and take up
// room meanwhile.
func (g *group) tooEarly() bool {
	r := g.request
	if r.stages[g.stage].Bytes < largeResultBytes {
		return false
	}
	longestOther := 0.0
	for i := range r.stages {
		if i != g.stage && r.stages[i].missing > 0 {
			longestOther = max(longestOther, r.pathTimes[i])
		}
	}
	return longestOther > r.pathTimes[g.stage]+earlyMargin
}

// takePieces removes the most urgent pieces from the queue, as many as fit into a call and into the endpoint's room. It also returns the
// groups that it has left out because their inputs are not complete.
func (s *Scheduler) takePieces(svc *service, e *fleet.Endpoint, keys map[*group]float64) ([]order.Item, int64, []*group) {
	slices.SortStableFunc(svc.groups, func(a, b *group) int {
		return cmp.Compare(keys[a]+a.crossDomainCost(e), keys[b]+b.crossDomainCost(e))
	})
	maxItems := s.maxPermittedPieces(e, max(1, svc.Pieces.Batch))
	if e.Slow(s.now) {
		// A probe of a slow endpoint must not delay urgent work, so it gets a single piece of the least urgent group.
		maxItems = 1
		slices.Reverse(svc.groups)
	}
	var items []order.Item
	var bytes int64
	var incomplete []*group
	room := e.FreeBytes()
	for _, g := range svc.groups {
		if len(items) >= maxItems {
			break
		}
		if keys[g] >= notYetKey || s.waitsForCloser(svc, g, e) {
			continue
		}
		if !g.request.holdsInputs(g.request.stages[g.stage].After) {
			incomplete = append(incomplete, g)
			continue
		}
		alone := s.runsAlone(g)
		if alone && len(items) > 0 {
			continue
		}
		size := g.request.stages[g.stage].Bytes
		for len(g.pieces) > 0 && len(items) < maxItems && (bytes+size <= room || len(items) == 0) {
			items = append(items, s.newItem(g.request, g.stage, g.pieces[0]))
			g.pieces = g.pieces[1:]
			bytes += size
		}
		if alone && len(items) > 0 {
			break
		}
	}
	svc.groups = slices.DeleteFunc(svc.groups, func(g *group) bool { return len(g.pieces) == 0 })
	return items, bytes, incomplete
}

func (s *Scheduler) newItem(r *request, stage, piece int) order.Item {
	i := order.Item{
		Key: r.Key, ID: r.ID, Preparation: r.preparation, Stage: stage, Piece: piece, Left: r.deadlineAt - s.now,
		Bytes: r.stages[stage].Bytes,
	}
	if st := r.stages[stage]; len(st.After) == 0 {
		i.PieceKey = r.PieceKey
	} else {
		i.Inputs = r.inputHandles(st.After)
	}
	return i
}
