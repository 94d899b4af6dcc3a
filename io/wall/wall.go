package wall

import (
	"time"

	"golang.org/x/sys/unix"

	"cyclamenford/core"
)

// Clock reads the machine's clock in milliseconds.
type Clock struct {
	start core.Millis
}

// New returns a clock whose monotonic time starts near 1.
func New() *Clock {
	return &Clock{start: sinceBoot() - 1}
}

// Now returns the milliseconds since the clock was made, unaffected by changes of the time of day.
//
// Time during which the machine was suspended counts, since leases granted by others run out in it.
func (c *Clock) Now() core.Millis {
	return sinceBoot() - c.start
}

// Unix returns the milliseconds since the Unix epoch.
func (c *Clock) Unix() core.Millis {
	return core.Millis(time.Now().UnixMilli())
}

func sinceBoot() core.Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return core.Millis(t.Sec*1000 + t.Nsec/int64(time.Millisecond))
}
