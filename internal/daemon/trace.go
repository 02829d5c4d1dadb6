package daemon

import (
	"context"
	"fmt"
	"io"
	"os"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// StartTraces installs the trace exporter selected by s.Trace. The returned function
// flushes the remaining spans and stops the exporter.
func (s *Settings) StartTraces(role string) (func(context.Context) error, error) {
	if s.Trace == "off" || s.Trace == "" {
		return func(context.Context) error { return nil }, nil
	}
	out := io.Writer(os.Stderr)
	if s.Trace != "stderr" {
		f, err := os.OpenFile(s.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open trace file: %w", err)
		}
		out = f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("start trace exporter: %w", err)
	}
	attributes := resource.NewSchemaless(
		attribute.String("service.name", "parsleypulley-"+role),
		attribute.String("service.instance.id", s.Name),
	)
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter), trace.WithResource(attributes))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
