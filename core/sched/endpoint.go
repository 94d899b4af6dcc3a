package sched

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

const (
	// learnShare is the weight of a new observation in an estimate: about the last ten count.
	learnShare = 0.1
	// firstByteGuess is the time to the first byte of a service that was never used, in milliseconds.
	firstByteGuess = 120.0
	// tokenGuess is the milliseconds for one prompt token before any was observed: 33 tokens a millisecond.
	tokenGuess = 0.03
	// firstPause is how long an endpoint is left alone after a first failure; it doubles up to longestPause.
	firstPause   = 250 * core.Millis(1)
	longestPause = 4 * core.Second
	// failureWeight is the milliseconds that an endpoint which fails everything is put back.
	failureWeight = 1000.0
	// runningWeight is the milliseconds that each request running at an engine adds to another's start.
	runningWeight = 1.0
	// loadWeight is the milliseconds that a fully taken plain endpoint is put back: a typical call.
	loadWeight = 60.0
	// memoryShare is the part of an engine's memory that is planned for, which leaves room for output longer than expected.
	memoryShare = 0.9
)

// estimate is an average that follows the observations.
type estimate struct{ value float64 }

func (e *estimate) add(v float64) {
	e.value += learnShare * (v - e.value)
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	Endpoint
	service  *service
	leaving  bool
	coldTill core.Millis
	// calls and bytes are those of a stage's endpoint.
	calls int
	bytes int64
	// running counts granted requests, reading their unread prompt tokens, memory what they occupy.
	running int
	reading int
	memory  int
	cache   *cache
	// speed is the observed time against the expected one; failing is the share of failed attempts.
	speed   estimate
	failing estimate
	pause   core.Millis
	until   core.Millis
	// retryAt is when a slow endpoint may be tried again.
	retryAt core.Millis
}

// Join makes an endpoint known or updates it; a leaving endpoint gets nothing new.
func (s *Scheduler) Join(now core.Millis, e Endpoint, leaving bool) {
	s.now = now
	known, ok := s.endpoints[e.ID]
	if ok && known.Incarnation != e.Incarnation {
		s.Part(now, e.ID)
		ok = false
	}
	if !ok {
		known = &endpoint{cache: newCache(), speed: estimate{value: 1}}
		s.endpoints[e.ID] = known
	}
	known.Endpoint = e
	known.leaving = leaving
	known.coldTill = now + e.Cold
	s.attach(known)
	s.pump()
}

// Part forgets an endpoint that has ended.
func (s *Scheduler) Part(now core.Millis, id core.EndpointID) {
	s.now = now
	e, ok := s.endpoints[id]
	if !ok {
		return
	}
	delete(s.endpoints, id)
	e.leaving = true
	if e.service != nil {
		e.service.endpoints = slices.DeleteFunc(e.service.endpoints, func(x *endpoint) bool { return x == e })
	}
}

