package reach

import "cyclamenford/core"

const (
	// DirectHeadStart is how long a direct attempt may take before a carrier is tried beside it: many round trips inside a region.
	DirectHeadStart = 100 * core.Millis(1)
	// ProbePeriod is the time between two direct attempts of an isolated host.
	ProbePeriod = 200 * core.Millis(1)
	// detourTime is how long an address that only a carrier has reached is connected to through carriers first.
	detourTime = core.Second
	// isolatingAddresses is the number of addresses that only carriers have reached after which the host counts as isolated.
	isolatingAddresses = 2
	// healingAttempts is the number of direct attempts in a row that must succeed for an isolated host to count as connected.
	healingAttempts = 2
)

// Way is how a connection to an endpoint is opened.
type Way string

// The ways to an endpoint.
const (
	Direct  Way = "Direct"
	Carried Way = "Carried"
)

// Tracker holds what a host knows of its own links to endpoints.
//
// An address that nobody reaches says nothing about this host: only one that a carrier has reached after a direct attempt failed does.
type Tracker struct {
	// detours holds until when addresses that only carriers have reached are connected to through carriers first.
	detours map[string]core.Millis
	// unreached holds the addresses that only carriers have reached since a direct attempt last succeeded.
	unreached map[string]bool
	isolated  bool
	// succeeded is the number of direct attempts in a row that have succeeded while the host is isolated.
	succeeded int
	probedAt  core.Millis
}

// NewTracker returns a tracker of a host that reaches everything.
func NewTracker() *Tracker {
	return &Tracker{detours: map[string]core.Millis{}, unreached: map[string]bool{}}
}

// Isolated reports whether the host is taken to reach no endpoint.
func (t *Tracker) Isolated() bool { return t.isolated }

// First returns the way that is tried first for a new connection to an address.
func (t *Tracker) First(now core.Millis, address string) Way {
	if t.isolated || now < t.detours[address] {
		return Carried
	}
	return Direct
}

// ProbeDue reports whether an isolated host should try to connect directly, and counts that attempt as begun.
func (t *Tracker) ProbeDue(now core.Millis) bool {
	if !t.isolated || now-t.probedAt < ProbePeriod {
		return false
	}
	t.probedAt = now
	return true
}

// RecordDirect records that a direct attempt has connected to an address, or failed. It reports whether the host counts as isolated no more.
func (t *Tracker) RecordDirect(address string, connected bool) (healed bool) {
	if !connected {
		t.succeeded = 0
		return false
	}
	clear(t.unreached)
	delete(t.detours, address)
	if !t.isolated {
		return false
	}
	t.succeeded++
	if t.succeeded < healingAttempts {
		return false
	}
	t.isolated = false
	clear(t.detours)
	return true
}

// RecordDetour records that a carrier has connected to an address to which a direct attempt has failed. It reports whether the host counts as
// isolated from now on.
func (t *Tracker) RecordDetour(now core.Millis, address string) (isolated bool) {
	for a, until := range t.detours {
		if now >= until {
			delete(t.detours, a)
		}
	}
	t.detours[address] = now + detourTime
	t.unreached[address] = true
	if t.isolated || len(t.unreached) < isolatingAddresses {
		return false
	}
	t.isolated, t.succeeded, t.probedAt = true, 0, now
	return true
}
