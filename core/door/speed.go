package door

import (
	"math"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/speed"
)

// loadTime is the time in milliseconds after which the reported number of requests at an endpoint has decayed to 1/e. Plain
// calls take some tens of milliseconds, so that other requests are running there soon.
const loadTime = 100.0

// reported is what an endpoint states of its load and speed in its answers to this host.
type reported struct {
	speed.Endpoint
	last order.LoadReport
}

// RecordLoad records the load report in an answer of an incarnation that arrived now. Reports of another incarnation, and
// those that state no slowdown, change nothing.
func (d *Selector) RecordLoad(now core.Millis, l core.Life, r order.LoadReport) {
	e, ok := d.endpoints[l.Endpoint]
	if !ok || e.Incarnation != l.Incarnation {
		return
	}
	if e.reported.Record(now, r, d.service(e.Service).speed) {
		e.reported.last = r
	}
}

// ReportsSpeed reports whether an incarnation has stated a slowdown to this host.
func (d *Selector) ReportsSpeed(l core.Life) bool {
	e, ok := d.endpoints[l.Endpoint]
	return ok && e.Incarnation == l.Incarnation && e.reported.Stated()
}

// Assumed returns the slowdown that is assumed of an endpoint now, relative to what is usual for its service, and the age of the last
// report in milliseconds. Both are 0 if it has stated none.
func (d *Selector) Assumed(now core.Millis, id core.EndpointID) (slowdown float64, age core.Millis) {
	e, ok := d.endpoints[id]
	if !ok || !e.reported.Stated() {
		return 0, 0
	}
	return e.relativeSlowdown(now, d.service(e.Service)), e.reported.Age(now)
}

// relativeSlowdown returns the expected slowdown of an endpoint relative to what is usual for its service, 1 if it states
// none.
func (e *endpoint) relativeSlowdown(now core.Millis, s *service) float64 {
	if !e.reported.Stated() {
		return 1
	}
	return e.reported.Moment(now, s.speed) / s.speed.Usual()
}

// loadShare returns the share of an endpoint's slots that are in use: by requests of this host, or by those that the
// endpoint has reported lately.
func (e *endpoint) loadShare(now core.Millis) float64 {
	share := float64(e.running) / float64(max(1, e.Slots))
	if !e.reported.Stated() {
		return share
	}
	r := e.reported.last
	slots := r.Slots
	if slots == 0 {
		slots = e.Slots
	}
	load := float64(r.Running+r.Waiting) / float64(max(1, slots))
	return max(share, load*math.Exp(-float64(e.reported.Age(now))/loadTime))
}
