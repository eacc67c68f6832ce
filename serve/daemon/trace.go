package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/azurethread/azurethread/decide/verdict"
)

// tracer creates a span for each request in this entry VM, with a child span for
// each attempt at a target or at another entry VM. Without an exporter it creates
// no spans, and a caller's traceparent is passed on unchanged.
type tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

var propagator = propagation.TraceContext{}

// newTracer returns a tracer with the configured exporter: "none" or "stdout".
func newTracer(exporter string, sample float64) (*tracer, error) {
	if exporter != "stdout" {
		return &tracer{}, nil
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	if err != nil {
		return nil, fmt.Errorf("daemon: trace exporter: %w", err)
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(e),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(sample))),
	)
	return &tracer{provider: p, tracer: p.Tracer("azurethread")}, nil
}

// close exports the remaining spans.
func (t *tracer) close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// start starts the span of a request, as a child of the caller's if there is one.
func (t *tracer) start(h http.Header, service string) span {
	if t.tracer == nil {
		return span{}
	}
	ctx := propagator.Extract(context.Background(), propagation.HeaderCarrier(h))
	ctx, s := t.tracer.Start(ctx, "call "+service, trace.WithSpanKind(trace.SpanKindServer))
	return span{t: t, ctx: ctx, s: s}
}

// span is the span of a request or an attempt; the zero value records nothing.
type span struct {
	t   *tracer
	ctx context.Context
	s   trace.Span
}

// child starts the span of an attempt.
func (p span) child(name string) span {
	if p.t == nil {
		return span{}
	}
	ctx, s := p.t.tracer.Start(p.ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	return span{t: p.t, ctx: ctx, s: s}
}

// inject adds the span context to the header sent to the receiver.
func (p span) inject(h http.Header) {
	if p.t != nil {
		propagator.Inject(p.ctx, propagation.HeaderCarrier(h))
	}
}

// end ends the span and records its verdict and reason.
func (p span) end(v verdict.Verdict, r verdict.Reason) {
	if p.t == nil {
		return
	}
	p.s.SetAttributes(
		attribute.String("azurethread.verdict", v.String()),
		attribute.String("azurethread.reason", string(r)),
	)
	p.s.End()
}
