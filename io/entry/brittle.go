package entry

import (
	"cyclamenford/core"
	"cyclamenford/core/brittle"
	"cyclamenford/core/order"
	relay "cyclamenford/io"
)

// recordRefusal reports the refusal of a brittle endpoint to the leader, which counts those of all hosts, and holds the endpoint back on this host.
// The scheduler holds it back for requests that are not plain.
func (r *request) recordRefusal(g *order.Grant, verdict relay.EndpointResponse) {
	if !verdict.LacksRoom() {
		return
	}
	e := r.entry
	life := core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	e.log.Info("brittle endpoint refused", "request", r.incoming.ID, "endpoint", g.Endpoint, "incarnation", g.Life, "bears", verdict.Brittle.Bears)
	e.events.addRefusal(life, verdict.Brittle.Bears)
	if r.plain {
		e.chooser.restrain(life, e.ownHold(verdict.Brittle.Bears))
	}
}

// ownHold returns for how long this host holds back a brittle endpoint that has refused it: without a leader, which counts the refusals to all hosts,
// as long as they count.
func (e *Entry) ownHold(bears int) core.Millis {
	if e.clock.Now()-e.control.LastLeaderContact() > leaderTimeout {
		return brittle.Window
	}
	return brittle.Spacing(bears)
}

// restrain sends an endpoint nothing for some time, and then fewer requests at once.
func (c *endpointChooser) restrain(life core.Life, length core.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.door.Restrain(c.clock.Now(), life, length)
}
