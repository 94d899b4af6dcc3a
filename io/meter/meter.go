package meter

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize and reservoirAlpha are the sample size and the decay factor of histograms.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Meter is a set of counters, gauges and histograms, each registered under its name at its first use.
type Meter struct {
	registry metrics.Registry
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// Count adds n to a counter. Labels are pairs of key and value and become part of the metric's name.
func (m *Meter) Count(name string, n int64, labels ...string) {
	metrics.GetOrRegisterCounter(metricName(name, labels), m.registry).Inc(n)
}

// CounterValue returns the value of a counter.
func (m *Meter) CounterValue(name string, labels ...string) int64 {
	return metrics.GetOrRegisterCounter(metricName(name, labels), m.registry).Count()
}

// SetGauge sets the value of a gauge.
func (m *Meter) SetGauge(name string, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(metricName(name, labels), m.registry).Update(value)
}

// RemoveGauge removes a gauge whose object is gone.
func (m *Meter) RemoveGauge(name string, labels ...string) {
	m.registry.Unregister(metricName(name, labels))
}

// Observe adds a value to a histogram. The value's unit is the one at the end of the name, such as ms.
func (m *Meter) Observe(name string, value int64, labels ...string) {
	h := m.registry.GetOrRegister(metricName(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(value)
	}
}

// metricName returns the name with the label pairs appended as {key="value",...}.
func metricName(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	b.WriteByte('}')
	return b.String()
}

// Write writes the metrics as lines of name and value, sorted. A histogram has a line for its count and one for each
// quantile.
func (m *Meter) Write(w io.Writer) error {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		switch x := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, x.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, x.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(name, x.Snapshot())...)
		}
	})
	slices.Sort(lines)
	if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// histogramLines returns the lines of a histogram: its number of observations, and the 0.5, 0.95 and 0.99 quantiles.
func histogramLines(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	if labels != "" {
		labels += ","
	}
	quantiles := []float64{0.5, 0.95, 0.99}
	lines := []string{fmt.Sprintf("%s_count{%s} %d", base, strings.TrimSuffix(labels, ","), h.Count())}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{%squantile=\"%g\"} %g", base, labels, quantiles[i], v))
	}
	return lines
}
