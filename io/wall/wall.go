package wall

import (
	"time"

	"golang.org/x/sys/unix"

	"cyclamenford/core"
)

// Clock reads the machine's monotonic and wall clocks in milliseconds.
type Clock struct {
	start core.Millis
}

// New returns a clock whose monotonic time starts near 1.
func New() *Clock {
	return &Clock{start: sinceBoot() - 1}
}

// Now returns the milliseconds since the clock was created, unaffected by changes of the wall clock.
//
// It includes the time during which the machine is suspended, since leases granted by other hosts expire during it.
func (c *Clock) Now() core.Millis {
	return sinceBoot() - c.start
}

// Unix returns the milliseconds since the Unix epoch.
func (c *Clock) Unix() core.Millis {
	return core.Millis(time.Now().UnixMilli())
}

// sinceBoot returns the time since the machine's boot, including suspension.
func sinceBoot() core.Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// This cannot fail on a supported kernel: Linux has CLOCK_BOOTTIME since 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return core.Millis(t.Sec*1000 + t.Nsec/int64(time.Millisecond))
}
