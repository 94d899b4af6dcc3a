package brittle

import (
	"maps"

	"cyclamenford/core"
)

// Window is the time in which an endpoint bears as many refusals as it says.
const Window = core.Second

// inFlightShare is the part of the refusals that is left for requests which are on their way when an endpoint is held back.
const inFlightShare = 2

// Guard counts the refusals of endpoints to all hosts together.
type Guard struct {
	// refusals holds the times of the refusals within the last Window, the oldest first.
	refusals map[core.Life][]core.Millis
}

// New returns a guard that knows of no refusals.
func New() *Guard { return &Guard{refusals: map[core.Life][]core.Millis{}} }

// Record counts a refusal of an incarnation that bears the given number of them in a Window, and returns until when the endpoint is to be held
// back.
func (g *Guard) Record(now core.Millis, l core.Life, bears int) core.Millis {
	maps.DeleteFunc(g.refusals, func(_ core.Life, times []core.Millis) bool { return now-times[len(times)-1] >= Window })
	times := g.refusals[l]
	for len(times) > 0 && now-times[0] >= Window {
		times = times[1:]
	}
	times = append(times, now)
	g.refusals[l] = times
	until := now + Spacing(bears)
	if allowed := allowedRefusals(bears); len(times) >= allowed {
		// One more is allowed once fewer than allowed are left in the window.
		until = max(until, times[len(times)-allowed]+Window)
	}
	return until
}

// Spacing returns the time between two refusals at which an endpoint that bears the given number of them is safe.
func Spacing(bears int) core.Millis { return Window / core.Millis(allowedRefusals(bears)) }

// allowedRefusals returns the number of refusals in a Window that are risked.
func allowedRefusals(bears int) int { return max(1, bears/inFlightShare) }

// Count returns the number of refusals of an incarnation within the last Window.
func (g *Guard) Count(now core.Millis, l core.Life) int {
	n := 0
	for _, at := range g.refusals[l] {
		if now-at < Window {
			n++
		}
	}
	return n
}
