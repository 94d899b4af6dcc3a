package front

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"

	"cyclamenford/core"
	"cyclamenford/io/flow"
)

const eventStream = "text/event-stream"

func (f *Front) handlePipeline(c iris.Context) {
	ctx, span := f.trace.StartSpan(f.trace.Extract(c.Request().Context(), c.Request().Header), "admission")
	defer span.End()
	q, p := f.parseRequest(c)
	if p != nil {
		f.reject(c, p)
		return
	}
	pipeline, p := f.findPipeline(q, c.Params().Get("name"))
	if p != nil {
		f.reject(c, p)
		return
	}
	if p := f.broker.Admit(ctx, q.Team, q.TeamSettings.Limits, maxTokensOf(pipeline)); p != nil {
		f.reject(c, p)
		return
	}
	defer f.broker.Release(q.Team, 0)
	sink := f.streamSink(c, &q)
	answer, p := f.runner.RunPipeline(ctx, q, pipeline)
	f.writeAnswer(c, q, sink, answer, p)
}

func (f *Front) handleService(c iris.Context) {
	ctx, span := f.trace.StartSpan(f.trace.Extract(c.Request().Context(), c.Request().Header), "admission")
	defer span.End()
	q, p := f.parseRequest(c)
	if p != nil {
		f.reject(c, p)
		return
	}
	s, call, p := f.findCall(q, c.Params().Get("name"), c.Params().Get("call"))
	if p != nil {
		f.reject(c, p)
		return
	}
	if p := f.broker.Admit(ctx, q.Team, q.TeamSettings.Limits, 0); p != nil {
		f.reject(c, p)
		return
	}
	defer f.broker.Release(q.Team, 0)
	answer, p := f.runner.RunCall(ctx, q, s, call, c.GetHeader("Idempotency-Key"))
	f.writeAnswer(c, q, nil, answer, p)
}

// handleResume sends the rest of a stream. It does not check readiness: a host that is shutting down or has no serving
// lease may still resume streams.
func (f *Front) handleResume(c iris.Context) {
	q, p := f.parseHeaders(c)
	if p != nil {
		f.reject(c, p)
		return
	}
	after, err := strconv.ParseUint(zeroIfEmpty(c.GetHeader("Last-Event-ID")), 10, 64)
	if err != nil {
		f.reject(c, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonBadHeader,
			"Last-Event-ID: found %q, expected a whole number", c.GetHeader("Last-Event-ID")))
		return
	}
	sink := f.newSink(c)
	q.Sink = sink
	answer, p := f.runner.Resume(c.Request().Context(), q, c.Params().Get("token"), after)
	f.writeAnswer(c, q, sink, answer, p)
}

func zeroIfEmpty(s string) string {
	if s == "" {
		return "0"
	}
	return s
}

// streamSink returns a sink and sets it in the request if the caller accepts an event stream, otherwise nil.
func (f *Front) streamSink(c iris.Context, q *flow.Request) *eventSink {
	if !strings.Contains(c.GetHeader("Accept"), eventStream) {
		return nil
	}
	s := f.newSink(c)
	q.Sink = s
	return s
}

// writeAnswer writes the result of an admitted request: a JSON answer, the closing event of a stream, or a problem.
func (f *Front) writeAnswer(c iris.Context, q flow.Request, s *eventSink, a flow.Answer, p *core.Problem) {
	if p != nil {
		f.meter.Count("requests_total", 1, "outcome", string(p.Outcome), "reason", string(p.Reason), "priority", q.Priority.String())
		f.writeProblem(c, s, q, p)
		return
	}
	f.meter.Count("requests_total", 1, "outcome", string(core.Completed), "priority", q.Priority.String())
	if s != nil && s.started {
		s.writeDone(a)
		return
	}
	c.Header("Request-Id", string(q.ID))
	_ = c.JSON(answerBody{RequestID: q.ID, Outcome: core.Completed, Output: a.Output, Stages: a.Stages})
}

// writeProblem ends a started stream with a problem event, or writes a problem document.
func (f *Front) writeProblem(c iris.Context, s *eventSink, q flow.Request, p *core.Problem) {
	if s != nil && s.started {
		s.writeProblemEvent(p)
		return
	}
	c.Header("Request-Id", string(q.ID))
	writeProblem(c, p)
}

// reject writes the problem for a request that was not admitted.
func (f *Front) reject(c iris.Context, p *core.Problem) {
	f.meter.Count("requests_total", 1, "outcome", string(p.Outcome), "reason", string(p.Reason))
	writeProblem(c, p)
}
