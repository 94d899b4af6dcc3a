package fleet

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
)

// certainMemoryShare is the part of an engine's memory that a new scheduler may use before it knows what the engine runs. An earlier
// scheduler planned usableMemoryShare at most, so two takeovers in a row stay within the rest.
const certainMemoryShare = (1 - usableMemoryShare) / 2

// maxObservationAge is the age from which an observation of an earlier scheduler says nothing about the present.
const maxObservationAge = 10 * core.Second

// Engine returns the endpoint of a generating service by ID. It reports false if a different incarnation was announced last.
func (f *Fleet) Engine(id core.EndpointID, life core.Incarnation) (*Endpoint, bool) {
	e, ok := f.endpoints[id]
	return e, ok && e.Incarnation == life && e.IsEngine()
}

// IsEngine reports whether the endpoint belongs to a generating service.
func (e *Endpoint) IsEngine() bool { return e.service != nil && e.service.Engine != nil }

// Memory returns the tokens that an engine's running requests and cached prompt parts may take up.
func (e *Endpoint) Memory() int { return e.service.Engine.CacheTokens }

// PlannedMemory returns the part of Memory that may be planned for.
func (e *Endpoint) PlannedMemory() int { return int(usableMemoryShare * float64(e.Memory())) }

// AddInherited adds a request to an engine's load that an earlier scheduler granted. Its prompt is assumed to be cached.
func (e *Endpoint) AddInherited(l Load, c PrefixChain) {
	e.running++
	e.unreadTokens += l.UnreadTokens
	e.heldTokens += l.HeldTokens
	e.inheritedTokens += l.HeldTokens
	added, evicted := e.cache.insert(c, e.Memory())
	for _, prefix := range added {
		e.service.holders.add(prefix, e)
	}
	for _, prefix := range evicted {
		e.service.holders.remove(prefix, e)
	}
}

// BeginInherited records that the prompt of an inherited request has been read.
func (e *Endpoint) BeginInherited(l Load) { e.unreadTokens -= l.UnreadTokens }

// RemoveInherited removes an inherited request from an engine's load. promptRead reports whether its prompt has been read.
func (e *Endpoint) RemoveInherited(l Load, promptRead bool) {
	e.inheritedTokens -= l.HeldTokens
	e.RemoveRequest(l, promptRead)
}

// FitsBeside reports whether an engine has room for a prompt and its output beside its known load and a number of tokens that an
// earlier scheduler may have granted. A small amount of new work fits in any case.
func (e *Endpoint) FitsBeside(p order.Prompt, unknownTokens int) bool {
	tokens := p.Tokens + p.Output
	if float64(e.heldTokens-e.inheritedTokens+tokens) <= certainMemoryShare*float64(e.Memory()) {
		return true
	}
	return e.heldTokens+unknownTokens+tokens <= e.PlannedMemory()
}

// Observed returns what is observed of the endpoint at present.
func (e *Endpoint) Observed(now core.Millis) order.Observation {
	return order.Observation{
		Slowdown: e.slowdown.value, FailureRate: e.failureRate.value, Backoff: e.backoff, BackoffLeft: max(0, e.backoffUntil-now),
	}
}

// ApplyObservation takes over what an earlier scheduler observed of the endpoint, unless that is invalid or too old.
func (e *Endpoint) ApplyObservation(now core.Millis, o order.Observation) {
	valid := o.Slowdown > 0 && o.FailureRate >= 0 && o.FailureRate <= 1 && o.Age >= 0
	if !valid || o.Age >= maxObservationAge {
		return
	}
	e.slowdown.value, e.failureRate.value = o.Slowdown, o.FailureRate
	e.backoff = min(maxBackoff, max(0, o.Backoff))
	e.backoffUntil = max(e.backoffUntil, now+min(maxBackoff, o.BackoffLeft-o.Age))
}

// Observed returns what is observed of an endpoint's incarnation, or false if it is not known.
func (f *Fleet) Observed(now core.Millis, life core.Life) (order.Observation, bool) {
	e, ok := f.endpoints[life.Endpoint]
	if !ok || e.Incarnation != life.Incarnation {
		return order.Observation{}, false
	}
	return e.Observed(now), true
}

// ApplyObservation takes over an observation of an endpoint's incarnation if that is known.
func (f *Fleet) ApplyObservation(now core.Millis, life core.Life, o order.Observation) {
	if e, ok := f.endpoints[life.Endpoint]; ok && e.Incarnation == life.Incarnation {
		e.ApplyObservation(now, o)
	}
}
