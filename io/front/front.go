package front

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"

	"cyclamenford/core"
	"cyclamenford/io"
	"cyclamenford/io/broker"
	"cyclamenford/io/flow"
	"cyclamenford/io/listen"
	"cyclamenford/io/meter"
	"cyclamenford/io/trace"
)

// Requests that are left at a shutdown are ended when the answerReserveDivisor-th part of its time is left, maxAnswerReserve at most.
const (
	answerReserveDivisor = 8
	maxAnswerReserve     = core.Second
)

// Options configure the HTTP server for callers.
type Options struct {
	Address        string
	Host           core.HostID
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeout limits the time to read the headers and the time to read the body of a request. WriteTimeout limits
	// each write of a streamed answer.
	ReadTimeout  core.Millis
	WriteTimeout core.Millis
	// DrainTime is how long the host reports not ready at shutdown before it closes its listener.
	DrainTime core.Millis
	Tls       *tls.Config
}

// Front is the HTTP server for callers.
type Front struct {
	options      Options
	control      io.Control
	broker       *broker.Broker
	runner       *flow.Runner
	clock        core.Clock
	meter        *meter.Meter
	trace        *trace.Tracer
	log          *slog.Logger
	keys         keyring
	server       *listen.Server
	shuttingDown atomic.Bool
}

// New returns a Front that does not listen until Start.
func New(o Options, control io.Control, b *broker.Broker, r *flow.Runner, clock core.Clock, m *meter.Meter, t *trace.Tracer, log *slog.Logger) *Front {
	return &Front{options: o, control: control, broker: b, runner: r, clock: clock, meter: m, trace: t, log: log}
}

// Start builds the routes and starts listening.
func (f *Front) Start(ctx context.Context) error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	f.routes(app)
	if err := app.Build(); err != nil {
		return fmt.Errorf("build callers' routes: %w", err)
	}
	o := listen.Options{
		Name: "callers", Address: f.options.Address, Tls: f.options.Tls,
		HeaderTimeout: f.options.ReadTimeout, MaxHeaderBytes: f.options.MaxHeaderBytes,
		WrapListener: func(l net.Listener) net.Listener { return countingListener{Listener: l, meter: f.meter} },
	}
	f.server = listen.New(o, app, f.log)
	return f.server.Start(ctx)
}

// Stop reports not ready, waits for DrainTime so that load balancers remove the host, closes the listener, and waits
// for the requests in flight. Those that are left shortly before ctx ends get a final answer.
func (f *Front) Stop(ctx context.Context) error {
	f.shuttingDown.Store(true)
	// From now on new requests are refused: idle connections end, so that their clients go elsewhere at once.
	f.server.Leave()
	f.server.EndIdle()
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		end := time.AfterFunc(left-min(maxAnswerReserve.Duration(), left/answerReserveDivisor), func() {
			f.log.Warn("requests ended: the shutdown time is over", "requests", f.runner.EndRequests())
		})
		defer end.Stop()
	}
	t := time.NewTimer(f.options.DrainTime.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return f.server.Stop(ctx)
}

func (f *Front) routes(app *iris.Application) {
	app.Get("/healthz", func(c iris.Context) { c.StatusCode(http.StatusOK) })
	app.Get("/readyz", f.handleReady)
	app.Get("/metrics", f.handleMetrics)
	app.Post("/v1/pipelines/{name}", f.handlePipeline)
	app.Post("/v1/services/{name}/{call}", f.handleService)
	app.Get("/v1/streams/{token}", f.handleResume)
	app.OnErrorCode(http.StatusNotFound, func(c iris.Context) {
		f.reject(c, core.NewProblem(http.StatusNotFound, core.NotRun, core.ReasonUnknownPipeline,
			"no such path: %s", c.Path()))
	})
}

func (f *Front) handleReady(c iris.Context) {
	if p := f.readinessProblem(); p != nil {
		c.StatusCode(http.StatusServiceUnavailable)
		_, _ = c.WriteString(string(p.Reason))
		return
	}
	c.StatusCode(http.StatusOK)
}

// readinessProblem returns a problem if this host accepts no new requests, otherwise nil.
func (f *Front) readinessProblem() *core.Problem {
	if f.shuttingDown.Load() {
		return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonHostLeaving,
			"this host is shutting down").WithRetryAfter(1)
	}
	if !f.control.Serving() {
		return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoServingLease,
			"this host has no serving lease").WithRetryAfter(core.Second)
	}
	return nil
}

func (f *Front) handleMetrics(c iris.Context) {
	c.ContentType("text/plain; version=0.0.4")
	for _, d := range f.broker.Depths() {
		f.meter.SetGauge("waiting", int64(d.Waiting), "pool", d.Pool.String())
		f.meter.SetGauge("running", int64(d.Running), "pool", d.Pool.String())
	}
	if err := f.meter.Write(c); err != nil {
		f.log.Debug("cannot write the metrics response", "err", err)
	}
}
