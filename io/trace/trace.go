package trace

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// The values of the Export setting.
const (
	ExportNone   = "None"
	ExportStdout = "Stdout"
	ExportFile   = "File"
	ExportOtlp   = "Otlp"
)

const fileMode = 0o640

// Options select and configure the exporter.
type Options struct {
	Export string
	// Target is the path for the File exporter, or the address as IP:PORT for the Otlp exporter.
	Target string
	// SampleRatio is the sampling ratio of requests, from 0 to 1.
	SampleRatio float64
	Host        string
}

// Tracer creates spans and owns the exporter that receives them.
type Tracer struct {
	options  Options
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *os.File
	carrier  propagation.TraceContext
}

// New returns a Service whose spans are discarded until Start.
func New(o Options) *Tracer {
	return &Tracer{options: o, tracer: noop.NewTracerProvider().Tracer("")}
}

// Start opens the exporter. With ExportNone, spans remain discarded.
func (s *Tracer) Start(ctx context.Context) error {
	exporter, err := s.exporter(ctx)
	if err != nil {
		return fmt.Errorf("open trace exporter %q: %w", s.options.Export, err)
	}
	if exporter == nil {
		return nil
	}
	s.provider = sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.options.SampleRatio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "cyclamenford"), attribute.String("host.id", s.options.Host))),
	)
	s.tracer = s.provider.Tracer("cyclamenford")
	return nil
}

// exporter returns the configured exporter, or nil for ExportNone.
func (s *Tracer) exporter(ctx context.Context) (sdk.SpanExporter, error) {
	switch s.options.Export {
	case ExportStdout:
		return stdouttrace.New()
	case ExportFile:
		file, err := os.OpenFile(s.options.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
		if err != nil {
			return nil, err
		}
		s.file = file
		return stdouttrace.New(stdouttrace.WithWriter(io.Writer(file)))
	case ExportOtlp:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.options.Target), otlptracehttp.WithInsecure())
	}
	return nil, nil
}

// Stop flushes the remaining spans and closes the exporter.
func (s *Tracer) Stop(ctx context.Context) error {
	if s.provider == nil {
		return nil
	}
	if err := s.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("close trace exporter: %w", err)
	}
	if s.file == nil {
		return nil
	}
	if err := s.file.Close(); err != nil {
		return fmt.Errorf("close trace file: %w", err)
	}
	return nil
}

// StartSpan starts a span with the given labels, which alternate between key and value. The caller must call End on the span.
func (s *Tracer) StartSpan(ctx context.Context, name string, labels ...string) (context.Context, trace.Span) {
	attributes := make([]attribute.KeyValue, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		attributes = append(attributes, attribute.String(labels[i], labels[i+1]))
	}
	return s.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// Inject writes the span's context into HTTP headers.
func (s *Tracer) Inject(ctx context.Context, h http.Header) {
	s.carrier.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract reads a span's context from HTTP headers.
func (s *Tracer) Extract(ctx context.Context, h http.Header) context.Context {
	return s.carrier.Extract(ctx, propagation.HeaderCarrier(h))
}
