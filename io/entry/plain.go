package entry

import (
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

const (
	// otherEndpointRetryAfter is the retry delay for a request that was not run while other endpoints are usable: the
	// client may retry almost at once.
	otherEndpointRetryAfter = 20 * core.Millis(1)
	// maxUncountedAttempts is how many unreachable endpoints do not count as attempts of a request. The loss of a failure
	// domain takes about as many endpoints of a small service.
	maxUncountedAttempts = 3
)

// choose chooses an endpoint from this host's copy of the roll, without the scheduler, or returns the problem for the
// client.
func (r *request) choose(repeat bool) (*order.Grant, *core.Problem) {
	e := r.entry
	choice, reason := e.chooser.choose(repeat, r.service, r.tried)
	if pauseLeft := e.chooser.pauseLeft(r.service); reason == core.ReasonNoEndpoint && pauseLeft > 0 {
		return nil, r.pausedProblem(pauseLeft)
	}
	if reason == core.ReasonEvacuated {
		return nil, r.evacuatedProblem()
	}
	if reason != "" {
		e.log.Info("no endpoint chosen", "request", r.incoming.ID, "service", r.service, "reason", reason, "tried", r.tried)
		return nil, core.NewProblem(http.StatusServiceUnavailable, core.NotRun, reason, "no endpoint of %s is in use", r.service).
			WithRetryAfter(fullRetryAfter)
	}
	r.tried = append(r.tried, choice.Endpoint)
	r.sending.onlyLimited, r.sending.others = choice.Only, choice.Others
	slowdown, reportAge := e.chooser.assumedSpeed(choice.Endpoint)
	e.log.Info("chosen", "request", r.incoming.ID, "endpoint", choice.Endpoint, "attempt", r.attempts+1, "candidates", choice.Candidates,
		"running", choice.Running, "roll_term", choice.RollTerm, "roll", choice.RollVersion, "roll_age_ms", choice.RollAge,
		"slowdown", slowdown, "report_age_ms", reportAge)
	e.meter.Count("chosen_total", 1)
	return &order.Grant{ID: r.incoming.ID, Endpoint: choice.Endpoint, Life: choice.Incarnation, Address: choice.Address, FailureDomain: choice.FailureDomain, Attempt: r.attempts + 1}, nil
}

// reportBegan reports to the scheduler that the endpoint has begun to answer. The scheduler does not track plain requests.
func (r *request) reportBegan(g *order.Grant) {
	if !r.plain {
		r.entry.events.addBegan(r.key, g.Attempt, r.takeLoad())
	}
}

// reportEnded reports to the scheduler how the request ended, unless it is a plain one.
func (r *request) reportEnded(ending order.AttemptOutcome) {
	if !r.plain {
		r.entry.events.addEnded(r.key, ending, r.takeLoad())
	}
}

// recordAttempt records how an attempt ended. Up to maxUncountedAttempts attempts that did not reach their endpoint are not
// counted against the request's attempts.
func (r *request) recordAttempt(g *order.Grant, ending order.AttemptOutcome, took core.Millis) {
	if r.plain {
		r.entry.chooser.recordEnding(g.Endpoint, ending, took)
		r.reportFailed(g, ending)
	}
	if ending == order.Unreachable && r.uncountedAttempts < maxUncountedAttempts {
		r.uncountedAttempts++
		r.attempts--
	}
}

// notRunRetryAfter returns the retry delay for a request that no endpoint has run.
func (r *request) notRunRetryAfter() core.Millis {
	if r.plain && r.entry.chooser.hasOther(r.service, r.tried) {
		return otherEndpointRetryAfter
	}
	return fullRetryAfter
}
