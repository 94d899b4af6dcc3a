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
	// confirmed is where a leader has last answered.
	confirmed string
	next      int
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
	l.current, l.confirmed = address, address
}

// leader returns where a leader has last answered, or else the address to ask next.
func (l *locator) leader() string {
	l.mu.Lock()
	confirmed := l.confirmed
	l.mu.Unlock()
	if confirmed != "" {
		return confirmed
	}
	return l.address()
}

// all returns every address at which a keeper may answer.
func (l *locator) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.known)
}

// rejoin replaces the addresses through which the keepers are found.
func (l *locator) rejoin(join []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range join {
		if !slices.Contains(l.known, a) {
			l.known = append(l.known, a)
		}
	}
	l.join = join
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
