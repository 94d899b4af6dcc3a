package route

import (
	"math/rand/v2"
	"slices"

	"cyclamenford/core"
)

// Rule identifies the rule by which an endpoint was selected.
type Rule string

// The rules by which an endpoint can be selected.
const (
	PrefixHit     Rule = "PrefixHit"
	LeastLoaded   Rule = "LeastLoaded"
	OnlyCandidate Rule = "OnlyCandidate"
)

const (
	// prefixBonus is the utilisation subtracted from the score of an endpoint that caches the prompt's prefix.
	prefixBonus = 0.8
	// distancePenalty is the utilisation added to the score of an endpoint in another failure domain.
	distancePenalty = 0.1
	// slownessPenalty is the weight of an endpoint's slowness, relative to the pool's median, in its score.
	slownessPenalty     = 0.5
	maxHoldersPerPrefix = 4
	randomDraws         = 2
	medianStep          = 1.02
)

// Request describes the request for which an endpoint is selected.
type Request struct {
	// Prefix is a hash of the start of the prompt, by which cached prefixes are matched; 0 means none.
	Prefix uint64
	// Avoid lists endpoints on which this request has failed already.
	Avoid []core.EndpointID
	// Alone requires an endpoint that runs no other request of this host, and keeps others of this host from it until
	// the request ends.
	Alone bool
}

// Router selects endpoints for one host's requests within one pool.
type Router struct {
	domain    core.FailureDomain
	rng       *rand.Rand
	endpoints map[core.EndpointID]*endpoint
	// joinOrder lists the endpoints in the order in which they joined. Iterating it is deterministic, unlike the map.
	joinOrder     []*endpoint
	freeEndpoints []*endpoint
	prefixHolders map[uint64][]*endpoint
	// medianPace is the running median of actual to expected run time.
	medianPace float64
	slots      int
	// firstJoinedAt is the time at which the first endpoint joined the empty pool.
	firstJoinedAt core.Millis
	// hostShare is the fraction of each endpoint's slots that this host may use.
	hostShare float64
	// lastPauseEnd is the latest end of any endpoint's pause.
	lastPauseEnd core.Millis
}

// New returns a router without endpoints for a host in the given failure domain. It draws random numbers from rng only.
func New(domain core.FailureDomain, rng *rand.Rand) *Router {
	return &Router{
		domain: domain, rng: rng, medianPace: 1, hostShare: 1,
		endpoints: map[core.EndpointID]*endpoint{}, prefixHolders: map[uint64][]*endpoint{},
	}
}

// Slots returns the number of slots of all endpoints together.
func (r *Router) Slots() int {
	return r.slots
}

// Len returns the number of endpoints.
func (r *Router) Len() int {
	return len(r.endpoints)
}

// Restriction describes why an endpoint that is alive gets no new requests.
type Restriction struct {
	// Drained reports that an operator has drained the endpoint.
	Drained bool
	// PausedUntil is the end of the pause that the endpoint has requested from this host.
	PausedUntil core.Millis
	// Limited reports that the endpoint names a limit. Then this host asks for one permit at a time, so that the first in
	// the queue gets the next permit.
	Limited bool
}

// Announce adds an endpoint or updates it from a renewal. A new incarnation replaces the former one, whose cached
// prefixes and breaker state are dropped.
func (r *Router) Announce(now core.Millis, a core.Announcement, h Restriction) {
	e, ok := r.endpoints[a.ID]
	if ok && e.announcement.Incarnation != a.Incarnation {
		r.Remove(a.ID)
		ok = false
	}
	r.lastPauseEnd = max(r.lastPauseEnd, h.PausedUntil)
	if !ok {
		e = &endpoint{slowStartAt: now, freeIndex: -1, slowness: 1, prefixLastUse: map[uint64]uint64{}}
		if len(r.endpoints) == 0 {
			r.firstJoinedAt = now
		}
		if now-r.firstJoinedAt < slowStartTime {
			// The pool itself is new: no warm endpoints could serve the requests during a slow start, so skip it.
			e.slowStartAt = now - slowStartTime
		}
		r.endpoints[a.ID] = e
		r.joinOrder = append(r.joinOrder, e)
	} else {
		r.slots -= e.announcement.Slots
	}
	e.applyLoadReport(a.Load)
	e.announcement, e.restriction = a, h
	e.awaitsPermit = e.awaitsPermit && h.Limited
	r.slots += a.Slots
	r.applyCacheEvents(e, a.CacheEvents)
	r.updateFree(now, e)
}

