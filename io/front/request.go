package front

import (
	"encoding/json"
	"errors"
	stdio "io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"cyclamenford/core"
	"cyclamenford/core/tree"
	"cyclamenford/io/flow"
	"cyclamenford/io/listen"
)

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = 24 * 60 * 60 * core.Second

// parseRequest checks readiness, authenticates the caller and parses headers and body into a request that is not
// admitted yet.
func (f *Front) parseRequest(c iris.Context) (flow.Request, *core.Problem) {
	if p := f.readinessProblem(); p != nil {
		return flow.Request{}, p
	}
	q, p := f.parseHeaders(c)
	if p != nil {
		return q, p
	}
	body, p := f.readBody(c)
	if p != nil {
		return q, p
	}
	q.Body = body
	return q, nil
}

// parseHeaders authenticates the caller and determines the priority and deadline of the request.
func (f *Front) parseHeaders(c iris.Context) (flow.Request, *core.Problem) {
	h := c.Request().Header
	team, settings, p := f.authenticate(h)
	if p != nil {
		return flow.Request{}, p
	}
	q := flow.Request{ID: flow.NewRequestID(f.options.Host), Team: team, TeamSettings: settings}
	if q.Priority, p = priorityOf(h, settings); p != nil {
		return q, p
	}
	share := f.control.Image().Tree.Share(q.Priority)
	deadline, p := deadlineOf(h, share)
	if p != nil {
		return q, p
	}
	q.DeadlineAt = f.clock.Now() + deadline
	return q, nil
}

// priorityOf returns the requested priority. Without a Priority header it is Normal, or the team's maximum if that is
// lower.
func priorityOf(h http.Header, team tree.Team) (core.Priority, *core.Problem) {
	text := h.Get("Priority")
	if text == "" {
		return max(core.Normal, team.MaxPriority), nil
	}
	priority, err := core.ParsePriority(text)
	if err != nil {
		return 0, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonBadHeader, "Priority: %v", err)
	}
	if priority < team.MaxPriority {
		return 0, core.NewProblem(http.StatusForbidden, core.NotRun, core.ReasonForbidden,
			"Priority: found %s, the team may ask for %s at most", priority, team.MaxPriority)
	}
	return priority, nil
}

// deadlineOf returns the requested time limit, or the default of the priority.
func deadlineOf(h http.Header, share tree.PriorityShare) (core.Millis, *core.Problem) {
	text := h.Get("Deadline-Ms")
	if text == "" {
		return share.DeadlineMs, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || core.Millis(ms) > maxDeadline {
		return 0, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonBadHeader,
			"Deadline-Ms: found %q, expected a whole number from 1 to %d", text, maxDeadline)
	}
	return core.Millis(ms), nil
}

// readBody reads the body within the read timeout. It clears the read deadline afterwards, so that it does not apply
// while the answer is written.
func (f *Front) readBody(c iris.Context) (json.RawMessage, *core.Problem) {
	w := c.ResponseWriter().Naive()
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(f.options.ReadTimeout.Duration()))
	body, err := stdio.ReadAll(listen.MaxBytesReader(w, c.Request().Body, f.options.MaxBodyBytes))
	if err == nil {
		// After an error the deadline remains set, so that the server does not wait for the rest of the body.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, core.NewProblem(http.StatusRequestEntityTooLarge, core.NotRun, core.ReasonBodyTooLarge,
			"the body is longer than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonMalformedBody, "read body: %v", err)
	}
	if !json.Valid(body) {
		return nil, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonMalformedBody, "the body is not JSON")
	}
	return body, nil
}

// findPipeline returns the pipeline with the given name if the team may use it.
func (f *Front) findPipeline(q flow.Request, name string) (tree.Pipeline, *core.Problem) {
	p, ok := f.control.Image().Tree.Pipeline(name)
	if !ok || !slices.Contains(q.TeamSettings.Pipelines, name) {
		return p, core.NewProblem(http.StatusNotFound, core.NotRun, core.ReasonUnknownPipeline,
			"pipeline %q is not one of team %s's: %s", name, q.Team, strings.Join(q.TeamSettings.Pipelines, ", "))
	}
	return p, nil
}

// findCall returns the service and the operation with the given names if the team may use the service.
func (f *Front) findCall(q flow.Request, name, call string) (tree.Plain, tree.Call, *core.Problem) {
	s, found, ok := f.control.Image().Tree.Call(name, call)
	if !ok || !slices.Contains(q.TeamSettings.Services, name) {
		return s, found, core.NewProblem(http.StatusNotFound, core.NotRun, core.ReasonUnknownService,
			"call %s/%s is not one of team %s's", name, call, q.Team)
	}
	return s, found, nil
}

// maxTokensOf returns the maximum number of tokens that a pipeline may generate for one request.
func maxTokensOf(p tree.Pipeline) float64 {
	sum := 0
	for _, s := range p.Stages {
		sum += s.MaxTokens
	}
	return float64(sum)
}
