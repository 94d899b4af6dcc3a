package fleet

import "cyclamenford/core"

// Room returns the bytes that results of new calls may take up at a stage's endpoint.
func (e *Endpoint) Room() int64 {
	return e.service.Pieces.Room - e.bytes
}

// Idle reports whether a stage's endpoint can start a call now; one that is too slow only when it is due to be tried again.
func (e *Endpoint) Idle(now core.Millis) bool {
	if e.calls >= max(1, e.service.Pieces.Slots) || !e.Usable(now) || e.Room() <= 0 {
		return false
	}
	return !e.Slow(now) || now >= e.retryAt
}

// Hold counts results that the endpoint holds already.
func (e *Endpoint) Hold(bytes int64) { e.bytes += bytes }

// BeginCall counts a call whose results will take up the given bytes.
func (e *Endpoint) BeginCall(bytes int64) {
	e.calls++
	e.bytes += bytes
}

// EndCall counts a call as ended; its results still take up their bytes.
func (e *Endpoint) EndCall() { e.calls-- }

// GiveBack notes that results are gone, or were never made.
func (e *Endpoint) GiveBack(bytes int64) { e.bytes -= bytes }

// Full notes that a call found no room for results.
func (e *Endpoint) Full(now core.Millis) {
	e.until = max(e.until, now+fullPause)
}

// Slowed notes that a call takes so many times as long as expected.
func (e *Endpoint) Slowed(times float64) {
	e.speed.value *= max(1, times)
	e.retryAt = 0
}

// LearnCall notes a whole call that took a time and had been expected to take another.
func (e *Endpoint) LearnCall(now, took, expected core.Millis) {
	e.well()
	if expected <= 0 {
		return
	}
	times := float64(took) / float64(expected)
	e.speed.add(e.speed.value * times)
	if e.speed.value > TooSlow {
		// A slow endpoint that has recovered is believed at once.
		e.speed.value = min(e.speed.value, max(1, e.speed.value*times))
		e.retryAt = now + slowRetry
	}
}
