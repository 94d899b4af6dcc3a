package lease

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

const (
	// TTL is the length of a serving lease, counted by its holder from the sending of the request.
	TTL = 3 * core.Second
	// margin covers the drift between the clocks of granter and holder.
	margin = TTL / 20
)

// Holding is what the leader knows of one host.
type Holding struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Revision    uint64
	Until       core.Millis
}

// Table holds the leases granted by one leader in one term.
type Table struct {
	began    core.Millis
	holdings map[core.HostID]Holding
}

// New returns an empty table for a leader that began at the given time.
func New(began core.Millis) *Table {
	return &Table{began: began, holdings: map[core.HostID]Holding{}}
}

// Grant renews a host's lease and notes the revision it has applied; it refuses an earlier life of the host.
func (t *Table) Grant(now core.Millis, host core.HostID, incarnation core.Incarnation, revision uint64) bool {
	h := t.holdings[host]
	if h.Incarnation > incarnation {
		return false
	}
	if h.Incarnation == incarnation {
		revision = max(revision, h.Revision)
	}
	t.holdings[host] = Holding{Host: host, Incarnation: incarnation, Revision: revision, Until: now + TTL + margin}
	return true
}

// Settled reports whether every lease granted by an earlier leader has run out.
func (t *Table) Settled(now core.Millis) bool {
	return now-t.began > TTL+margin
}

// InForce reports whether every host that may be serving has applied the revision, and names those that have not.
func (t *Table) InForce(now core.Millis, revision uint64) (bool, []core.HostID) {
	var behind []core.HostID
	for _, h := range t.Holdings() {
		if h.Until > now && h.Revision < revision {
			behind = append(behind, h.Host)
		}
	}
	return len(behind) == 0 && t.Settled(now), behind
}

// Lapsed reports whether a life of a host can no longer be serving.
func (t *Table) Lapsed(now core.Millis, host core.HostID, incarnation core.Incarnation) bool {
	if !t.Settled(now) {
		return false
	}
	h, ok := t.holdings[host]
	return !ok || h.Incarnation != incarnation || h.Until <= now
}

// Holdings returns all leases in the order of the hosts' names.
func (t *Table) Holdings() []Holding {
	list := make([]Holding, 0, len(t.holdings))
	for _, h := range t.holdings {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Holding) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// Began returns when the leader began.
func (t *Table) Began() core.Millis {
	return t.began
}
