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

// Options are the settings of the callers' listener.
type Options struct {
	Address        string
	Host           core.HostID
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeout bounds the reading of one request, and WriteTimeout each write of an answer.
	ReadTimeout  core.Millis
	WriteTimeout core.Millis
	// DrainTime is how long the host stays up as not ready before it closes its listener.
	DrainTime core.Millis
	Tls       *tls.Config
}

// Front serves callers.
type Front struct {
	options Options
	control io.Control
	broker  *broker.Broker
	runner  *flow.Runner
	clock   core.Clock
	meter   *meter.Meter
	trace   *trace.Service
	log     *slog.Logger
	keys    keyring
	server  *listen.Server
	leaving atomic.Bool
}

// New returns a front that is not listening yet.
func New(o Options, control io.Control, b *broker.Broker, r *flow.Runner, clock core.Clock, m *meter.Meter, t *trace.Service, log *slog.Logger) *Front {
	return &Front{options: o, control: control, broker: b, runner: r, clock: clock, meter: m, trace: t, log: log}
}

// Start listens for callers.
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
		Wrap: func(l net.Listener) net.Listener { return countingListener{Listener: l, meter: f.meter} },
	}
	f.server = listen.New(o, app, f.log)
	return f.server.Start(ctx)
}

// Stop reports not ready, lets the balancer notice, and waits for the requests in flight.
func (f *Front) Stop(ctx context.Context) error {
	f.leaving.Store(true)
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
	app.Get("/readyz", f.ready)
	app.Get("/metrics", f.metrics)
	app.Post("/v1/pipelines/{name}", f.pipeline)
	app.Post("/v1/services/{name}/{call}", f.service)
	app.Get("/v1/streams/{token}", f.resume)
	app.OnErrorCode(http.StatusNotFound, func(c iris.Context) {
		f.problem(c, core.NewProblem(http.StatusNotFound, core.NotRun, core.ReasonUnknownPipeline,
			"no such path: %s", c.Path()))
	})
}

func (f *Front) ready(c iris.Context) {
	if p := f.open(); p != nil {
		c.StatusCode(http.StatusServiceUnavailable)
		_, _ = c.WriteString(string(p.Reason))
		return
	}
	c.StatusCode(http.StatusOK)
}

// open returns a problem while this host takes no new work.
func (f *Front) open() *core.Problem {
	if f.leaving.Load() {
		return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonHostLeaving,
			"this host is shutting down").WithRetryAfter(1)
	}
	if !f.control.Serving() {
		return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoServingLease,
			"this host has no serving lease").WithRetryAfter(core.Second)
	}
	return nil
}

func (f *Front) metrics(c iris.Context) {
	c.ContentType("text/plain; version=0.0.4")
	for _, d := range f.broker.Depths() {
		f.meter.Set("waiting", int64(d.Waiting), "pool", d.Pool.String())
		f.meter.Set("running", int64(d.Running), "pool", d.Pool.String())
	}
	if err := f.meter.Write(c); err != nil {
		f.log.Debug("write metrics", "err", err)
	}
}
