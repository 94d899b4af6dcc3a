package member

import "cyclamenford/core"

const (
	// driftShare is the part of the time by which two steady clocks may drift apart.
	driftShare = 0.001
	// sameStart is how closely two announcements must agree on the endpoint's start to have come without delay: the jitter of the
	// way between two of them.
	sameStart = 300 * core.Millis(1)
	// apart is the least time between such two: those that were held back come together.
	apart = 500 * core.Millis(1)
)

// start is what a host knows of the moment at which an endpoint's life began, on its own clock.
type start struct {
	known bool
	// at is the earliest start that an announcement has shown: that of the one with the least delay.
	at core.Millis
	// last is the start that the last announcement showed, and heard when it came.
	last, heard core.Millis
}

// delay takes in the start that an announcement shows by its uptime, and returns how much longer than the fastest one it was on
// its way. A steady clock that stood still, as on a suspended machine, shows in two announcements that agree on a later start.
func (s *start) delay(now, shown, uptime core.Millis) core.Millis {
	if uptime <= 0 {
		return 0
	}
	earliest := s.at + core.Millis(driftShare*float64(now-s.heard))
	agrees := s.known && now-s.heard >= apart && max(shown-s.last, s.last-shown) <= sameStart
	if !s.known || shown < earliest || agrees {
		earliest = shown
	}
	*s = start{known: true, at: earliest, last: shown, heard: now}
	return shown - earliest
}
