package entry

import (
	"sync"
	"sync/atomic"

	"cyclamenford/core/conf"
	"cyclamenford/core/lease"
)

// servingLease is the lease of this host as far as its configuration is in force.
type servingLease struct {
	// applied is the version of the newest configuration that was put in force, or that could not be parsed.
	applied atomic.Uint64

	mu    sync.Mutex
	cover lease.Cover
}

// servingTable returns the configuration in force, and whether the host may serve by it. A lease that was renewed after it had run out
// counts only once the configuration is in force that came with it.
func (e *Entry) servingTable() (*conf.Table, bool) {
	s := &e.serving
	s.mu.Lock()
	defer s.mu.Unlock()
	// The lease is read before the image and the image before the version in force, so that neither is older than the lease.
	until := e.control.ServingUntil()
	received := e.control.Image().Config.Version
	s.cover = s.cover.With(until, s.applied.Load(), received)
	table := e.table.Load()
	return table, table != nil && s.cover.Serves(e.clock.Now())
}
