package entry

import (
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/order"
	"cyclamenford/core/origin"
)

// resumable reports whether the request is a stream that a later attempt may continue.
func (r *request) resumable() bool { return r.route.Class == conf.Stream && r.route.Resumable }

// takesUp reports whether the client continues a stream that an earlier attempt has begun.
func (r *request) takesUp() bool { return r.resumable() && r.incoming.LastEvent >= 0 }

// continuation returns which stream the request begins or continues.
func (r *request) continuation() order.Continuation {
	c := order.Continuation{Bound: r.bound, Version: r.version}
	switch {
	case r.takesUp():
		c.TakesUp = true
		if r.incoming.Resumes != "" {
			c.Resumes = origin.NewStream(r.organisation.Name, r.incoming.Resumes)
		}
	case r.resumable():
		c.Stream = origin.NewStream(r.organisation.Name, r.incoming.ID)
	}
	return c
}

// bind restricts all later attempts to the software version of a granted endpoint, whose events the client gets.
func (r *request) bind(g *order.Grant) {
	if r.resumable() && !r.bound {
		r.bound, r.version = true, g.Version
	}
}

// checkVersion is the last check before a send that a stream goes on at the software version that began it.
func (r *request) checkVersion(g *order.Grant) *core.Problem {
	if r.takesUp() {
		r.bind(g)
	}
	if !r.bound || g.Version == r.version {
		return nil
	}
	r.entry.log.Error("grant of another software version", "request", r.incoming.ID, "endpoint", g.Endpoint, "version", g.Version, "began_at", r.version)
	return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonVersionGone, "the stream began at version %q", r.version)
}
