package sched

import (
	"cmp"
	"math"
	"slices"

	"cyclamenford/core"
)

const (
	// maxRemakes is how often a request's inputs are made again after they were lost, which covers the loss of one endpoint and one more.
	maxRemakes = 2
	// maxTries is how often one piece is sent to endpoints that fail it.
	maxTries = 4
	// rankWeight is how many milliseconds sooner the work of one rank must be due to go before the next more urgent rank; most aims are 1 to 5 s.
	rankWeight = core.Second
	// lateWeight puts work that will be late behind all that can be on time: more than any aim and rank.
	lateWeight = 60 * core.Second
	// crossWeight is the milliseconds by which a megabyte of result in another failure domain is put back: about its transfer and its price.
	crossWeight = 20.0
	// tooEarly is the order of a group that need not start yet.
	tooEarly = math.MaxInt64 / 4
	// earlyBytes is the size from which results are not made early, and earlyMargin by how many milliseconds they may be.
	earlyBytes  = 200_000
	earlyMargin = 50.0
	// expiryMargin is how long before its inputs end a piece must start: a full call and the way there.
	expiryMargin = core.Second
	// speedWeight is the milliseconds that an endpoint of twice the usual time is put back: about a call.
	speedWeight = 250.0
	// overdueFactor times the expected time is when a call's pieces are started elsewhere as well; endpoints' own speeds differ by up to 1.3.
	overdueFactor = 2
	// overdueSlack is added to it for the time on the network.
	overdueSlack = 150 * core.Millis(1)
	megabyte     = 1 << 20
)

// stageState is what has been prepared of one stage.
type stageState struct {
	StageAsk
	started bool
	left    int
	handles []string
	tries   int
	// keptTill is when the first of its results ends.
	keptTill core.Millis
}

func newStage(a StageAsk) stageState {
	return stageState{StageAsk: a, left: a.Pieces, handles: make([]string, a.Pieces)}
}

// group is the pieces of one stage of one request that wait for a call.
type group struct {
	request *request
	stage   int
	pieces  []int
}

// call is one call in progress at a stage's endpoint.
type call struct {
	number   uint64
	at       *endpoint
	items    []Item
	started  core.Millis
	expected core.Millis
	// overdueAt is when the pieces are started elsewhere as well.
	overdueAt core.Millis
	overdue   bool
	bytes     int64
}

// expires is when a group must start so that no result of its request ends before it is used; work that will be late
// is not worth it.
func (g *group) expires() core.Millis {
	soonest := math.MaxInt32 * core.Second
	if g.request.late {
		return soonest
	}
	for i := range g.request.stages {
		if st := &g.request.stages[i]; st.keptTill > 0 && g.request.needs(i) {
			soonest = min(soonest, st.keptTill-expiryMargin)
		}
	}
	return soonest
}

func (r *request) inputsReady(after []int) bool {
	for _, i := range after {
		if r.stages[i].left > 0 {
			return false
		}
	}
	return true
}

// inputs returns the handles of all pieces of the given stages.
func (r *request) inputs(stages []int) []string {
	var list []string
	for _, i := range stages {
		list = append(list, r.stages[i].handles...)
	}
	return list
}

// finalStages returns the stages that no other stage follows.
func (r *request) finalStages() []int {
	followed := map[int]bool{}
	for _, st := range r.stages {
		for _, a := range st.After {
			followed[a] = true
		}
	}
	var final []int
	for i := range r.stages {
		if !followed[i] {
			final = append(final, i)
		}
	}
	return final
}

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

// rank orders work: what can still be on time goes first, by when it must start, and urgent ranks before others.
func (s *Scheduler) rank(r *request, rest core.Millis) core.Millis {
	if r.late || r.aimAt-rest < s.now {
		return s.now + lateWeight + r.deadlineAt - rest
	}
	return r.aimAt - rest + core.Millis(r.Priority)*rankWeight
}

// startCalls gives each idle endpoint of a stage's service the pieces that are due first.
func (s *Scheduler) startCalls(svc *service) {
	for len(svc.groups) > 0 {
		idle := s.idle(svc)
		if len(idle) == 0 {
			return
		}
		keys := s.keys(svc)
		first := slices.MinFunc(svc.groups, func(a, b *group) int { return cmp.Compare(keys[a], keys[b]) })
		if keys[first] >= tooEarly {
			return
		}
		e := nearest(idle, first, s.wantedRoom(svc, keys))
		items, bytes := s.fill(svc, e, keys)
		if len(items) == 0 {
			return
		}
		s.startCall(svc, e, items, bytes)
	}
}

