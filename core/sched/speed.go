package sched

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
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
	best, ok := svc.BestFirstByte(s.now, r.Prompt, r.chain)
	if !ok {
		return core.Millis(svc.FirstByteTime())
	}
	r.firstByte = firstBytePrediction{at: s.now, value: core.Millis(best), made: true}
	return r.firstByte.value
}
