package entry

import (
	"math/rand/v2"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

// The retry delay of a request whose service has endpoints in evacuated failure domains only is drawn between these bounds, so that the
// clients do not return together.
const (
	minEvacuatedRetryAfter = core.Second
	maxEvacuatedRetryAfter = 5 * core.Second
)

// isEvacuated reports whether the failure domain of a grant's endpoint is evacuated by the newest control state that this host has
// applied. The grant may be older than the operator's order.
func (r *request) isEvacuated(g *order.Grant) bool {
	e := r.entry
	domain, life := g.FailureDomain, core.Life{Endpoint: g.Endpoint, Incarnation: g.Life}
	if domain == "" {
		// A scheduler of an earlier release does not name it.
		domain = e.chooser.domainOf(life)
	}
	image := e.control.Image()
	if !image.IsEvacuated(domain) {
		return false
	}
	order := image.Evacuated[domain]
	e.log.Info("endpoint not used: its failure domain is evacuated", "request", r.incoming.ID, "endpoint", g.Endpoint, "domain", domain,
		"revision", order.Revision, "order_age_ms", e.clock.Unix()-order.Unix)
	e.meter.Count("sent_elsewhere_total", 1, "why", "evacuated")
	return true
}

// evacuatedProblem returns the refusal of a request whose service has endpoints in evacuated failure domains only.
func (r *request) evacuatedProblem() *core.Problem {
	after := minEvacuatedRetryAfter + core.Millis(rand.Int64N(int64(maxEvacuatedRetryAfter-minEvacuatedRetryAfter)+1))
	return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonEvacuated,
		"all endpoints of %s are in evacuated failure domains", r.service).WithRetryAfter(after)
}

// domainOf returns the failure domain of a published endpoint, empty if the endpoint is not published.
func (c *endpointChooser) domainOf(life core.Life) core.FailureDomain {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.FailureDomain(life)
}
