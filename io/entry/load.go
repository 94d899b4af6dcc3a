package entry

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/assign"
)

// headerWarnPeriod is the time in which the log names an endpoint's unreadable headers once.
const headerWarnPeriod = 10 * core.Second

// heardLoad is a load report of an endpoint incarnation that the scheduler has not been told yet.
type heardLoad struct {
	life   core.Life
	report order.LoadReport
}

// recordLoad records what an endpoint states of its load in an answer: for this host's own choices, or to be told to the scheduler with
// the next event of the request. Only reports that state a slowdown are used.
func (r *request) recordLoad(g *order.Grant, report order.LoadReport) {
	if !report.Stated || report.Slowness == 0 {
		return
	}
	life := core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	r.entry.meter.Count("endpoint_speed_reports_total", 1)
	if r.plain {
		r.entry.chooser.recordLoad(life, report)
		return
	}
	r.heardLoad = heardLoad{life: life, report: report}
}

// takeLoad returns the load report that the scheduler is to be told, if there is one, and clears it.
func (r *request) takeLoad() heardLoad {
	heard := r.heardLoad
	r.heardLoad = heardLoad{}
	return heard
}

// loadNotice returns the event that tells the scheduler the load report of an ended attempt, or nil.
func (r *request) loadNotice() *assign.RequestEvent {
	heard := r.takeLoad()
	if !heard.report.Stated {
		return nil
	}
	return &assign.RequestEvent{Key: r.key, Life: heard.life, Load: heard.report}
}

// recordLoad records the load report of an endpoint incarnation for later choices.
func (c *endpointChooser) recordLoad(life core.Life, report order.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.door.RecordLoad(c.clock.Now(), life, report)
}

// assumedSpeed returns the slowdown that this host assumes of an endpoint and the age of the last report.
func (c *endpointChooser) assumedSpeed(id core.EndpointID) (slowdown float64, age core.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.Assumed(c.clock.Now(), id)
}
