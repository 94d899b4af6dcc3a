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

func (f *Front) pipeline(c iris.Context) {
	ctx, span := f.trace.Span(f.trace.Extract(c.Request().Context(), c.Request().Header), "admission")
	defer span.End()
	q, p := f.parse(c)
	if p != nil {
		f.problem(c, p)
		return
	}
	pipeline, p := f.findPipeline(q, c.Params().Get("name"))
	if p != nil {
		f.problem(c, p)
		return
	}
	if p := f.broker.Admit(ctx, q.Team, q.Settings.Limits, tokensOf(pipeline)); p != nil {
		f.problem(c, p)
		return
	}
	defer f.broker.Release(q.Team, 0)
	sink := f.sinkFor(c, &q)
	answer, p := f.runner.Pipeline(ctx, q, pipeline)
	f.answer(c, q, sink, answer, p)
}

func (f *Front) service(c iris.Context) {
	ctx, span := f.trace.Span(f.trace.Extract(c.Request().Context(), c.Request().Header), "admission")
	defer span.End()
	q, p := f.parse(c)
	if p != nil {
		f.problem(c, p)
		return
	}
	s, call, p := f.findCall(q, c.Params().Get("name"), c.Params().Get("call"))
	if p != nil {
		f.problem(c, p)
		return
	}
	if p := f.broker.Admit(ctx, q.Team, q.Settings.Limits, 0); p != nil {
		f.problem(c, p)
		return
	}
	defer f.broker.Release(q.Team, 0)
	answer, p := f.runner.Call(ctx, q, s, call, c.GetHeader("Idempotency-Key"))
	f.answer(c, q, nil, answer, p)
}

// resume sends the rest of a stream; a host that is leaving or cut off may still do so.
func (f *Front) resume(c iris.Context) {
	q, p := f.parseHeaders(c)
	if p != nil {
		f.problem(c, p)
		return
	}
	after, err := strconv.ParseUint(orZero(c.GetHeader("Last-Event-ID")), 10, 64)
	if err != nil {
		f.problem(c, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonBadHeader,
			"Last-Event-ID: found %q, expected a whole number", c.GetHeader("Last-Event-ID")))
		return
	}
	sink := f.newSink(c)
	q.Sink = sink
	answer, p := f.runner.Resume(c.Request().Context(), q, c.Params().Get("token"), after)
	f.answer(c, q, sink, answer, p)
}

func orZero(s string) string {
	if s == "" {
		return "0"
	}
	return s
}

func (f *Front) sinkFor(c iris.Context, q *flow.Request) *sink {
	if !strings.Contains(c.GetHeader("Accept"), eventStream) {
		return nil
	}
	s := f.newSink(c)
	q.Sink = s
	return s
}

// answer writes the outcome: a whole answer, the closing event of a stream, or a problem.
func (f *Front) answer(c iris.Context, q flow.Request, s *sink, a flow.Answer, p *core.Problem) {
	if p != nil {
		f.meter.Count("requests_total", 1, "outcome", string(p.Outcome), "reason", string(p.Reason), "priority", q.Priority.String())
		f.writeProblem(c, s, q, p)
		return
	}
	f.meter.Count("requests_total", 1, "outcome", string(core.Completed), "priority", q.Priority.String())
	if s != nil && s.started {
		s.done(a)
		return
	}
	c.Header("Request-Id", string(q.ID))
	_ = c.JSON(wholeAnswer{RequestID: q.ID, Outcome: core.Completed, Output: a.Output, Stages: a.Stages})
}

func (f *Front) writeProblem(c iris.Context, s *sink, q flow.Request, p *core.Problem) {
	if s != nil && s.started {
		s.fail(p)
		return
	}
	c.Header("Request-Id", string(q.ID))
	writeProblem(c, p)
}

// problem refuses a request that was not admitted.
func (f *Front) problem(c iris.Context, p *core.Problem) {
	f.meter.Count("requests_total", 1, "outcome", string(p.Outcome), "reason", string(p.Reason))
	writeProblem(c, p)
}
