// Package guavametrics publishes counters and gauges through OpenTelemetry on a Prometheus endpoint.
package guavametrics

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics publishes the metrics of one VM. Counter and Gauge values are read only when the endpoint is scraped, so that
// they cost nothing in between.
type Metrics struct {
	meter    metric.Meter
	provider *sdkmetric.MeterProvider
	handler  http.Handler
}

// New returns metrics with a dedicated registry, so that several VMs can run in one process.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})); err != nil {
		return nil, errors.Newf("register process metrics: %w", err)
	}
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Newf("create exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		meter:    provider.Meter("guavaridge"),
		provider: provider,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// Counter publishes a value that only increases. read is called at each scrape.
func (m *Metrics) Counter(name, help string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return errors.Newf("register counter %s: %w", name, err)
	}
	return nil
}

// LabelledCounter publishes a counter with labels, and returns the function that increments it. That function gets the
// label values in the order of labels. The number of different values must be bounded.
func (m *Metrics) LabelledCounter(name, help string, labels ...string) (func(values ...string), error) {
	c, err := m.meter.Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		return nil, errors.Newf("register counter %s: %w", name, err)
	}
	return func(values ...string) {
		c.Add(context.Background(), 1, metric.WithAttributes(attributes(labels, values)...))
	}, nil
}

func attributes(labels, values []string) []attribute.KeyValue {
	attrs := make([]attribute.KeyValue, 0, len(labels))
	for i, l := range labels {
		attrs = append(attrs, attribute.String(l, values[i]))
	}
	return attrs
}

// Gauge publishes a value that can increase and decrease. read is called at each scrape.
func (m *Metrics) Gauge(name, help string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return errors.Newf("register gauge %s: %w", name, err)
	}
	return nil
}

// Histogram publishes a histogram, and returns the function that records a value. bounds are the upper bounds of its
// buckets.
func (m *Metrics) Histogram(name, help, unit string, bounds ...float64) (func(v float64), error) {
	h, err := m.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit(unit),
		metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		return nil, errors.Newf("register histogram %s: %w", name, err)
	}
	return func(v float64) { h.Record(context.Background(), v) }, nil
}

// LabelledHistogram publishes a histogram with labels, and returns the function that records a value. That function gets
// the label values in the order of labels. The number of different label values must be bounded.
func (m *Metrics) LabelledHistogram(
	name, help, unit string, labels []string, bounds ...float64,
) (func(v float64, values ...string), error) {
	h, err := m.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit(unit),
		metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		return nil, errors.Newf("register histogram %s: %w", name, err)
	}
	return func(v float64, values ...string) {
		h.Record(context.Background(), v, metric.WithAttributes(attributes(labels, values)...))
	}, nil
}

// Handler returns the Prometheus endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the exporter.
func (m *Metrics) Close(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return errors.Newf("stop metrics: %w", err)
	}
	return nil
}
