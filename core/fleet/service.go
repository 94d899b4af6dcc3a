package fleet

import (
	"cyclamenford/core"
	"cyclamenford/core/conf"
)

const (
	// typicalFill is the part of a full call that a call is planned with.
	typicalFill = 0.6
	// firstByteGuess is the time to the first byte of a service that was never used, in milliseconds.
	firstByteGuess = 120.0
	// roomShare is the part of the room that is in use at most: a call's results rarely fill the rest, and their sizes are
	// approximate.
	roomShare = 0.85
	// footprintShare is the weight of one result in what results take up: about the last second of a busy service counts.
	footprintShare = 0.02
)

// Service is the endpoints of one service and what has been learned of them together.
type Service struct {
	conf.Service
	// endpoints are in the order of their names.
	endpoints []*Endpoint
	first     estimate
	budget    Budget
	// footprint is the room that a result takes up times how long, in byte milliseconds.
	footprint estimate
	// fastestKnown is the fastest endpoint's speed at fastestAt.
	fastestAt    core.Millis
	fastestKnown float64
}

// Endpoints returns the service's endpoints in the order of their names; the list must not be changed.
func (s *Service) Endpoints() []*Endpoint { return s.endpoints }

// FirstByte returns the observed milliseconds from the grant of a request to the first byte of its answer.
func (s *Service) FirstByte() float64 { return s.first.value }

// CallTime returns the expected milliseconds of a typical call of a stage's service, 0 for other services.
func (s *Service) CallTime() float64 {
	if s.Pieces == nil {
		return 0
	}
	return s.Pieces.CallTime + typicalFill*float64(s.Pieces.Batch)*s.Pieces.ItemTime
}

// Capacity returns the number of pieces that the usable endpoints of a stage's service prepare in a millisecond: by full
// calls, or as many as there is room for when results are held for long.
func (s *Service) Capacity(now core.Millis) float64 {
	sum := 0.0
	full := s.Pieces.CallTime + float64(s.Pieces.Batch)*s.Pieces.ItemTime
	for _, e := range s.endpoints {
		if e.Usable(now) {
			rate := float64(max(1, s.Pieces.Batch)*max(1, s.Pieces.Slots)) / (full * max(fastest, e.speed.value))
			if s.footprint.value > 0 && s.Pieces.Room > 0 {
				rate = min(rate, roomShare*float64(s.Pieces.Room)/s.footprint.value)
			}
			sum += rate
		}
	}
	return sum
}

// LearnHeld notes that a result of so many bytes was held for a time, from the start of its call.
func (s *Service) LearnHeld(bytes int64, held core.Millis) {
	s.footprint.value += footprintShare * (float64(bytes)*float64(held) - s.footprint.value)
}

// CountFirst notes a request's first attempt, which earns the service a share of a repeat.
func (s *Service) CountFirst(now core.Millis, r Retries) { s.budget.First(now, r) }

// RepeatsLeft returns how many repeats the service's budget holds.
func (s *Service) RepeatsLeft(now core.Millis, r Retries) int { return s.budget.Left(now, r) }

// SpendRepeat takes one repeat out of the service's budget and reports whether there was one.
func (s *Service) SpendRepeat(now core.Millis, r Retries) bool { return s.budget.Spend(now, r) }

// fastestSpeed returns the speed of the fastest usable endpoint; it is looked for once in a millisecond, since it is asked for
// each endpoint.
func (s *Service) fastestSpeed(now core.Millis) float64 {
	if s.fastestAt == now && s.fastestKnown > 0 {
		return s.fastestKnown
	}
	best := 0.0
	for _, e := range s.endpoints {
		if e.Usable(now) && (best == 0 || e.speed.value < best) {
			best = e.speed.value
		}
	}
	s.fastestAt, s.fastestKnown = now, max(fastest, best)
	return s.fastestKnown
}
