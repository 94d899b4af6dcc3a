package pace

import "cyclamenford/core"

const (
	// initialLimit is the size of the window of an endpoint that has started: one request that runs, and one more, so that
	// the endpoint is not idle while the next grant is on its way.
	initialLimit = 2.0
	// minLimit is the smallest window. An endpoint without any request in progress could never show that it has recovered.
	minLimit = 1.0
	// shrinkFactor is what is left of a window after a failure, a refusal or a late first byte.
	shrinkFactor = 0.5
	// lateFactor is the multiple of the usual time from which a first byte is late. The times of healthy endpoints differ by
	// a factor of up to 1.7 from the usual one.
	lateFactor = 2.0
	// fullShare is the part of the window that must be in use for an answer to enlarge it. An answer at an almost idle
	// endpoint says nothing about what it bears.
	fullShare = 0.5
)

// Window bounds the requests in progress at one endpoint. The zero value bounds nothing. It is not safe for concurrent use.
//
// The window doubles with each round of answers in time until the first sign of overload, and then grows by one request
// each round. Once it has reached the endpoint's slots, there is none.
type Window struct {
	active bool
	limit  float64
	// probing means that no sign of overload has been seen yet.
	probing bool
	// startedAt is when the window was set up and shrunkAt when it last shrank. Requests that were sent before do not
	// change it.
	startedAt, shrunkAt core.Millis
}

// Started sets up the window of an endpoint that has started or recovered at now. share is the part of the window that
// the caller may use, below 1 if several hosts use the endpoint without knowing of each other.
func (w *Window) Started(now core.Millis, share float64) {
	*w = Window{active: true, limit: initialLimit * share, probing: true, startedAt: now, shrunkAt: now}
}

// Recovering sets up the window of an endpoint that has failed with a number of requests in progress. A window that is set
// up already only shrinks.
func (w *Window) Recovering(now, sentAt core.Millis, running int, share float64) {
	if w.active {
		w.Failed(now, sentAt, share)
		return
	}
	w.Started(now, share)
	w.limit = max(w.limit, shrinkFactor*float64(running))
}

// Answered records that the first byte of an answer has arrived at now, elapsed after the request was sent. usual is the
// time that the service usually takes, running the number of requests in progress with this one, and slots the number that
// the caller may have in progress at most. elapsed and usual are in milliseconds.
func (w *Window) Answered(now, elapsed core.Millis, usual float64, running int, slots, share float64) {
	sentAt := now - elapsed
	switch {
	case !w.active || sentAt < w.startedAt:
		return
	case float64(elapsed) > lateFactor*usual:
		w.Failed(now, sentAt, share)
		return
	case float64(running) < fullShare*w.limit:
		return
	case w.probing:
		w.limit += share
	default:
		w.limit += share * share / max(w.limit, share)
	}
	if w.limit >= slots {
		*w = Window{}
	}
}

// Failed shrinks the window after a failure or a refusal of a request that was sent at sentAt, once for all requests that
// were sent before the last time it shrank.
func (w *Window) Failed(now, sentAt core.Millis, share float64) {
	if !w.active || sentAt < w.shrunkAt {
		return
	}
	w.limit, w.probing, w.shrunkAt = max(minLimit*share, shrinkFactor*w.limit), false, now
}

// Active reports whether the window bounds anything.
func (w *Window) Active() bool { return w.active }

// Limit returns how many requests may be in progress, and false if the window does not bound them. It is below 1 where the
// caller may use only a part of one request at a time.
func (w *Window) Limit() (limit float64, active bool) { return w.limit, w.active }

// HasRoom reports whether one more request fits besides those in progress. draw is a number from 0 to 1, drawn at random,
// which decides about the part of a request that is left of the window.
func (w *Window) HasRoom(running int, draw float64) bool {
	return !w.active || float64(running)+draw < w.limit
}