// SetRestriction sets an endpoint's drain and pause, which stops or resumes new requests to it.
func (r *Router) SetRestriction(now core.Millis, id core.EndpointID, h Restriction) {
	if e, ok := r.endpoints[id]; ok {
		e.restriction = h
		e.awaitsPermit = e.awaitsPermit && h.Limited
		r.lastPauseEnd = max(r.lastPauseEnd, h.PausedUntil)
		r.updateFree(now, e)
	}
}

// PauseLeft returns the time until the first pause of an endpoint ends, or 0 if some endpoint isn't paused. It ignores
// drained endpoints and returns 0 if there are no others.
func (r *Router) PauseLeft(now core.Millis) core.Millis {
	if now >= r.lastPauseEnd {
		return 0
	}
	first := core.Millis(0)
	for _, e := range r.joinOrder {
		if e.restriction.Drained {
			continue
		}
		left := e.restriction.PausedUntil - now
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// Remove removes an endpoint.
func (r *Router) Remove(id core.EndpointID) {
	e, ok := r.endpoints[id]
	if !ok {
		return
	}
	delete(r.endpoints, id)
	r.joinOrder = slices.DeleteFunc(r.joinOrder, func(o *endpoint) bool { return o == e })
	r.slots -= e.announcement.Slots
	r.dropAllPrefixes(e)
	r.setFree(e, false)
}

// SetHostShare sets the fraction of each endpoint's slots that this host may use.
func (r *Router) SetHostShare(share float64) {
	r.hostShare = share
}

// Tick recomputes which endpoints can take requests, since breakers, pauses and slow starts depend on the time.
func (r *Router) Tick(now core.Millis) {
	for _, e := range r.joinOrder {
		r.updateFree(now, e)
	}
}

// Available reports whether some endpoint can take another request.
func (r *Router) Available() bool {
	return len(r.freeEndpoints) > 0
}

// Pick selects an endpoint for the request, counts the request as running there and assumes that the endpoint caches
// its prefix from now on. It returns false if no endpoint is eligible.
func (r *Router) Pick(now core.Millis, q Request) (core.EndpointID, Rule, bool) {
	e, rule := r.choose(now, q)
	if e == nil {
		return "", "", false
	}
	e.ownRunning++
	if e.openUntil > 0 {
		e.probing = true
	}
	e.awaitsPermit = e.restriction.Limited
	if q.Alone {
		e.aloneRunning++
	}
	if q.Prefix != 0 {
		r.addPrefix(e, q.Prefix)
	}
	r.updateFree(now, e)
	return e.announcement.ID, rule, true
}

// Finish ends a request and updates the endpoint's breaker and slowness from its result. Expected and took are the
// expected and the actual run time in milliseconds.
func (r *Router) Finish(now core.Millis, id core.EndpointID, q Request, ok bool, expected, took float64) {
	r.finish(now, id, q, func(e *endpoint) {
		if ok {
			e.recordSuccess(now, r.relativePace(expected, took))
		} else {
			e.recordFailure(now, breakerFailures)
		}
	})
}

// FinishUnreachable ends a request that failed because nothing listens at the endpoint's address, and opens its
// breaker at once.
func (r *Router) FinishUnreachable(now core.Millis, id core.EndpointID, q Request) {
	r.finish(now, id, q, func(e *endpoint) { e.recordFailure(now, 1) })
}

// Release ends a request without any effect on the endpoint's breaker or slowness.
func (r *Router) Release(now core.Millis, id core.EndpointID, q Request) {
	r.finish(now, id, q, func(e *endpoint) { e.awaitsPermit = false })
}

// PermitAnswered records that the ask for a permit that followed Pick was answered.
func (r *Router) PermitAnswered(now core.Millis, id core.EndpointID) {
	if e, ok := r.endpoints[id]; ok {
		e.awaitsPermit = false
		r.updateFree(now, e)
	}
}

// finish removes a request from the endpoint's counts and applies update to the endpoint.
func (r *Router) finish(now core.Millis, id core.EndpointID, q Request, update func(*endpoint)) {
	e, known := r.endpoints[id]
	if !known {
		return
	}
	e.ownRunning = max(0, e.ownRunning-1)
	if q.Alone {
		e.aloneRunning = max(0, e.aloneRunning-1)
	}
	update(e)
	e.probing = false
	r.updateFree(now, e)
}

// relativePace returns the ratio of actual to expected run time, relative to the pool's running median of that ratio,
// and moves the median one step towards this run.
func (r *Router) relativePace(expected, took float64) float64 {
	if expected <= 0 {
		return 1
	}
	pace := max(took, 1) / expected
	if pace > r.medianPace {
		r.medianPace *= medianStep
	} else {
		r.medianPace /= medianStep
	}
	return pace / r.medianPace
}

// choose returns the eligible endpoint with the lowest score among the holders of the prefix and randomDraws random
// endpoints with free slots. If none of these is eligible, it considers all endpoints with free slots.
func (r *Router) choose(now core.Millis, q Request) (*endpoint, Rule) {
	var best *endpoint
	bestScore, candidates := 0.0, 0
	consider := func(e *endpoint) {
		if e == best || !r.isEligible(now, e, q) {
			return
		}
		candidates++
		if s := r.score(now, e, q); best == nil || s < bestScore {
			best, bestScore = e, s
		}
	}
	for _, e := range r.prefixHolders[q.Prefix] {
		if q.Prefix != 0 {
			consider(e)
		}
	}
	for range randomDraws {
		if n := len(r.freeEndpoints); n > 0 {
			consider(r.freeEndpoints[r.rng.IntN(n)])
		}
	}
	if best == nil {
		for _, e := range r.freeEndpoints {
			consider(e)
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, ruleFor(best, q, candidates)
}

// ruleFor names the rule by which the endpoint was selected among the given number of candidates.
func ruleFor(e *endpoint, q Request, candidates int) Rule {
	if _, hit := e.prefixLastUse[q.Prefix]; hit && q.Prefix != 0 {
		return PrefixHit
	}
	if candidates == 1 {
		return OnlyCandidate
	}
	return LeastLoaded
}

// isEligible reports whether the endpoint has a free slot and meets the request's constraints.
func (r *Router) isEligible(now core.Millis, e *endpoint, q Request) bool {
	if !e.hasFreeSlot(now, r.hostShare) || slices.Contains(q.Avoid, e.announcement.ID) {
		return false
	}
	return !q.Alone || e.ownRunning == 0
}

// score rates an endpoint for a request by expected load, slowness, failure domain and cached prefix. Lower is better.
func (r *Router) score(now core.Millis, e *endpoint, q Request) float64 {
	s := e.expectedLoad(now, r.hostShare) + slownessPenalty*(max(e.slowness, 1)-1)
	if e.announcement.FailureDomain != r.domain {
		s += distancePenalty
	}
	if _, hit := e.prefixLastUse[q.Prefix]; hit && q.Prefix != 0 {
		s -= prefixBonus
	}
	return s
}

// updateFree recomputes whether the endpoint belongs in the list of those with free slots.
func (r *Router) updateFree(now core.Millis, e *endpoint) {
	if _, known := r.endpoints[e.announcement.ID]; known {
		r.setFree(e, e.hasFreeSlot(now, r.hostShare))
	}
}

// setFree adds an endpoint to the list of those with free slots, or removes it, in constant time. The list allows a
// random choice without a search.
func (r *Router) setFree(e *endpoint, free bool) {
	if free == (e.freeIndex >= 0) {
		return
	}
	if free {
		e.freeIndex = len(r.freeEndpoints)
		r.freeEndpoints = append(r.freeEndpoints, e)
		return
	}
	last := r.freeEndpoints[len(r.freeEndpoints)-1]
	r.freeEndpoints[e.freeIndex] = last
	last.freeIndex = e.freeIndex
	r.freeEndpoints = r.freeEndpoints[:len(r.freeEndpoints)-1]
	e.freeIndex = -1
}
