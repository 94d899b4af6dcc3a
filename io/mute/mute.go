package mute

import (
	"sync"

	"cyclamenford/core"
)

// maxSources limits the sources that are remembered. When there are more, all are forgotten, and each is logged once more.
const maxSources = 4096

// Muter allows one log line for each source and period. Its methods may be called concurrently.
type Muter struct {
	period core.Millis

	mu       sync.Mutex
	loggedAt map[string]core.Millis
}

// New returns a muter that allows one line for each source in a period in milliseconds.
func New(period core.Millis) *Muter {
	return &Muter{period: period, loggedAt: map[string]core.Millis{}}
}

// Allow reports whether a line about a source may be logged now, and counts it if so.
func (m *Muter) Allow(now core.Millis, source string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.loggedAt[source]; ok && now-at < m.period {
		return false
	}
	if len(m.loggedAt) >= maxSources {
		clear(m.loggedAt)
	}
	m.loggedAt[source] = now
	return true
}
