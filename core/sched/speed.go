package sched

import (
	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
	"cyclamenford/core/speed"
)

// predictionAge is how long the prediction of a request's first byte is used, in milliseconds. A prediction looks at all
// engines of a service, and each pass over the queues asks for it several times for each request.
const predictionAge = 100 * core.Millis(1)

// firstBytePrediction is a prediction of the time to the first byte that was made at a time.
type firstBytePrediction struct {
	at, value core.Millis
	made      bool
}

// RecordLoad records what an endpoint incarnation states of its load now. It reports whether the statement was used.
func (s *Scheduler) RecordLoad(now core.Millis, l core.Life, r order.LoadReport) bool {
	s.now = now
	return s.fleet.RecordLoad(now, l, r)
}

// predictFirstByte returns the predicted time from a request's grant to the first byte: what the best engine gives now if
// engines state their slowdown, or else the mean of the service.
func (s *Scheduler) predictFirstByte(svc *service, r *request) core.Millis {
	if p := r.firstByte; p.made && s.now-p.at < predictionAge {
		return p.value
	}
	if !svc.Speed().Stated() {
		return core.Millis(svc.FirstByteTime())
	}
	best, ok := svc.BestFirstByte(s.now, r.Prompt, r.chain)
	if !ok {
		best = svc.FirstByteTime()
	}
	r.firstByte = firstBytePrediction{at: s.now, value: core.Millis(best), made: true}
	return r.firstByte.value
}

// AssumedSpeed returns the slowdown that is assumed of an endpoint now, and the age of its last report in milliseconds. Both
// are 0 for an endpoint that states no slowdown.
func (s *Scheduler) AssumedSpeed(now core.Millis, id core.EndpointID) (slowdown float64, age core.Millis) {
	return s.fleet.AssumedSpeed(now, id)
}

// Speeds returns the estimates of all endpoints that state their slowdown, ordered by service and ID, and those of their services by
// name, for a copy at another keeper.
func (s *Scheduler) Speeds(now core.Millis) ([]fleet.EndpointSpeed, map[string]speed.ServiceObservation) {
	var list []fleet.EndpointSpeed
	services := map[string]speed.ServiceObservation{}
	for _, name := range s.serviceNames() {
		reporting := s.services[name].EndpointSpeeds(now)
		if len(reporting) > 0 {
			services[name] = s.services[name].Speed().Observation()
		}
		list = append(list, reporting...)
	}
	return list, services
}

// RestoreSpeeds takes over the estimates that another keeper has made. Those of other incarnations and of unknown services
// are ignored, so that the endpoints and services must be set before.
func (s *Scheduler) RestoreSpeeds(now core.Millis, list []fleet.EndpointSpeed, services map[string]speed.ServiceObservation) {
	for name, o := range services {
		if svc, ok := s.services[name]; ok {
			svc.Speed().Restore(o)
		}
	}
	for _, x := range list {
		s.fleet.RestoreSpeed(now, x)
	}
}

// SpeedStatus is what the endpoints of a service state of their speed.
type SpeedStatus struct {
	// Reporting is the number of endpoints that state their slowdown. The other values are 0 if there are none.
	Reporting int
	// Usual is the mean slowdown of the service, and Slow the number of endpoints that count as slow now.
	Usual float64
	Slow  int
	// TokenTime is the time to read one prompt token at a slowdown of 1, and BaseTime the time to the first byte without
	// reading, in milliseconds. Both are learned for engines only.
	TokenTime, BaseTime float64
	// OldestReport is the largest age of the endpoints' last reports.
	OldestReport core.Millis
}

func (s *Scheduler) speedStatus(svc *service, now core.Millis) SpeedStatus {
	var x SpeedStatus
	for _, e := range svc.Endpoints() {
		if !e.ReportsSpeed() {
			continue
		}
		x.Reporting++
		x.OldestReport = max(x.OldestReport, e.ReportAge(now))
		if e.Slow(now) {
			x.Slow++
		}
	}
	if x.Reporting == 0 {
		return x
	}
	x.Usual = svc.Speed().Usual()
	if svc.Engine != nil {
		x.TokenTime, x.BaseTime = svc.Speed().TokenTime(), svc.Speed().BaseTime()
	}
	return x
}
