package fleet

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
)

const (
	// tokenTime is the assumed time to read one prompt token in milliseconds, without the endpoint's slowdown: 33
	// tokens a millisecond. It holds for endpoints that do not state their slowdown.
	tokenTime = 0.03
	// failurePenalty is added to the start cost of an endpoint in proportion to its failure rate, in milliseconds.
	failurePenalty = 1000.0
	// runningPenalty is added to the start cost of an engine for each running request, in milliseconds.
	runningPenalty = 1.0
	// loadPenalty is added to the start cost of a plain endpoint in proportion to its load, and to that of any endpoint
	// that has just started, in milliseconds. It is the time of a typical call.
	loadPenalty = 60.0
	// usableMemoryShare is the part of an engine's memory that may be planned for. The rest absorbs outputs that are
	// longer than expected.
	usableMemoryShare = 0.9
)

// Load is what one request takes up at an endpoint: the prompt tokens still to be read, and the tokens of the prompt
// and its output. AheadTokens are those of earlier requests that the endpoint still had to read at the grant.
type Load struct{ UnreadTokens, HeldTokens, AheadTokens int }

// StartCost returns the predicted time to the first byte in milliseconds plus penalties for failures, cold starts and
// load. cached is the number of prompt tokens that the endpoint already holds, and domain the failure domain of the
// requesting host.
func (e *Endpoint) StartCost(now core.Millis, p order.Prompt, cached int, domain core.FailureDomain) float64 {
	cost := e.failureRate.value * failurePenalty
	if now < e.coldUntil {
		cost += loadPenalty
	}
	if e.service.Engine == nil {
		cost += loadPenalty * e.SlowdownAt(now) * (1 + float64(e.running)/float64(max(1, e.Slots)))
		if e.FailureDomain != domain {
			cost++
		}
		return cost
	}
	unread := p.Tokens - cached
	return cost + e.readTimeAt(now, e.unreadTokens+unread) + e.readPenalty(unread) + runningPenalty*float64(e.running)
}

// ReadTime returns the predicted time in milliseconds that the engine takes to read a number of prompt tokens.
func (e *Endpoint) ReadTime(now core.Millis, tokens int) float64 { return e.readTimeAt(now, tokens) }

// CachedTokens returns the estimated number of prompt tokens that the endpoint's cache holds.
func (e *Endpoint) CachedTokens(c PrefixChain) int { return e.cache.cachedTokens(c) }

// AddRequest adds a request to the endpoint's load. It returns that load and the number of prompt tokens that were already
// cached.
func (e *Endpoint) AddRequest(p order.Prompt, c PrefixChain) (l Load, cached int) {
	if engine := e.service.Engine; engine != nil {
		cached = e.cache.cachedTokens(c)
		added, evicted := e.cache.insert(c, engine.CacheTokens)
		for _, prefix := range added {
			e.service.holders.add(prefix, e)
		}
		for _, prefix := range evicted {
			e.service.holders.remove(prefix, e)
		}
	}
	l = Load{UnreadTokens: p.Tokens - cached, HeldTokens: p.Tokens + p.Output, AheadTokens: e.unreadTokens}
	e.running++
	e.unreadTokens += l.UnreadTokens
	e.heldTokens += l.HeldTokens
	return l, cached
}

// RecordFirstByte records the first byte of a request's answer, which shows that the prompt has been read.
// elapsed is the time since the grant.
func (e *Endpoint) RecordFirstByte(l Load, elapsed core.Millis) {
	e.unreadTokens -= l.UnreadTokens
	if e.service != nil {
		e.service.firstByte.add(float64(elapsed))
	}
}

// RemoveRequest removes a request from the endpoint's load. promptRead reports whether its prompt has been
// read.
func (e *Endpoint) RemoveRequest(l Load, promptRead bool) {
	e.running--
	e.heldTokens -= l.HeldTokens
	if !promptRead {
		e.unreadTokens -= l.UnreadTokens
	}
}

// RecordEnding updates the failure rate, backoff and leaving state of the endpoint after an attempt.
func (e *Endpoint) RecordEnding(now core.Millis, ending order.AttemptOutcome) {
	switch ending {
	case order.Served:
		e.recordSuccess()
	case order.Erred:
		e.failureRate.add(1)
	case order.Abandoned, order.GoneInput, order.NotSent:
	case order.OtherEndpoint:
		e.leaving = true
	default:
		e.RecordFailure(now, ending)
	}
}