// idle returns the endpoints that can start a call now; one that is too slow only when it is due to be tried again.
func (s *Scheduler) idle(svc *service) []*endpoint {
	var list []*endpoint
	for _, e := range svc.endpoints {
		if e.calls >= max(1, svc.Pieces.Slots) || !e.usable(s.now) || e.room(svc) <= 0 {
			continue
		}
		if e.slow(svc, s.now) && s.now < e.retryAt {
			continue
		}
		list = append(list, e)
	}
	return list
}

// wantedRoom is the bytes that the results of a call take up which holds all that waits, or as much as a call may hold.
func (s *Scheduler) wantedRoom(svc *service, keys map[*group]float64) int64 {
	left, bytes := max(1, svc.Pieces.Batch), int64(0)
	for _, g := range svc.groups {
		if keys[g] < tooEarly {
			n := min(left, len(g.pieces))
			bytes += int64(n) * g.request.stages[g.stage].Bytes
			left -= n
		}
	}
	return max(1, bytes)
}

// nearest returns the endpoint at which a group's results are made fastest, counting their way to another failure domain
// and the room that a full call lacks.
func nearest(idle []*endpoint, g *group, wanted int64) *endpoint {
	cost := func(e *endpoint) float64 {
		lacking := max(0, 1-float64(e.room(e.service))/float64(wanted))
		return speedWeight*(e.speed.value+lacking) + g.crossing(e)
	}
	return slices.MinFunc(idle, func(a, b *endpoint) int { return cmp.Compare(cost(a), cost(b)) })
}

// crossing is the milliseconds that a group's results are put back for leaving their failure domain.
func (g *group) crossing(e *endpoint) float64 {
	if home := g.request.home; home == "" || home == e.FailureDomain {
		return 0
	}
	return crossWeight * float64(g.request.stages[g.stage].Bytes) * float64(len(g.pieces)) / megabyte
}

// keys orders the groups of a service, the smallest first.
func (s *Scheduler) keys(svc *service) map[*group]float64 {
	keys := make(map[*group]float64, len(svc.groups))
	for _, g := range svc.groups {
		keys[g] = float64(min(s.rank(g.request, s.rest(g.request, g.stage)), g.expires()))
		if g.early() {
			keys[g] = tooEarly
		}
	}
	return keys
}

// early reports whether a group's results would only wait for those of the request's other stages, and take up room.
func (g *group) early() bool {
	r := g.request
	if r.stages[g.stage].Bytes < earlyBytes {
		return false
	}
	others := 0.0
	for i := range r.stages {
		if i != g.stage && r.stages[i].left > 0 {
			others = max(others, r.tail[i])
		}
	}
	return others > r.tail[g.stage]+earlyMargin
}

// fill takes the most urgent pieces out of the queue, as many as a call and the endpoint's room hold.
func (s *Scheduler) fill(svc *service, e *endpoint, keys map[*group]float64) ([]Item, int64) {
	slices.SortStableFunc(svc.groups, func(a, b *group) int {
		return cmp.Compare(keys[a]+a.crossing(e), keys[b]+b.crossing(e))
	})
	most := max(1, svc.Pieces.Batch)
	if e.slow(svc, s.now) {
		// A trial of a slow endpoint must not hold up what is urgent.
		most = 1
		slices.Reverse(svc.groups)
	}
	var items []Item
	var bytes int64
	room := e.room(svc)
	for _, g := range svc.groups {
		if keys[g] >= tooEarly {
			continue
		}
		size := g.request.stages[g.stage].Bytes
		for len(g.pieces) > 0 && len(items) < most && (bytes+size <= room || len(items) == 0) {
			items = append(items, s.item(g.request, g.stage, g.pieces[0]))
			g.pieces = g.pieces[1:]
			bytes += size
		}
	}
	svc.groups = slices.DeleteFunc(svc.groups, func(g *group) bool { return len(g.pieces) == 0 })
	return items, bytes
}

func (s *Scheduler) item(r *request, stage, piece int) Item {
	i := Item{
		Key: r.Key, ID: r.ID, Stage: stage, Piece: piece, Left: r.deadlineAt - s.now,
		Bytes: r.stages[stage].Bytes,
	}
	if st := r.stages[stage]; len(st.After) == 0 {
		i.PieceKey = r.PieceKey
	} else {
		i.Inputs = r.inputs(st.After)
	}
	return i
}

func (s *Scheduler) startCall(svc *service, e *endpoint, items []Item, bytes int64) {
	s.lastCall++
	usual := svc.Pieces.CallTime + float64(len(items))*svc.Pieces.ItemTime
	expected := core.Millis(e.speed.value * usual)
	c := &call{number: s.lastCall, at: e, items: items, started: s.now, expected: expected, bytes: bytes}
	c.overdueAt = s.now + core.Millis(overdueFactor*usual*min(tooSlow, e.speed.value)) + overdueSlack
	s.calls[c.number] = c
	e.calls++
	e.bytes += bytes
	s.out = append(s.out, Action{Call: &Call{
		Number: c.number, Endpoint: e.ID, Address: e.Address, Service: svc.Name, Items: items, Expected: expected,
	}})
}

