package door

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/notice"
	"cyclamenford/core/order"
	"cyclamenford/core/pace"
	"cyclamenford/core/roll"
)

// paced holds this host's window for an endpoint that has started or recovered.
type paced struct {
	window pace.Window
	// heldBack means that the endpoint has been held back, and gets no more than its window allows even if no other endpoint has room.
	heldBack bool
}

// isPaced reports whether a window applies to the endpoint: the system bounds its rate, or it states how long work takes there.
func (e *endpoint) isPaced() bool { return e.Listed.Bounded || e.reported.Stated() || e.paced.heldBack }

// share is the part of an endpoint's window that this host may use: the hosts do not know of each other's requests.
func (d *Selector) share() float64 { return 1 / float64(d.hosts) }

// paceListed sets up the window of an incarnation that the roll lists for the first time as cold. The endpoints of the first
// page get none: they may all be new, and windows at all of them would make the whole deployment slow.
func (d *Selector) paceListed(now core.Millis, e *endpoint, l roll.Listed) {
	if d.confirmedBefore && l.Cold > 0 {
		e.paced.window.Started(now, e.Slots, d.share())
	}
}

// withRoom returns the candidates whose windows have room for one more request, or all of them if none has: a plain request does not
// wait at the host, and no other endpoint could take the load of those that recover together.
func (d *Selector) withRoom(now core.Millis, candidates []*endpoint) []*endpoint {
	open := slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool {
		return e.isPaced() && !e.paced.window.HasRoom(now, e.running, d.rng.Float64())
	})
	if len(open) == 0 {
		return slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool { return e.paced.heldBack })
	}
	return open
}

// Restrain sends an incarnation nothing for some time, and then this host's part of half of the requests that it has now.
func (d *Selector) Restrain(now core.Millis, l core.Life, length core.Millis) {
	d.notices.Record(now, l, notice.Notice{Pause: length})
	if e, ok := d.endpoints[l.Endpoint]; ok && e.Incarnation == l.Incarnation {
		e.paced.heldBack = true
		e.paced.window.Recovering(now, now, e.running, e.Slots, d.share())
	}
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
