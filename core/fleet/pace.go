package fleet

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/pace"
)

// paced holds the window of an endpoint that has started or recovered.
type paced struct {
	window pace.Window
	// heldBack means that the endpoint has been held back, so that its window counts.
	heldBack bool
}

// isPaced reports whether a window applies to the endpoint: its service has a bound for cold endpoints, or its endpoints state how
// long work takes there.
func (e *Endpoint) isPaced() bool { return e.HasColdBound() || e.hasSpeed() || e.paced.heldBack }

// hasPace reports whether the endpoint's window has room for one more request or call besides those in progress. The window
// is the only one of the endpoint, so that it does not depend on the time.
func (e *Endpoint) hasPace(running int) bool {
	return !e.isPaced() || e.paced.window.HasRoom(0, running, 0)
}

// Window returns the endpoint's window in requests, or false if none applies.
func (e *Endpoint) Window() (float64, bool) {
	size, active := e.paced.window.Limit()
	return size, active && e.isPaced()
}

// slots returns how many requests or calls an endpoint has in progress at most.
func (e *Endpoint) slots() int {
	switch {
	case e.service.Engine != nil:
		return max(1, e.service.Engine.Slots)
	case e.service.Pieces != nil:
		return max(1, e.service.Pieces.Slots)
	}
	return max(1, e.Slots)
}

// learningTime is how long a scheduler takes to learn of all endpoints of a service that announce no cold time: several periods of
// announcements.
const learningTime = 5 * core.Second

// paceStarted sets up the window of an incarnation that is seen for the first time and says that it has just started, or that must
// have started since the scheduler knows its service.
//
// While the scheduler learns of the endpoints of a service for the first time there is no window: all endpoints are new then, and
// windows at all of them would make a whole deployment slow. The cold bound holds nevertheless.
func (e *Endpoint) paceStarted(now core.Millis) {
	known := now - e.service.knownSince
	switch {
	case !e.isPaced() || e.service.knownSince == 0:
		return
	case e.Endpoint.Cold > 0 && e.HasColdBound():
		if known < e.service.ColdTime {
			return
		}
	case known < learningTime:
		return
	}
	e.paced.window.Started(now, e.slots(), 1)
}

// RecordPace records the first byte of an answer, elapsed milliseconds after the request was sent, or a successful call.
// usual is the usual time in milliseconds and running counts the requests or calls in progress with this one.
func (e *Endpoint) RecordPace(now, elapsed core.Millis, usual float64, running int) {
	if e.paced.window.Active() && e.service != nil {
		e.paced.window.Answered(now, elapsed, usual, running)
	}
}

// Running returns the number of granted requests in progress.
func (e *Endpoint) Running() int { return e.running }

// Calls returns the number of stage calls in progress.
func (e *Endpoint) Calls() int { return e.calls }

// RecordPaceEnding records the ending of an attempt or call that was sent at sentAt. A connection that failed means that the
// endpoint may have crashed or been cut off, so that it begins anew.
func (e *Endpoint) RecordPaceEnding(now, sentAt core.Millis, ending order.AttemptOutcome, running int) {
	if !e.isPaced() {
		return
	}
	switch ending {
	case order.Unreachable:
		e.paced.window.Started(now, e.slots(), 1)
	case order.Broken, order.Garbled, order.Late:
		e.paced.window.Recovering(now, sentAt, running, e.slots(), 1)
	case order.Rejected:
		e.paced.window.Failed(now, sentAt)
	}
}

// seen records that an incarnation has become known.
func (e *Endpoint) seen(now core.Millis) {
	if e.service == nil {
		return
	}
	if e.service.knownSince == 0 {
		e.service.knownSince = now
	}
	e.paceStarted(now)
}

// HoldBack stops new work for the endpoint until the given time, and then lets it have half as many requests at once as it has now.
func (e *Endpoint) HoldBack(now, until core.Millis) {
	e.PauseUntil(until)
	if e.service == nil {
		return
	}
	e.paced.heldBack = true
	e.paced.window.Recovering(now, now, max(e.running, e.calls), e.slots(), 1)
}
