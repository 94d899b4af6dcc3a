package door

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/pace"
	"cyclamenford/core/roll"
)

// paced holds this host's window for an endpoint that has started or recovered.
type paced struct {
	window pace.Window
	// reportsSpeed means that the endpoint's answers state how long work takes there.
	reportsSpeed bool
}

// isPaced reports whether a window applies to the endpoint.
func (e *endpoint) isPaced() bool { return e.Listed.Bounded && e.paced.reportsSpeed }

// share is the part of an endpoint's window that this host may use: the hosts do not know of each other's requests.
func (d *Selector) share() float64 { return 1 / float64(d.hosts) }

// paceListed sets up the window of an incarnation that the roll lists for the first time as cold. The endpoints of the first
// page get none: they may all be new, and windows at all of them would make the whole deployment slow.
func (d *Selector) paceListed(now core.Millis, e *endpoint, l roll.Listed) {
	if d.confirmedBefore && l.Cold > 0 {
		e.paced.window.Started(now, e.Slots, d.share())
	}
}

// withRoom returns the candidates whose windows have room for one more request. It may return none: their requests are
// refused at once then, since a plain request does not wait at the host.
func (d *Selector) withRoom(now core.Millis, candidates []*endpoint) []*endpoint {
	return slices.DeleteFunc(candidates, func(e *endpoint) bool {
		return e.isPaced() && !e.paced.window.HasRoom(now, e.running, d.rng.Float64())
	})
}

// recordPace updates the window of an endpoint after an attempt, before the attempt is removed from those in progress. callTime
// is the service's usual call time in milliseconds.
func (d *Selector) recordPace(now core.Millis, e *endpoint, ending order.AttemptOutcome, took core.Millis, callTime float64) {
	w := &e.paced.window
	switch ending {
	case order.Served:
		w.Answered(now, took, callTime, e.running)
	case order.Rejected:
		w.Failed(now, now-took)
	case order.Unreachable:
		w.Started(now, e.Slots, d.share())
	case order.Broken, order.Garbled, order.Late:
		w.Recovering(now, now-took, e.running, e.Slots, d.share())
	}
}

// Windows returns how many endpoints have a window at this host.
func (d *Selector) Windows() int {
	n := 0
	for _, e := range d.endpoints {
		if e.isPaced() && e.paced.window.Active() {
			n++
		}
	}
	return n
}