// attach puts an endpoint into the list of its service.
func (s *Scheduler) attach(e *endpoint) {
	svc := s.services[e.Service]
	if e.service == svc && svc != nil {
		return
	}
	if e.service != nil {
		e.service.endpoints = slices.DeleteFunc(e.service.endpoints, func(x *endpoint) bool { return x == e })
	}
	e.service = svc
	if svc == nil {
		return
	}
	at, _ := slices.BinarySearchFunc(svc.endpoints, e, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	svc.endpoints = slices.Insert(svc.endpoints, at, e)
}

func (e *endpoint) usable(now core.Millis) bool {
	return !e.leaving && now >= e.until
}

// room is the bytes that results of new calls may take up.
func (e *endpoint) room(svc *service) int64 {
	return svc.Pieces.Room - e.bytes
}

// failed leaves an endpoint alone for a while, longer with each failure in a row.
func (e *endpoint) failed(now core.Millis, how Ending) {
	if how == Rejected || how == Abandoned || how == GoneInput {
		e.until = max(e.until, now+rejectedPause)
		return
	}
	e.failing.add(1)
	e.pause = min(longestPause, max(firstPause, e.pause*2))
	e.until = now + e.pause
}

// rejectedPause is how long an endpoint that is full is left alone: about the time in which one of its slots comes free.
const rejectedPause = 20 * core.Millis(1)

const (
	// tooSlow times the speed of the fastest endpoint of the service is when another is used only to try it again.
	tooSlow = 2.0
	// slowRetry is how often a slow endpoint is tried again: its calls are far longer than others.
	slowRetry = 3 * core.Second
	// fullPause is how long a stage's endpoint without room is left alone: results are given up within about a call.
	fullPause = 200 * core.Millis(1)
	// fastest bounds the speed that is learned from a short call.
	fastest = 0.3
)

// slowed notes that a call takes so many times as long as expected.
func (e *endpoint) slowed(times float64) {
	e.speed.value *= max(1, times)
	e.retryAt = 0
}

func (e *endpoint) full(now core.Millis) {
	e.until = max(e.until, now+fullPause)
}

// slow reports whether an endpoint takes far longer than the fastest of its service.
func (e *endpoint) slow(svc *service, now core.Millis) bool {
	return e.speed.value > tooSlow*svc.fastestSpeed(now)
}

func (svc *service) fastestSpeed(now core.Millis) float64 {
	best := 0.0
	for _, e := range svc.endpoints {
		if e.usable(now) && (best == 0 || e.speed.value < best) {
			best = e.speed.value
		}
	}
	return max(fastest, best)
}

func (e *endpoint) well() {
	e.failing.add(0)
	e.pause = 0
}

func (s *Scheduler) learnCall(c *call) {
	c.at.well()
	if c.expected > 0 {
		times := float64(s.now-c.started) / float64(c.expected)
		c.at.speed.add(c.at.speed.value * times)
		if c.at.speed.value > tooSlow {
			// A slow endpoint that has recovered is believed at once.
			c.at.speed.value = min(c.at.speed.value, max(1, c.at.speed.value*times))
			c.at.retryAt = s.now + slowRetry
		}
	}
}

func (s *Scheduler) learnFirstByte(r *request) {
	took := float64(s.now - r.granted)
	if r.at.service != nil {
		r.at.service.first.add(took)
	}
}

func (s *Scheduler) learnEnding(r *request, how Ending) {
	switch how {
	case Served:
		r.at.well()
	case Erred:
		r.at.failing.add(1)
	case Abandoned, GoneInput:
	case OtherEndpoint:
		r.at.leaving = true
	default:
		r.at.failed(s.now, how)
	}
}

// leaveEndpoint takes a request off its endpoint.
func (s *Scheduler) leaveEndpoint(r *request) {
	if r.at == nil {
		return
	}
	r.at.running--
	r.at.memory -= r.held
	if !r.began {
		r.at.reading -= r.reading
	}
	r.at, r.began = nil, false
}

// place grants the waiting requests of a service, the most urgent first, as far as endpoints are free.
func (s *Scheduler) place(svc *service) {
	if len(svc.waiting) == 0 {
		return
	}
	rest := core.Millis(svc.first.value)
	slices.SortStableFunc(svc.waiting, func(a, b *request) int { return cmp.Compare(s.rank(a, rest), s.rank(b, rest)) })
	var still []*request
	for _, r := range svc.waiting {
		e, cost := s.choose(svc, r)
		if e == nil {
			still = append(still, r)
			continue
		}
		s.grant(svc, r, e, cost)
	}
	svc.waiting = still
}

// choose returns the endpoint at which the request is expected to start first, and that time, or nil if all are taken.
func (s *Scheduler) choose(svc *service, r *request) (*endpoint, float64) {
	var best *endpoint
	var least float64
	for _, e := range svc.endpoints {
		if !e.usable(s.now) || slices.Contains(r.tried, e.ID) || !e.fits(svc, r) {
			continue
		}
		cost := s.cost(svc, r, e)
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best, least
}

func (e *endpoint) fits(svc *service, r *request) bool {
	if svc.Engine == nil {
		return e.running < max(1, e.Slots)
	}
	need := r.Prompt.Tokens + r.Prompt.Output
	return e.running < svc.Engine.Slots &&
		(e.running == 0 || e.memory+need <= int(memoryShare*float64(svc.Engine.CacheTokens)))
}

// cost is the predicted time to the first byte in milliseconds, with what speaks against the endpoint added to it.
func (s *Scheduler) cost(svc *service, r *request, e *endpoint) float64 {
	cost := e.failing.value * failureWeight
	if s.now < e.coldTill {
		cost += loadWeight
	}
	if svc.Engine == nil {
		cost += loadWeight * e.speed.value * (1 + float64(e.running)/float64(max(1, e.Slots)))
		if e.FailureDomain != r.FailureDomain {
			cost++
		}
		return cost
	}
	unread := r.Prompt.Tokens - e.cache.held(r.chain, r.Prompt.Parts)
	cost += e.speed.value * tokenGuess * float64(e.reading+unread)
	cost += runningWeight * float64(e.running)
	return cost + s.crossing(r, e)
}

// crossing weighs the results that would have to leave their failure domain.
func (s *Scheduler) crossing(r *request, e *endpoint) float64 {
	var bytes int64
	for _, i := range r.finalStages() {
		st := r.stages[i]
		for _, h := range st.handles {
			if maker, ok := r.maker(h); ok && maker.FailureDomain != e.FailureDomain {
				bytes += st.Bytes
			}
		}
	}
	return crossWeight * float64(bytes) / megabyte
}

func (s *Scheduler) grant(svc *service, r *request, e *endpoint, cost float64) {
	cached := 0
	if svc.Engine != nil {
		cached = e.cache.held(r.chain, r.Prompt.Parts)
		e.cache.add(r.chain, r.Prompt.Parts, svc.Engine.CacheTokens)
	}
	r.at, r.granted, r.began = e, s.now, false
	r.reading = r.Prompt.Tokens - cached
	r.held = r.Prompt.Tokens + r.Prompt.Output
	r.attempts++
	r.tried = append(r.tried, e.ID)
	e.running++
	e.reading += r.reading
	e.memory += r.held
	s.out = append(s.out, Action{Grant: &Grant{
		Key: r.Key, ID: r.ID, Endpoint: e.ID, Address: e.Address, Inputs: r.inputs(r.finalStages()),
		Attempt: r.attempts, Waited: s.now - r.arrived, Expected: core.Millis(cost), Cached: cached,
	}})
}

// home returns the failure domain whose engine holds most of the request's prompt, or none.
func (s *Scheduler) home(r *request) core.FailureDomain {
	svc, ok := s.services[r.Service]
	if !ok || svc.Engine == nil || len(r.Prompt.Parts) == 0 {
		return ""
	}
	best, most := core.FailureDomain(""), 0
	for _, e := range svc.endpoints {
		if held := e.cache.held(r.chain, r.Prompt.Parts); held > most && e.usable(s.now) {
			best, most = e.FailureDomain, held
		}
	}
	return best
}
