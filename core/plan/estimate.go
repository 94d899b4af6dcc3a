package plan

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenford/core"
)

const (
	// window is how long a histogram collects before it replaces the older one.
	window       = 30 * core.Second
	maxMillis    = 10 * 60 * 1000
	digits       = 2
	minSamples   = 20
	tailQuantile = 95
	// reserveQuantile is the part of runs, in percent, that the time reserved for a stage covers.
	reserveQuantile = 99
	medianQuantile  = 50
)

// Key names what is being estimated: a stage of a pipeline on its pool, by priority, since endpoints serve the urgent first.
type Key struct {
	Pool     core.PoolID
	Name     string
	Priority core.Priority
}

type series struct {
	current, previous *hdrhistogram.Histogram
	began             core.Millis
}

// Estimator learns stage times from a sliding window of observations.
type Estimator struct {
	series map[Key]*series
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{series: map[Key]*series{}}
}

// Observe records that a stage took the given time at an endpoint.
func (e *Estimator) Observe(now core.Millis, k Key, took core.Millis) {
	s, ok := e.series[k]
	if !ok {
		s = &series{current: newHistogram(), previous: newHistogram(), began: now}
		e.series[k] = s
	}
	if now-s.began >= window {
		s.previous, s.current = s.current, s.previous
		s.current.Reset()
		s.began = now
	}
	_ = s.current.RecordValue(int64(min(max(took, 0), maxMillis)))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMillis, digits)
}

// quantile returns a quantile in percent, or false while too little is known.
func (e *Estimator) quantile(k Key, percent float64) (core.Millis, bool) {
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

// Median returns the median time of a stage, 0 while too little is known.
func (e *Estimator) Median(k Key) core.Millis {
	m, _ := e.quantile(k, medianQuantile)
	return m
}

// Tail returns the time that 95 of 100 runs of a stage stay under, 0 while too little is known.
func (e *Estimator) Tail(k Key) core.Millis {
	t, _ := e.quantile(k, tailQuantile)
	return t
}

// Remaining returns the time to reserve for stages that still follow: their medians and the longest tail among them.
func (e *Estimator) Remaining(stages []Key) core.Millis {
	sum, spread := core.Millis(0), core.Millis(0)
	for _, k := range stages {
		m := e.Median(k)
		sum += m
		longest, _ := e.quantile(k, reserveQuantile)
		spread = max(spread, longest-m)
	}
	return sum + spread
}

// StartBy returns the last time at which the first of the stages can start and the deadline probably be met.
func (e *Estimator) StartBy(deadlineAt core.Millis, stages []Key) core.Millis {
	return deadlineAt - e.Remaining(stages)
}
