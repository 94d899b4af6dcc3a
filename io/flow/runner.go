package flow

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/plan"
	"cyclamenford/core/poison"
	"cyclamenford/core/tree"
	"cyclamenford/io"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
	"cyclamenford/io/loop"
	"cyclamenford/io/meter"
	"cyclamenford/io/permit"
	"cyclamenford/io/trace"
	"cyclamenford/io/tries"
)

// Options configure a Runner.
type Options struct {
	Host core.HostID
	// TokenKey is the HMAC key for the tokens with which callers resume streams.
	TokenKey []byte
	// ResumeGrace is how long an engine keeps a stream without a reader.
	ResumeGrace core.Millis
}

// Runner executes admitted requests at endpoints.
type Runner struct {
	*tries.Attempts
	options  Options
	clock    core.Clock
	trace    *trace.Tracer
	inFlight loop.WorkCounter
	// ended is done once the requests in progress end, because the host stops.
	ended context.Context
	end   context.CancelFunc
}

// New returns a Runner.
func New(o Options, control io.Control, b *broker.Broker, client *dial.Client, permits *permit.Client, clock core.Clock, m *meter.Meter, t *trace.Tracer, log *slog.Logger) *Runner {
	r := &Runner{Attempts: tries.New(control, b, client, permits, clock, m, log), options: o, clock: clock, trace: t}
	r.ended, r.end = context.WithCancel(context.Background())
	return r
}

// EndRequests ends the requests in progress, which get a final answer, and returns their number.
func (r *Runner) EndRequests() int64 {
	n := r.inFlight.Count()
	r.end()
	return n
}

// untilEnd returns a context that ends at the deadline of a request, or when the requests of a stopping host end.
func (r *Runner) untilEnd(ctx context.Context, q Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, (q.DeadlineAt - r.clock.Now()).Duration())
	unregister := context.AfterFunc(r.ended, cancel)
	return ctx, func() {
		unregister()
		cancel()
	}
}

// stopProblem names the stop of the host as the reason of a problem whose context it has ended.
func (r *Runner) stopProblem(p *core.Problem) *core.Problem {
	if p == nil || r.ended.Err() == nil || p.Reason != core.ReasonCallerGone {
		return p
	}
	c := *p
	c.Reason, c.Detail = core.ReasonHostStopping, "this host stops"
	if c.Outcome == core.NotRun {
		c.Status = http.StatusServiceUnavailable
		return c.WithRetryAfter(core.Second)
	}
	return &c
}

// Start does nothing: the HTTP front end calls the runner for each request.
func (r *Runner) Start(context.Context) error {
	return nil
}

// Stop waits for the requests in flight and for the outcomes that are not recorded yet.
func (r *Runner) Stop(ctx context.Context) error {
	if err := r.inFlight.Wait(ctx); err != nil {
		return fmt.Errorf("requests were still running at the end of the shutdown time: %w", err)
	}
	return r.Finish(ctx)
}

// progress is the state of a pipeline request while its stages run.
type progress struct {
	request    Request
	target     string
	keys       []plan.Key
	stages     []tree.Stage
	outputs    map[string]json.RawMessage
	stageTimes []StageTime
	prefix     uint64
	// mayHaveRun is true if an endpoint may have started to work on the request.
	mayHaveRun atomic.Bool
}

func (g *progress) markMayHaveRun() {
	g.mayHaveRun.Store(true)
}

