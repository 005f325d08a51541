// Package tracer configures OpenTelemetry tracing and passes span contexts
// between hosts.
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

// Config configures the export and sampling of spans.
type Config struct {
	// Endpoint is the URL of an OTLP/HTTP collector. If empty, spans are not exported.
	Endpoint string
	// Host is the host.name attribute of each span.
	Host string
	// Exporter replaces the collector at Endpoint in tests and in the demo.
	Exporter sdktrace.SpanExporter
	// SampleRatio is the fraction of the requests without a parent span that are
	// sampled; other requests follow their parent's sampling decision.
	SampleRatio float64
}

// Provider provides a tracer and exports its spans.
type Provider struct {
	tracer   trace.Tracer
	flush    func(context.Context) error
	shutdown func(context.Context) error
}

// Propagator encodes the span context in the W3C traceparent header.
var Propagator propagation.TextMapPropagator = propagation.TraceContext{}

// traceparentKey is the carrier key that Propagator uses.
const traceparentKey = "traceparent"

// Inject returns the span context of ctx, encoded for a message between hosts, or
// "" if ctx has none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	Propagator.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// Extract returns ctx with a span context that Inject has encoded.
func Extract(ctx context.Context, value string) context.Context {
	return Propagator.Extract(ctx, propagation.MapCarrier{traceparentKey: value})
}

// New returns a provider. It records nothing if cfg sets neither Exporter nor Endpoint.
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

// Tracer returns the host's tracer.
func (p *Provider) Tracer() trace.Tracer {
	return p.tracer
}

// Flush exports the buffered spans.
func (p *Provider) Flush(ctx context.Context) error {
	return p.flush(ctx)
}

// Shutdown exports the buffered spans and stops the provider.
func (p *Provider) Shutdown(ctx context.Context) error {
	return p.shutdown(ctx)
}
