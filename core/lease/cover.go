package lease

import "cyclamenford/core"

// Cover is how long a host may serve by the configuration that it has in force. A serving lease is granted for all that the host has
// received with it, so that it counts only once that is in force; until then the lease before it does.
type Cover struct {
	until core.Millis
}

// With returns the cover of a host whose lease holds until the given time, 0 if it has none, and which has a version of the configuration
// in force and has received another one, which is the same or newer.
func (c Cover) With(leaseUntil core.Millis, inForce, received uint64) Cover {
	if inForce >= received {
		return Cover{until: leaseUntil}
	}
	return Cover{until: min(c.until, leaseUntil)}
}

// Serves reports whether the host may serve.
func (c Cover) Serves(now core.Millis) bool { return now < c.until }
