package fleet

import (
	"math"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/speed"
)

// readWeight is the weight of the time to read a request's own prompt, beside its wait for the first byte. Without it, requests are
// spread to idle engines that do not hold their shared parts, and the reading that this costs overloads the engines in bursts: of 24 engines
// in place of 72, draft earns 0.942 without the weight, 0.983 with 2 and 0.998 with 4 (docs/design/speed.md).
const readWeight = 4.0

// RecordLoad records what the endpoint incarnation states of its load now, and reports whether that was used. Reports of
// another incarnation, and those that state no slowdown, change nothing.
func (f *Fleet) RecordLoad(now core.Millis, l core.Life, r order.LoadReport) bool {
	e, ok := f.endpoints[l.Endpoint]
	if !ok || e.Incarnation != l.Incarnation || e.service == nil {
		return false
	}
	first := !e.ReportsSpeed()
	if !e.speed.Record(now, r, e.service.speed) {
		return false
	}
	if first {
		// What was observed before includes the slowdown that is stated from now on.
		e.slowdown.value = 1
	}
	return true
}

// ReportsSpeed reports whether this incarnation of the endpoint has stated a slowdown.
func (e *Endpoint) ReportsSpeed() bool { return e.speed.Stated() }

// hasSpeed reports whether the estimates of core/speed hold for the endpoint: it has stated a slowdown, or it has not answered yet and
// others of its service have. If the latter counted as slower than those whose speed is known, they would get no requests and stay
// unknown.
func (e *Endpoint) hasSpeed() bool {
	return e.ReportsSpeed() || !e.silent && e.service != nil && e.service.speed.Stated()
}

// ReportAge returns the time since the endpoint last stated its slowdown, 0 if it never has.
func (e *Endpoint) ReportAge(now core.Millis) core.Millis { return e.speed.Age(now) }

// Speed returns the estimate of the speed that the service's endpoints share.
func (s *Service) Speed() *speed.Service { return s.speed }

// SlowdownAt returns the expected ratio of the time of work that starts now to the usual one. For an endpoint that states its
// slowdown, that is the stated one times the observed ratio to it.
func (e *Endpoint) SlowdownAt(now core.Millis) float64 { return e.slowdownOver(now, 0) }

// slowdownOver returns the mean slowdown that is expected from now on for a time in milliseconds.
func (e *Endpoint) slowdownOver(now core.Millis, span float64) float64 {
	if !e.hasSpeed() {
		return e.slowdown.value
	}
	return e.slowdown.value * e.speed.Over(now, span, e.service.speed)
}

// CallSlowdown returns the expected slowdown of a stage call that starts now and usually takes the given time in
// milliseconds.
func (e *Endpoint) CallSlowdown(now core.Millis, usual float64) float64 {
	return e.slowdownOver(now, usual)
}

// slowBound returns the slowdown above which an endpoint counts as slow. Endpoints that state their slowdown are compared
// with the usual slowdown of the service instead of with the fastest endpoint: their usual values may differ by more than
// SlowFactor, and all of them are worth using. The others are compared among themselves.
func (e *Endpoint) slowBound(now core.Millis) float64 {
	all, unstated := e.service.leastSlowdown(now)
	if e.hasSpeed() {
		return SlowFactor * max(all, e.service.speed.Usual())
	}
	return SlowFactor * unstated
}

// readTimeAt returns the predicted time in milliseconds to read a number of prompt tokens from now on.
func (e *Endpoint) readTimeAt(now core.Millis, tokens int) float64 {
	if !e.hasSpeed() {
		return e.slowdown.value * tokenTime * float64(tokens)
	}
	perToken := e.service.speed.TokenTime()
	span := perToken * float64(tokens) * e.speed.Usual(now, e.service.speed)
	return e.slowdownOver(now, span) * perToken * float64(tokens)
}

// readPenalty returns the penalty in milliseconds for the time in which an engine reads a request's prompt and that other requests
// wait for.
func (e *Endpoint) readPenalty(tokens int) float64 {
	if !e.hasSpeed() {
		return 0
	}
	return readWeight * e.service.speed.TokenTime() * float64(tokens)
}

// LearnReadTime learns how fast the service reads prompts from the first byte of a request's answer, elapsed milliseconds
// after its grant. Only an answer that states the endpoint's slowdown teaches something.
func (e *Endpoint) LearnReadTime(now core.Millis, l Load, elapsed core.Millis) {
	if e.service == nil || e.service.Engine == nil {
		return
	}
	e.silent = !e.ReportsSpeed()
	if slowdown, ok := e.speed.Latest(now); ok {
		e.service.speed.RecordFirstByte(l.AheadTokens+l.UnreadTokens, slowdown, elapsed)
	}
}

// BestFirstByte returns the shortest predicted time from a grant to the first byte of a prompt's answer, over the engines
// that can take the prompt now, in milliseconds. It reports false if there is no such engine whose speed is estimated.
func (s *Service) BestFirstByte(now core.Millis, p order.Prompt, c PrefixChain) (float64, bool) {
	if s.Engine == nil || !s.speed.Stated() {
		return 0, false
	}
	best := math.Inf(1)
	for _, e := range s.endpoints {
		if e.hasSpeed() && e.Usable(now) && e.Fits(p) {
			best = min(best, e.readTimeAt(now, e.unreadTokens+p.Tokens-e.CachedTokens(c)))
		}
	}
	return best + s.speed.BaseTime(), !math.IsInf(best, 1)
}

// AssumedSpeed returns the slowdown that is assumed of an endpoint now, and the age of its last report in milliseconds. Both
// are 0 for an endpoint that states no slowdown.
func (f *Fleet) AssumedSpeed(now core.Millis, id core.EndpointID) (slowdown float64, age core.Millis) {
	e, ok := f.endpoints[id]
	if !ok || e.service == nil || !e.ReportsSpeed() {
		return 0, 0
	}
	return e.SlowdownAt(now), e.ReportAge(now)
}

// EndpointSpeed is the estimate of an endpoint incarnation in the form in which another keeper may copy it.
type EndpointSpeed struct {
	Life core.Life
	speed.Observation
}

// EndpointSpeeds returns the estimates of the service's endpoints that state their slowdown, ordered by ID.
func (s *Service) EndpointSpeeds(now core.Millis) []EndpointSpeed {
	var list []EndpointSpeed
	for _, e := range s.endpoints {
		if e.ReportsSpeed() {
			list = append(list, EndpointSpeed{Life: e.Life(), Observation: e.speed.Observation(now)})
		}
	}
	return list
}

// RestoreSpeed takes over a copied estimate, unless the endpoint has another incarnation now or a later report.
func (f *Fleet) RestoreSpeed(now core.Millis, x EndpointSpeed) {
	if e, ok := f.endpoints[x.Life.Endpoint]; ok && e.Incarnation == x.Life.Incarnation {
		e.speed.Restore(now, x.Observation)
	}
}
