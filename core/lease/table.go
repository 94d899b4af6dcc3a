package lease

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

const (
	// TTL is the duration of a serving lease. Its holder counts it from when it sent the request.
	TTL = 3 * core.Second
	// driftMargin is added on the leader's side for the drift between its clock and the holder's.
	driftMargin = TTL / 20
)

// Lease is the lease of one host: the incarnation that holds it, the highest revision that it has applied, and the time
// after which it can no longer be serving.
type Lease struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Revision    uint64
	Until       core.Millis
}

// Renewed returns when the leader last granted the lease.
func (l Lease) Renewed() core.Millis {
	return l.Until - TTL - driftMargin
}

// Table holds the leases that one leader has granted in its term.
type Table struct {
	termBegan core.Millis
	holdings  map[core.HostID]Lease
}

// New returns an empty table for a leader whose term began at the given time.
func New(began core.Millis) *Table {
	return &Table{termBegan: began, holdings: map[core.HostID]Lease{}}
}

// Grant renews a host's lease and records the revision that it has applied. It returns false for an incarnation older
// than the lease's holder.
func (t *Table) Grant(now core.Millis, host core.HostID, incarnation core.Incarnation, revision uint64) bool {
	h := t.holdings[host]
	if h.Incarnation > incarnation {
		return false
	}
	if h.Incarnation == incarnation {
		revision = max(revision, h.Revision)
	}
	t.holdings[host] = Lease{Host: host, Incarnation: incarnation, Revision: revision, Until: now + TTL + driftMargin}
	return true
}

// PriorLeasesExpired reports whether every lease granted by earlier leaders has run out, so that the table is complete.
func (t *Table) PriorLeasesExpired(now core.Millis) bool {
	return now-t.termBegan > TTL+driftMargin
}

// InForce reports whether every host that may be serving has applied the revision, and returns the lease holders that
// have not. It reports false while leases of earlier leaders may be valid.
func (t *Table) InForce(now core.Millis, revision uint64) (bool, []core.HostID) {
	var behind []core.HostID
	for _, h := range t.Leases() {
		if h.Until > now && h.Revision < revision {
			behind = append(behind, h.Host)
		}
	}
	return len(behind) == 0 && t.PriorLeasesExpired(now), behind
}

// AppliedByAll reports whether every host that may be serving has applied the revision, as InForce does.
func (t *Table) AppliedByAll(now core.Millis, revision uint64) bool {
	for _, h := range t.holdings {
		if h.Until > now && h.Revision < revision {
			return false
		}
	}
	return t.PriorLeasesExpired(now)
}

// Len returns the number of hosts that have been granted a lease.
func (t *Table) Len() int { return len(t.holdings) }

// HasNoLease reports whether an incarnation of a host has certainly no valid lease. It reports false while
// leases of earlier leaders may be valid.
func (t *Table) HasNoLease(now core.Millis, host core.HostID, incarnation core.Incarnation) bool {
	if !t.PriorLeasesExpired(now) {
		return false
	}
	h, ok := t.holdings[host]
	return !ok || h.Incarnation != incarnation || h.Until <= now
}

// Leases returns all leases, sorted by host.
func (t *Table) Leases() []Lease {
	list := make([]Lease, 0, len(t.holdings))
	for _, h := range t.holdings {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Lease) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// TermBegan returns when the leader's term began.
func (t *Table) TermBegan() core.Millis {
	return t.termBegan
}
