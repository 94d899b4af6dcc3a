package plan

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenford/core"
)

const (
	// window is how long a histogram collects samples before it becomes the previous one and the older one is reset.
	window            = 30 * core.Second
	maxMillis         = 10 * 60 * 1000
	significantDigits = 2
	minSamples        = 20
	tailPercentile    = 95
	// reservePercentile is the percentile of a stage's duration that Remaining reserves time for.
	reservePercentile = 99
	medianPercentile  = 50
)

// Key identifies the durations to estimate: a stage of a pipeline on its pool, by priority, because endpoints serve
// urgent requests first.
type Key struct {
	Pool     core.PoolID
	Name     string
	Priority core.Priority
}

// series holds the histograms of one key. current collects observations since startedAt, and previous is used while
// current has too few.
type series struct {
	current, previous *hdrhistogram.Histogram
	startedAt         core.Millis
}

// Estimator estimates stage durations from a sliding window of observations.
type Estimator struct {
	series map[Key]*series
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{series: map[Key]*series{}}
}

// Observe records how long a stage ran at an endpoint.
func (e *Estimator) Observe(now core.Millis, k Key, took core.Millis) {
	s, ok := e.series[k]
	if !ok {
		s = &series{current: newHistogram(), previous: newHistogram(), startedAt: now}
		e.series[k] = s
	}
	if now-s.startedAt >= window {
		s.previous, s.current = s.current, s.previous
		s.current.Reset()
		s.startedAt = now
	}
	_ = s.current.RecordValue(int64(min(max(took, 0), maxMillis)))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMillis, significantDigits)
}

// percentile returns a percentile of a stage's duration, or false if there are too few samples.
func (e *Estimator) percentile(k Key, percent float64) (core.Millis, bool) {
	s, ok := e.series[k]
	if !ok {
		return 0, false
	}
	h := s.current
	if h.TotalCount() < minSamples {
		h = s.previous
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return core.Millis(h.ValueAtQuantile(percent)), true
}

// Median returns the median duration of a stage, or 0 if there are too few samples.
func (e *Estimator) Median(k Key) core.Millis {
	m, _ := e.percentile(k, medianPercentile)
	return m
}

// Tail returns the 95th percentile of a stage's duration, or 0 if there are too few samples.
func (e *Estimator) Tail(k Key) core.Millis {
	t, _ := e.percentile(k, tailPercentile)
	return t
}

// Remaining returns the time to reserve for the given stages: the sum of their medians, plus the largest difference
// between a stage's 99th percentile and its median.
func (e *Estimator) Remaining(stages []Key) core.Millis {
	sum, spread := core.Millis(0), core.Millis(0)
	for _, k := range stages {
		m := e.Median(k)
		sum += m
		longest, _ := e.percentile(k, reservePercentile)
		spread = max(spread, longest-m)
	}
	return sum + spread
}

// LatestStart returns the latest time at which the first of the stages can start and the deadline can still probably be
// met.
func (e *Estimator) LatestStart(deadlineAt core.Millis, stages []Key) core.Millis {
	return deadlineAt - e.Remaining(stages)
}
