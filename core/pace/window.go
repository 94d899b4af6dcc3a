package pace

import (
	"math"

	"cyclamenford/core"
)

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
	// doublingTime is the time in which the window of one of many hosts doubles by itself. With 78 hosts each of them sees an
	// answer of one endpoint only every few seconds; by answers alone, the played endpoint was idle for 0.69 of the time.
	doublingTime = core.Second
	// lateTime is the time from the start of the window or its last failure or refusal after which late first bytes hold nothing back any
	// more, and the window ends. The times of answers vary with their prompts: if a share p of them is late at a healthy endpoint, a window
	// that halves with each stays at about the square root of 2/p requests. Cold times and slow periods are over after a few seconds.
	lateTime = 10 * core.Second
	// cautiousFactor is how many times longer a doubling takes after a sign of overload.
	cautiousFactor = 2.0
)

// Window bounds the requests in progress at one endpoint. The zero value bounds nothing. It is not safe for concurrent use.
//
// The window doubles with each round of answers in time until the first sign of overload, and then grows by one request
// each round. Once it has reached the endpoint's slots, there is none. The window of one of many hosts also grows with time.
type Window struct {
	active bool
	limit  float64
	// probing means that no sign of overload has been seen yet.
	probing bool
	// startedAt is when the window was set up and shrunkAt when it last shrank. Requests that were sent before do not
	// change it.
	startedAt, shrunkAt core.Millis
	// failedAt is when the window was set up or last met a failure or a refusal.
	failedAt core.Millis
	// full is the number of requests at which the window ends, and share the part of the endpoint that the caller may use.
	full, share float64
	// grownAt is the time up to which limit has grown with time.
	grownAt core.Millis
}

// Started sets up the window of an endpoint with a number of slots that has started or recovered at now. share is the part of
// the endpoint that the caller may use, below 1 if several hosts use it without knowing of each other.
func (w *Window) Started(now core.Millis, slots int, share float64) {
	*w = Window{
		active: true, limit: initialLimit * share, probing: true, startedAt: now, shrunkAt: now, failedAt: now, grownAt: now,
		full: float64(max(1, slots)) * share, share: share,
	}
	w.end()
}

// Recovering sets up the window of an endpoint that has failed with a number of requests in progress. A window that is set
// up already only shrinks.
func (w *Window) Recovering(now, sentAt core.Millis, running, slots int, share float64) {
	if w.active {
		w.Failed(now, sentAt)
		return
	}
	w.Started(now, slots, share)
	w.limit = max(w.limit, shrinkFactor*float64(running))
	w.end()
}

// Answered records that the first byte of an answer has arrived at now, elapsed after the request was sent. usual is the
// time that the service usually takes and running the number of requests in progress with this one. elapsed and usual are in
// milliseconds.
func (w *Window) Answered(now, elapsed core.Millis, usual float64, running int) {
	sentAt := now - elapsed
	w.grow(now)
	switch {
	case !w.active || sentAt < w.startedAt:
		return
	case now-w.failedAt >= lateTime:
		*w = Window{}
		return
	case float64(elapsed) > lateFactor*usual:
		w.shrink(now, sentAt)
		return
	case float64(running) < fullShare*w.limit:
		return
	case w.probing:
		w.limit += w.share
	default:
		w.limit += w.share * w.share / max(w.limit, w.share)
	}
	w.end()
}

// grow lets the window of one of many hosts grow with time.
func (w *Window) grow(now core.Millis) {
	if !w.active || w.share >= 1 || now <= w.grownAt {
		return
	}
	doublings := float64(now-w.grownAt) / float64(doublingTime)
	if !w.probing {
		doublings /= cautiousFactor
	}
	w.limit *= math.Exp2(doublings)
	w.grownAt = now
	w.end()
}

// end removes a window that has reached the endpoint's slots.
func (w *Window) end() {
	if w.limit >= w.full {
		*w = Window{}
	}
}

// Failed shrinks the window after a failure or a refusal of a request that was sent at sentAt, once for all requests that
// were sent before the last time it shrank.
func (w *Window) Failed(now, sentAt core.Millis) {
	w.shrink(now, sentAt)
	if w.active && sentAt >= w.startedAt {
		w.failedAt = now
	}
}

func (w *Window) shrink(now, sentAt core.Millis) {
	w.grow(now)
	if !w.active || sentAt < w.shrunkAt {
		return
	}
	w.limit, w.probing, w.shrunkAt = max(minLimit*w.share, shrinkFactor*w.limit), false, now
}

// Active reports whether the window bounds anything.
func (w *Window) Active() bool { return w.active }

// Limit returns how many requests may be in progress, and false if the window does not bound them. It is below 1 where the
// caller may use only a part of one request at a time.
func (w *Window) Limit() (limit float64, active bool) { return w.limit, w.active }

// HasRoom reports whether one more request fits at now besides those in progress. draw is a number from 0 to 1, drawn at random,
// which decides about the part of a request that is left of the window.
func (w *Window) HasRoom(now core.Millis, running int, draw float64) bool {
	w.grow(now)
	return !w.active || float64(running)+draw < w.limit
}
