package fleet

import "cyclamenford/core"

// FreeBytes returns the bytes that are free for the results of new calls at a stage's endpoint.
func (e *Endpoint) FreeBytes() int64 {
	return e.service.Pieces.Room - e.resultBytes
}

// FreeShare returns the share of a stage endpoint's room that is free for the results of new calls.
func (e *Endpoint) FreeShare() float64 {
	if e.service.Pieces == nil {
		return 1
	}
	return float64(e.FreeBytes()) / float64(max(1, e.service.Pieces.Room))
}

// CanStartCall reports whether a stage's endpoint can start another call now. A slow endpoint can only when
// its next probe is due.
func (e *Endpoint) CanStartCall(now core.Millis) bool {
	if e.calls >= max(1, e.service.Pieces.Slots) || !e.Usable(now) || e.FreeBytes() <= 0 || !e.hasPace(e.calls) {
		return false
	}
	return !e.Slow(now) || now >= e.probeAt
}

// AddResults adds results that the endpoint already holds, made by calls of an earlier scheduler.
func (e *Endpoint) AddResults(bytes int64) { e.resultBytes += bytes }

// BeginCall counts a call and reserves the bytes of its results.
func (e *Endpoint) BeginCall(bytes int64) {
	e.calls++
	e.resultBytes += bytes
}

// EndCall removes a call that has ended. Its results still take up their bytes.
func (e *Endpoint) EndCall() { e.calls-- }

// FreeResults frees the bytes of results that were released or never made.
func (e *Endpoint) FreeResults(bytes int64) { e.resultBytes -= bytes }

// RecordNoRoom starts a backoff after a call that found no space for its results.
func (e *Endpoint) RecordNoRoom(now core.Millis) {
	e.backoffUntil = max(e.backoffUntil, now+fullBackoff)
}

// RecordOverdue multiplies the slowdown, for a call in progress that has already taken this many times its expected time.
func (e *Endpoint) RecordOverdue(factor float64) {
	e.slowdown.value *= max(1, factor)
	e.probeAt = 0
}

// RecordCall records a successful call with its actual and its expected time.
func (e *Endpoint) RecordCall(now, took, expected core.Millis) {
	e.recordSuccess()
	e.silent = !e.ReportsSpeed()
	if expected <= 0 {
		return
	}
	factor := float64(took) / float64(expected)
	e.slowdown.add(e.slowdown.value * factor)
	if e.ReportsSpeed() {
		if e.Slow(now) {
			e.probeAt = now + slowProbeInterval
		}
		return
	}
	if e.slowdown.value > SlowFactor {
		// A faster call lowers the slowdown at once, so that a recovered endpoint is used again without delay.
		e.slowdown.value = min(e.slowdown.value, max(1, e.slowdown.value*factor))
		e.probeAt = now + slowProbeInterval
	}
}
