package clock

import (
	"sync"

	"cyclamenford/core"
)

// Manual is a clock that changes only when it is advanced. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now core.Millis
}

// New returns a manual clock set to the given time.
func New(now core.Millis) *Manual {
	return &Manual{now: now}
}

// Now returns the current time of the clock.
func (c *Manual) Now() core.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Unix returns the same time as Now.
func (c *Manual) Unix() core.Millis {
	return c.Now()
}

// Advance moves the clock forward and returns the new time.
func (c *Manual) Advance(by core.Millis) core.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += by
	return c.now
}
