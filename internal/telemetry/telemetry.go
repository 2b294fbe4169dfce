// Package telemetry sets up logs, traces and metrics.
package telemetry

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"os"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// SetupLogs makes slog write one line of key=value pairs per event.
func SetupLogs(w io.Writer, level string) error {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return trace.BadParameter("/log_level: %v", err)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})))
	return nil
}

// SetupTraces installs the exporter that the settings name and returns a function that
// flushes and closes it. Trace context is propagated in W3C headers even without an exporter.
func SetupTraces(s settings.Trace, instance string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, closer, err := newExporter(s)
	if err != nil || exporter == nil {
		return func(context.Context) error { return nil }, trace.Wrap(err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "hornbeamsilld"),
			attribute.String("service.instance.id", instance),
		)),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closer != nil {
			closer.Close()
		}
		return trace.Wrap(err)
	}, nil
}

func newExporter(s settings.Trace) (sdktrace.SpanExporter, io.Closer, error) {
	switch s.Exporter {
	case "", "none":
		return nil, nil, nil
	case "file":
		f, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return exporter, f, trace.Wrap(err)
	case "otlp":
		exporter, err := otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpoint(s.Endpoint), otlptracehttp.WithInsecure())
		return exporter, nil, trace.Wrap(err)
	default:
		return nil, nil, trace.BadParameter("/trace/exporter: unknown exporter %q", s.Exporter)
	}
}

// Publish publishes the value of f under name in /debug/vars. A second call with the same name
// has no effect, so that tests can start several daemons in one process.
func Publish(name string, f func() any) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(f))
	}
}
