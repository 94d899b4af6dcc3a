package core

import (
	"context"
	"time"
)

// Millis is a point in time or a duration in milliseconds.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Duration returns the duration as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock provides the current time in milliseconds.
type Clock interface {
	// Now returns milliseconds on a monotonic clock. The value is meaningful only within this process.
	Now() Millis
	// Unix returns milliseconds since the Unix epoch.
	Unix() Millis
}

// Service is a component of a process that the service registry starts and stops.
type Service interface {
	// Start returns nil once the service is usable, or an error if it can't be started.
	Start(ctx context.Context) error
	// Stop returns once the service has stopped, or when ctx ends.
	Stop(ctx context.Context) error
}
