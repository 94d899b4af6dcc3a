package speed

import (
	"math"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

const (
	// momentTime is the time in milliseconds after which a report's deviation from the usual slowdown has decayed to 1/e.
	// Slow periods of engines last about 600 ms, and a report falls on average into the middle of one.
	momentTime = 400.0
	// usualTime is the time in milliseconds that the usual slowdown of an endpoint averages over: about ten slow periods
	// and the times between them.
	usualTime = 20_000.0
	// firstWeight is the least weight of the first reports in the usual slowdown, so that it is known after a few of
	// them. The n-th report has at least the weight firstWeight/n.
	firstWeight = 1.0
	// firstReports is the number of reports for which that holds.
	firstReports = 10
	// forgetTime is the time in milliseconds after which the usual slowdown of an endpoint without reports has decayed to
	// that of its service by the factor 1/e.
	forgetTime = 60_000.0
	// firstGap and maxGap are the time in milliseconds that the first report of an endpoint speaks for, and the most that any
	// later one does.
	firstGap, maxGap = 100.0, 2000.0
	// maxFactor bounds the usual slowdown of an endpoint, relative to that of its service, in both directions. A single
	// wrong report must not exclude an endpoint for long.
	maxFactor = 20.0
)

// Endpoint is the estimated slowdown of one endpoint in one incarnation: 1 means that work takes as long as the endpoint's
// kind usually needs. The zero value has no reports.
type Endpoint struct {
	reports int
	// usual is the mean slowdown over usualTime, and moment the slowdown of the last report, made at reportedAt.
	usual, moment float64
	reportedAt    core.Millis
}

// Stated reports whether the endpoint has stated its slowdown.
func (e *Endpoint) Stated() bool { return e.reports > 0 }

// Record records a report that was made now, if it states a slowdown, and passes it on to the estimate of the service.
// It reports whether the report was used.
func (e *Endpoint) Record(now core.Millis, r order.LoadReport, s *Service) bool {
	if !r.Stated || !(r.Slowness > 0) || math.IsInf(r.Slowness, 1) {
		return false
	}
	sample := bounded(r.Slowness, s.Usual())
	e.reports++
	// Reports that follow each other closely say the same, so the weight grows with the time since the last one.
	weight := 1 - math.Exp(-float64(max(0, now-e.reportedAt))/usualTime)
	if e.reports <= firstReports {
		weight = max(weight, firstWeight/float64(e.reports))
	}
	s.addUsual(sample, e.gap(now))
	e.usual += weight * (sample - e.usual)
	e.moment, e.reportedAt = sample, now
	return true
}

// gap returns the time in milliseconds that a report made now speaks for: that since the last one, but not longer than
// maxGap.
func (e *Endpoint) gap(now core.Millis) float64 {
	if e.reports == 1 {
		return firstGap
	}
	return min(maxGap, float64(max(0, now-e.reportedAt)))
}

func bounded(v, around float64) float64 {
	return min(around*maxFactor, max(around/maxFactor, v))
}

// Usual returns the mean slowdown of the endpoint. Without reports it decays to that of the service.
func (e *Endpoint) Usual(now core.Millis, s *Service) float64 {
	if !e.Stated() {
		return s.Usual()
	}
	keep := math.Exp(-float64(max(0, now-e.reportedAt)) / forgetTime)
	return s.Usual() + keep*(e.usual-s.Usual())
}

// Moment returns the slowdown that is expected now: that of the last report, which decays to the usual one.
func (e *Endpoint) Moment(now core.Millis, s *Service) float64 {
	usual := e.Usual(now, s)
	if !e.Stated() {
		return usual
	}
	return usual + math.Exp(-float64(e.Age(now))/momentTime)*(e.moment-usual)
}

// Over returns the mean slowdown that is expected from now on for a time in milliseconds.
func (e *Endpoint) Over(now core.Millis, span float64, s *Service) float64 {
	usual, moment := e.Usual(now, s), e.Moment(now, s)
	x := span / momentTime
	if x < 1e-3 {
		return moment
	}
	return usual + (moment-usual)*(1-math.Exp(-x))/x
}

// Age returns the time since the last report, 0 if there was none.
func (e *Endpoint) Age(now core.Millis) core.Millis {
	if !e.Stated() {
		return 0
	}
	return max(0, now-e.reportedAt)
}

// Latest returns the slowdown of the last report, or false if that was made before the given time.
func (e *Endpoint) Latest(since core.Millis) (float64, bool) {
	return e.moment, e.Stated() && e.reportedAt >= since
}

// Observation is the estimate of one endpoint in the form in which another keeper may copy it.
type Observation struct {
	// Reports is the number of reports in the estimate, Usual the mean slowdown, and Moment that of the last report.
	Reports       int
	Usual, Moment float64
	// Age is the time since the last report.
	Age core.Millis
}

// Observation returns the present estimate.
func (e *Endpoint) Observation(now core.Millis) Observation {
	return Observation{Reports: e.reports, Usual: e.usual, Moment: e.moment, Age: e.Age(now)}
}

// Restore takes over an estimate that another keeper has made, unless this one has a later report or the values are
// invalid.
func (e *Endpoint) Restore(now core.Millis, o Observation) {
	at := now - max(0, o.Age)
	if o.Reports <= 0 || !valid(o.Usual) || !valid(o.Moment) || e.Stated() && e.reportedAt >= at {
		return
	}
	e.reports, e.usual, e.moment, e.reportedAt = o.Reports, o.Usual, o.Moment, at
}

// valid reports whether a slowdown or a time is a positive finite number.
func valid(v float64) bool { return v > 0 && !math.IsInf(v, 1) }
