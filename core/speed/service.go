package speed

import "cyclamenford/core"

const (
	// initialTokenTime is the assumed time to read one prompt token in milliseconds before the first observation.
	initialTokenTime = 0.03
	// minTokenTime and maxTokenTime bound the learned time in milliseconds.
	minTokenTime, maxTokenTime = 0.0005, 1.0
	// initialTokens is the number of tokens of the assumed observation that the estimate starts from, and initialBase the
	// assumed time in milliseconds from the grant to the first byte without any reading.
	initialTokens = 5000.0
	initialBase   = 25.0
	// keepShare is the share that the earlier observations keep with each new one, so that about the last 200 count.
	keepShare = 0.995
	// usualSpan is the time in milliseconds, summed over the endpoints, that the usual slowdown of a service averages over:
	// 10 s of a hundred endpoints.
	usualSpan = 1e6
)

// Service is the estimated speed of the endpoints of one service that state their slowdown. The time from a grant to the
// first byte is a base time plus the time to read the tokens, at the slowdown that the answer states; both are fitted to
// the observations by least squares.
type Service struct {
	reports int
	usual   float64
	// span is the time in milliseconds that usual averages over.
	span float64
	// count, x, y, xx and xy are the decayed sums of the fit. x is tokens times slowdown, and y milliseconds.
	count, x, y, xx, xy float64
}

// NewService returns the estimate of a service without observations.
func NewService() *Service {
	s := &Service{usual: 1}
	s.add(0, initialBase)
	s.add(initialTokens, initialBase+initialTokens*initialTokenTime)
	return s
}

// addUsual adds a report that speaks for a time in milliseconds. Fast endpoints answer more often, so that a mean over the
// reports would be below the mean over the endpoints.
func (s *Service) addUsual(sample, span float64) {
	s.reports++
	s.span = min(usualSpan, s.span+span)
	if s.span > 0 {
		s.usual += span / s.span * (sample - s.usual)
	}
}

// Stated reports whether an endpoint of the service has stated its slowdown.
func (s *Service) Stated() bool { return s.reports > 0 }

// Usual returns the mean slowdown of the service's endpoints, 1 before the first report.
func (s *Service) Usual() float64 { return s.usual }

func (s *Service) add(x, y float64) {
	s.count = s.count*keepShare + 1
	s.x = s.x*keepShare + x
	s.y = s.y*keepShare + y
	s.xx = s.xx*keepShare + x*x
	s.xy = s.xy*keepShare + x*y
}

// RecordFirstByte records the time from a grant to the first byte of the answer. tokens are the prompt tokens that the
// endpoint had to read until then, with those of earlier requests, and slowdown is what the answer states.
func (s *Service) RecordFirstByte(tokens int, slowdown float64, elapsed core.Millis) {
	if tokens < 0 || elapsed < 0 || !valid(slowdown) {
		return
	}
	s.add(float64(tokens)*slowdown, float64(elapsed))
}

// TokenTime returns the time to read one prompt token at a slowdown of 1, in milliseconds.
func (s *Service) TokenTime() float64 {
	spread := s.count*s.xx - s.x*s.x
	if spread <= 0 {
		return initialTokenTime
	}
	return min(maxTokenTime, max(minTokenTime, (s.count*s.xy-s.x*s.y)/spread))
}

// BaseTime returns the time from a grant to the first byte without the time to read the prompt, in milliseconds.
func (s *Service) BaseTime() float64 {
	return max(0, (s.y-s.TokenTime()*s.x)/s.count)
}

// ServiceObservation is the estimate of a service in the form in which another keeper may copy it. It has no age, because it
// changes with observations only.
type ServiceObservation struct {
	// Reports is the number of reports in Usual, the mean slowdown over Span milliseconds, summed over the endpoints.
	Reports     int
	Usual, Span float64
	// Count, X, Y, XX and XY are the sums of the fit: X is tokens times slowdown, Y milliseconds.
	Count, X, Y, XX, XY float64
}

// Observation returns the present estimate.
func (s *Service) Observation() ServiceObservation {
	return ServiceObservation{Reports: s.reports, Usual: s.usual, Span: s.span, Count: s.count, X: s.x, Y: s.y, XX: s.xx, XY: s.xy}
}

// Restore takes over an estimate that another keeper has made, unless this one has more reports or the values are invalid.
func (s *Service) Restore(o ServiceObservation) {
	if o.Reports <= s.reports || !valid(o.Usual) || !valid(o.Span) || !valid(o.Count) || !valid(o.X) || !valid(o.Y) || !valid(o.XX) || !valid(o.XY) {
		return
	}
	*s = Service{reports: o.Reports, usual: o.Usual, span: min(usualSpan, o.Span), count: o.Count, x: o.X, y: o.Y, xx: o.XX, xy: o.XY}
}
