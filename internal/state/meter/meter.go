// Package meter records metrics per workspace and class and exports them in the
// Prometheus text format.
//
// # Usage
//
//	m := meter.New()
//	m.Add("comfrey_requests_total", meter.Labels{Workspace: "w1", Class: "review"}, 1)
//	m.Observe("comfrey_ttft_seconds", labels, elapsed)
//	m.Write(w)
//
// A Meter is safe for concurrent use. Histograms keep a uniform sample of their
// values to bound their memory.
package meter

import (
	"io"
	"slices"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/rcrowley/go-metrics"

	"comfreyworks"
)

// sampleSize is the number of values in the sample of a histogram.
const sampleSize = 256

// separator separates the metric name, workspace and class in a registry key.
const separator = "|"

// Labels holds the label values of a metric. Empty labels are omitted.
type Labels struct {
	Workspace comfreyworks.Workspace
	Class     comfreyworks.Class
}

// Meter is a registry of counters, gauges and histograms.
type Meter struct {
	registry metrics.Registry
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// key returns the registry key of a metric with labels.
func key(name string, labels Labels) string {
	return name + separator + string(labels.Workspace) + separator + string(labels.Class)
}

// Add adds n to a counter.
func (m *Meter) Add(name string, labels Labels, n int) {
	metrics.GetOrRegisterCounter(key(name, labels), m.registry).Inc(int64(n))
}

// Counter returns the value of a counter.
func (m *Meter) Counter(name string, labels Labels) int {
	return int(metrics.GetOrRegisterCounter(key(name, labels), m.registry).Count())
}

// SetGauge sets a gauge without labels.
func (m *Meter) SetGauge(name string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(key(name, Labels{}), m.registry).Update(value)
}

// Observe adds a duration to a histogram, which is exported in seconds.
func (m *Meter) Observe(name string, labels Labels, d time.Duration) {
	create := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}
	histogram := m.registry.GetOrRegister(key(name, labels), create).(metrics.Histogram)
	histogram.Update(int64(d))
}

// Write writes all metrics in the Prometheus text format, sorted by name.
func (m *Meter) Write(w io.Writer) error {
	families := make(map[string]*dto.MetricFamily)
	m.registry.Each(func(name string, value any) {
		parts := strings.Split(name, separator)
		labels := Labels{Workspace: comfreyworks.Workspace(parts[1]), Class: comfreyworks.Class(parts[2])}
		addMetric(families, parts[0], labels, value)
	})
	names := make([]string, 0, len(families))
	for name := range families {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if _, err := expfmt.MetricFamilyToText(w, families[name]); err != nil {
			return err
		}
	}
	return nil
}

// addMetric adds a metric to the family with its name. Histograms become
// Prometheus summaries.
func addMetric(families map[string]*dto.MetricFamily, name string, labels Labels, value any) {
	metric := &dto.Metric{Label: labels.pairs()}
	kind := dto.MetricType_COUNTER
	switch v := value.(type) {
	case metrics.Counter:
		metric.Counter = &dto.Counter{Value: new(float64(v.Count()))}
	case metrics.GaugeFloat64:
		kind = dto.MetricType_GAUGE
		metric.Gauge = &dto.Gauge{Value: new(v.Value())}
	case metrics.Histogram:
		kind = dto.MetricType_SUMMARY
		metric.Summary = summary(v.Snapshot())
	}
	family, ok := families[name]
	if !ok {
		family = &dto.MetricFamily{Name: &name, Type: &kind}
		families[name] = family
	}
	family.Metric = append(family.Metric, metric)
}

// quantiles are the quantiles exported for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// summary converts a histogram of nanoseconds to a summary in seconds.
func summary(h metrics.Histogram) *dto.Summary {
	s := &dto.Summary{
		SampleCount: new(uint64(h.Count())),
		SampleSum:   new(h.Mean() * float64(h.Count()) / float64(time.Second)),
	}
	for i, value := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{
			Quantile: new(quantiles[i]),
			Value:    new(value / float64(time.Second)),
		})
	}
	return s
}

// pairs returns the labels that are not empty.
func (l Labels) pairs() []*dto.LabelPair {
	var pairs []*dto.LabelPair
	if l.Workspace != "" {
		pairs = append(pairs, &dto.LabelPair{Name: new("workspace"), Value: new(string(l.Workspace))})
	}
	if l.Class != "" {
		pairs = append(pairs, &dto.LabelPair{Name: new("class"), Value: new(string(l.Class))})
	}
	return pairs
}