// CallDone tells what a call brought: a result for each item, or none and how the call ended.
func (s *Scheduler) CallDone(now core.Millis, number uint64, results []ItemResult, how Ending) {
	s.now = now
	c, ok := s.calls[number]
	if !ok {
		return
	}
	delete(s.calls, number)
	c.at.calls--
	if how == Served && len(results) == len(c.items) {
		s.learnCall(c)
		for i, r := range results {
			s.pieceDone(c, c.items[i], r)
		}
	} else {
		c.at.bytes -= c.bytes
		c.at.failed(now, how)
		if how == OtherEndpoint {
			c.at.leaving = true
		}
		for _, i := range c.items {
			s.again(i, how != Rejected)
		}
	}
	s.pump()
}

func (s *Scheduler) pieceDone(c *call, i Item, result ItemResult) {
	r, ok := s.requests[i.Key]
	wanted := ok && r.stages[i.Stage].handles[i.Piece] == ""
	switch {
	case result.Handle == "":
		c.at.bytes -= i.Bytes
		if result.Reason == ItemNoRoom {
			c.at.full(s.now)
		}
		s.pieceFailed(i, result.Reason)
		return
	case !wanted:
		c.at.bytes -= i.Bytes
		s.out = append(s.out, Action{Free: &Free{Address: c.at.Address, Handles: []string{result.Handle}}})
		return
	}
	st := &r.stages[i.Stage]
	st.handles[i.Piece] = result.Handle
	st.left--
	r.note(result.Handle, c.at)
	// A configuration may have turned the service into one without stages meanwhile.
	if svc := s.services[st.Service]; svc.Pieces != nil && (st.keptTill == 0 || s.now+svc.Pieces.Keep < st.keptTill) {
		st.keptTill = s.now + svc.Pieces.Keep
	}
	if st.left == 0 {
		r.unfinished--
		s.freeUsed(r, i.Stage)
		s.advance(r)
	}
}

func (s *Scheduler) pieceFailed(i Item, why ItemReason) {
	r, ok := s.requests[i.Key]
	if !ok {
		return
	}
	if why == ItemGone {
		s.loseInputs(r)
		return
	}
	s.again(i, true)
}

// inputsEnded reports whether results have ended that a waiting request still needs.
func (r *request) inputsEnded(now core.Millis) bool {
	for i := range r.stages {
		st := &r.stages[i]
		if st.keptTill > 0 && now > st.keptTill && r.needs(i) {
			return true
		}
	}
	return false
}

// needs reports whether the results of a stage are still to be used.
func (r *request) needs(stage int) bool {
	if slices.Contains(r.finalStages(), stage) {
		return true
	}
	for i := range r.stages {
		if r.stages[i].left > 0 && slices.Contains(r.stages[i].After, stage) {
			return true
		}
	}
	return false
}

// loseInputs prepares a request's inputs again, or gives it up when that would delay others.
func (s *Scheduler) loseInputs(r *request) {
	if r.remade >= maxRemakes || !s.hasSpare(r) {
		s.refuse(r, core.ReasonEndpointFailed, s.remaining(r))
		s.drop(r)
		return
	}
	r.remade++
	s.remake(r)
}

// again queues one piece once more; counted failures are bounded.
func (s *Scheduler) again(i Item, counted bool) {
	r, ok := s.requests[i.Key]
	if !ok || r.stages[i.Stage].handles[i.Piece] != "" {
		return
	}
	st := &r.stages[i.Stage]
	if counted {
		st.tries++
	}
	if st.tries > maxTries*max(1, st.Pieces) {
		s.refuse(r, core.ReasonEndpointFailed, 0)
		s.drop(r)
		return
	}
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

// remake prepares all inputs of a request again after one was lost.
func (s *Scheduler) remake(r *request) {
	s.release(r)
	r.released = false
	s.unqueue(r)
	r.unfinished = 0
	for i := range r.stages {
		r.stages[i] = newStage(r.stages[i].StageAsk)
		if r.stages[i].Pieces > 0 {
			r.unfinished++
		}
	}
	s.advance(r)
}

// hurryCalls starts the pieces of overdue calls elsewhere as well.
func (s *Scheduler) hurryCalls() {
	for _, number := range s.callNumbers() {
		c := s.calls[number]
		if c.overdue || s.now < c.overdueAt {
			continue
		}
		c.overdue = true
		c.at.slowed(float64(s.now-c.started) / max(1, float64(c.expected)))
		for _, i := range c.items {
			s.again(i, false)
		}
	}
}

func (s *Scheduler) callNumbers() []uint64 {
	list := make([]uint64, 0, len(s.calls))
	for n := range s.calls {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}
