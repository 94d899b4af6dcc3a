package fleet

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
)

// Obstacle is why an endpoint cannot get a request now. It is empty if there is none.
type Obstacle string

// The obstacles that an endpoint itself has.
const (
	// Leaving means that this incarnation of the endpoint gets no new work.
	Leaving Obstacle = "Leaving"
	// Evacuated means that the operator has evacuated the failure domain of the endpoint.
	Evacuated Obstacle = "Evacuated"
	// BackingOff means that the endpoint has failed or refused a request shortly before.
	BackingOff Obstacle = "Backoff"
	// Paused means that the endpoint has asked for a pause.
	Paused Obstacle = "Paused"
	// WindowFull means that the window of an endpoint that has started or recovered has no room.
	WindowFull Obstacle = "WindowFull"
	// NoSlot means that the endpoint runs as many requests as it has slots.
	NoSlot Obstacle = "NoSlot"
	// NoMemory means that the prompt and its output do not fit into the memory of the engine.
	NoMemory Obstacle = "NoMemory"
)

// Usable reports whether the endpoint may get work: it is neither leaving nor evacuated, nor in backoff, nor paused.
func (e *Endpoint) Usable(now core.Millis) bool {
	return !e.leaving && !e.evacuated && now >= e.backoffUntil && !e.Paused(now)
}

// Unusable returns why the endpoint is not usable, and the milliseconds for which a backoff or pause lasts. It returns no
// obstacle if the endpoint is usable.
func (e *Endpoint) Unusable(now core.Millis) (Obstacle, core.Millis) {
	switch {
	case e.Usable(now):
		return "", 0
	case e.leaving:
		return Leaving, 0
	case e.evacuated:
		return Evacuated, 0
	case now < e.backoffUntil:
		return BackingOff, e.backoffUntil - now
	}
	return Paused, e.pausedUntil - now
}

// Fits reports whether the endpoint has a free slot and, if it is an engine, enough memory for the prompt and its
// output. An idle engine accepts a prompt of any size.
func (e *Endpoint) Fits(p order.Prompt) bool {
	engine := e.service.Engine
	if !e.hasPace(e.running) {
		return false
	}
	if engine == nil {
		return e.running < max(1, e.Slots)
	}
	return e.running < engine.Slots &&
		(e.running == 0 || e.heldTokens+p.Tokens+p.Output <= int(usableMemoryShare*float64(engine.CacheTokens)))
}

// Misfit returns why the endpoint has no room for a prompt and its output, or no obstacle if it has.
func (e *Endpoint) Misfit(p order.Prompt) Obstacle {
	engine := e.service.Engine
	switch {
	case e.Fits(p):
		return ""
	case !e.hasPace(e.running):
		return WindowFull
	case engine == nil || e.running >= engine.Slots:
		return NoSlot
	}
	return NoMemory
}
