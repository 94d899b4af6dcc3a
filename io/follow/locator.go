package follow

import (
	"maps"
	"slices"
	"sync"

	"cyclamenford/core"
	"cyclamenford/core/state"
)

// locator remembers which address to ask for the leader.
type locator struct {
	mu      sync.Mutex
	join    []string
	known   []string
	current string
	next    int
}

func newLocator(join []string) *locator {
	l := &locator{join: join}
	l.known = slices.Clone(join)
	return l
}

// address returns where the leader is believed to be.
func (l *locator) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == "" && len(l.known) > 0 {
		l.current = l.known[l.next%len(l.known)]
	}
	return l.current
}

// found confirms that the leader answered at an address.
func (l *locator) found(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = address
}

// failed gives up an address for the one that was named instead, or for the next known one.
func (l *locator) failed(address, hint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != address {
		return
	}
	if hint != "" && hint != address {
		l.current = hint
		return
	}
	l.next++
	l.current = ""
}

// learn adds the hosts that have disks to the addresses worth asking.
func (l *locator) learn(hosts map[core.HostID]state.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := slices.Clone(l.join)
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[id]
		if h.Keeper != "" && !slices.Contains(known, h.PeerAddress) {
			known = append(known, h.PeerAddress)
		}
	}
	l.known = known
}