// RunPipeline runs all stages in sequence and returns the output of the last one.
func (r *Runner) RunPipeline(ctx context.Context, q Request, p tree.Pipeline) (Answer, *core.Problem) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	ctx, cancel := r.untilEnd(ctx, q)
	defer cancel()
	g := &progress{
		request: q, target: p.Name, keys: stageKeys(p, q.Priority), stages: p.Stages, outputs: map[string]json.RawMessage{},
		prefix: promptPrefixHash(q.TeamSettings.Organisation, q.Body),
	}
	if problem := r.Broker.CheckDeadline(r.attemptFor(g, 0, nil)); problem != nil {
		return Answer{}, problem
	}
	for i := range p.Stages {
		if problem := r.CheckQuarantine(g.identity(i)); problem != nil {
			return Answer{}, problem
		}
	}
	var answer Answer
	for i, s := range p.Stages {
		a, problem := r.runStage(ctx, g, i)
		if problem != nil {
			return Answer{}, r.stopProblem(g.finalProblem(r.clock.Now(), problem))
		}
		g.outputs[s.Name] = a.Output
		answer = a
	}
	answer.Stages = g.stageTimes
	return answer, nil
}

// finalProblem converts the problem of a stage into that of the request: a request that an endpoint may have run is
// never reported as NotRun. Whether the deadline has passed is read from the clock, since a context's timer may fire
// late on a busy host.
func (g *progress) finalProblem(now core.Millis, p *core.Problem) *core.Problem {
	c := *p
	if now >= g.request.DeadlineAt {
		c.Reason, c.Status = core.ReasonDeadlineExceeded, http.StatusGatewayTimeout
	}
	if g.mayHaveRun.Load() && c.Outcome == core.NotRun {
		c.Outcome = core.Failed
	}
	return &c
}

func (r *Runner) runStage(ctx context.Context, g *progress, i int) (Answer, *core.Problem) {
	s := g.stages[i]
	ctx, span := r.trace.StartSpan(ctx, "stage", "stage", s.Name, "kind", string(s.Kind), "request", string(g.request.ID))
	defer span.End()
	if g.request.Sink != nil && i == len(g.stages)-1 && s.Kind == core.Generate {
		return r.runStreamedStage(ctx, g, i)
	}
	return r.runUnaryStage(ctx, g, i)
}

// newRun builds the call to an endpoint for a stage.
func (r *Runner) newRun(g *progress, i int, grant broker.Grant) dial.Run {
	s := g.stages[i]
	return dial.Run{
		RequestID: g.request.ID, AttemptID: newAttemptID(g.request.ID, s.Name),
		Kind: s.Kind, Model: s.Model, Input: g.request.Body, Context: g.outputs, MaxTokens: s.MaxTokens,
		DeadlineMs: g.request.DeadlineAt - r.clock.Now(), Priority: grant.Action.EnginePriority(g.request.Priority),
		ResumeGraceMs: r.options.ResumeGrace, Prefix: g.stagePrefix(i),
	}
}

// identity returns what requests that crash endpoints are recognised by: a stage's work, and the start of the prompt, which every
// stage is given.
func (g *progress) identity(i int) poison.Identity {
	work := poison.Identity{Content: poison.NewContent(g.request.TeamSettings.Organisation, g.request.Body, g.target, g.stages[i].Name)}
	if g.prefix != 0 {
		pool := string(g.stages[i].Kind) + "/" + g.stages[i].Model
		work.Parts = []poison.Content{poison.NewPartContent(pool, strconv.FormatUint(g.prefix, 16))}
	}
	return work
}

// stagePrefix returns the prompt prefix hash for a generation stage and 0 for other stages.
func (g *progress) stagePrefix(i int) uint64 {
	if g.stages[i].Kind != core.Generate {
		return 0
	}
	return g.prefix
}

// attemptFor describes an attempt of a stage to the scheduler, excluding the endpoints in avoid.
func (r *Runner) attemptFor(g *progress, i int, avoid []core.EndpointID) desk.Attempt {
	return desk.Attempt{
		Request: g.request.ID, Organisation: g.request.TeamSettings.Organisation, Weight: g.request.TeamSettings.Weight,
		Priority: g.request.Priority, Stages: g.keys[i:], DeadlineAt: g.request.DeadlineAt,
		Prefix: g.stagePrefix(i), Avoid: avoid,
	}
}
