// Package tracer sets up OpenTelemetry traces with a span for each hop.
package tracer

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Config says where spans go.
type Config struct {
	// Endpoint is the URL of an OTLP/HTTP collector; no spans leave the process when empty.
	Endpoint string
	// Host names the host in each span.
	Host string
	// Exporter replaces the collector in tests and in the demo.
	Exporter sdktrace.SpanExporter
	// SampleRatio is the share of requests without a sampled parent that are traced.
	SampleRatio float64
}

// Provider makes tracers and flushes spans when it is shut down.
type Provider struct {
	tracer   trace.Tracer
	flush    func(context.Context) error
	shutdown func(context.Context) error
}

// Propagator carries the span context in the W3C traceparent header.
var Propagator propagation.TextMapPropagator = propagation.TraceContext{}

// traceparentKey is the name under which the propagator keeps the span context.
const traceparentKey = "traceparent"

// Inject returns the span context of ctx for a message between hosts, empty
// when there is none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	Propagator.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// Extract returns ctx with the span context that a message carries.
func Extract(ctx context.Context, value string) context.Context {
	return Propagator.Extract(ctx, propagation.MapCarrier{traceparentKey: value})
}

// New returns a provider for the configuration.
func New(ctx context.Context, cfg Config) (*Provider, error) {
	exporter := cfg.Exporter
	if exporter == nil && cfg.Endpoint != "" {
		var err error
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
		if err != nil {
			return nil, err
		}
	}
	if exporter == nil {
		noop := func(context.Context) error { return nil }
		return &Provider{tracer: otel.Tracer("catkindyke"), flush: noop, shutdown: noop}, nil
	}
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "catkindyke"),
			attribute.String("host.name", cfg.Host),
		)),
	)
	return &Provider{tracer: tp.Tracer("catkindyke"), flush: tp.ForceFlush, shutdown: tp.Shutdown}, nil
}

// Tracer returns the tracer of the host.
func (p *Provider) Tracer() trace.Tracer {
	return p.tracer
}

// Flush sends the spans that wait.
func (p *Provider) Flush(ctx context.Context) error {
	return p.flush(ctx)
}

// Shutdown sends the spans that wait and stops the provider.
func (p *Provider) Shutdown(ctx context.Context) error {
	return p.shutdown(ctx)
}
