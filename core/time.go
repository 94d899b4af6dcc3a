package core

import (
	"context"
	"time"
)

// Millis is a point in time or a span of time in milliseconds.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Duration returns the span as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock tells the time in milliseconds.
type Clock interface {
	// Now returns milliseconds on a monotonic clock that only this process can compare.
	Now() Millis
	// Unix returns milliseconds since the Unix epoch.
	Unix() Millis
}

// Service is a part of the process that the kernel starts and stops.
type Service interface {
	// Start returns once the service is usable, or an error with its cause.
	Start(ctx context.Context) error
	// Stop returns once the service has ended its work, or when ctx ends.
	Stop(ctx context.Context) error
}
