package wall

import (
	"time"

	"cyclamenford/core"
)

// Clock reads the machine's clock in milliseconds.
type Clock struct {
	start time.Time
}

// New returns a clock whose monotonic time starts near 1.
func New() *Clock {
	return &Clock{start: time.Now().Add(-time.Millisecond)}
}

// Now returns the milliseconds since the clock was made, unaffected by changes of the time of day.
func (c *Clock) Now() core.Millis {
	return core.Millis(time.Since(c.start) / time.Millisecond)
}

// Unix returns the milliseconds since the Unix epoch.
func (c *Clock) Unix() core.Millis {
	return core.Millis(time.Now().UnixMilli())
}
