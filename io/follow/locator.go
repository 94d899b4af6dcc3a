package follow

import (
	"maps"
	"slices"
	"sync"

	"cyclamenford/core"
	"cyclamenford/core/state"
)

// locator selects the address to which calls for the leader are sent.
type locator struct {
	mu sync.Mutex
	// own is the address of this host's own keeper, which may know the leader when all seeds are lost, or "".
	own     string
	seeds   []string
	known   []string
	current string
	// lastLeader is the address of the keeper that last answered as leader.
	lastLeader string
	nextIndex  int
}

func newLocator(own string, seeds []string) *locator {
	l := &locator{own: own, seeds: seeds}
	l.known = l.alwaysKnown()
	return l
}

// alwaysKnown returns the seeds, followed by the address of this host's own keeper.
func (l *locator) alwaysKnown() []string {
	list := slices.Clone(l.seeds)
	if l.own != "" && !slices.Contains(list, l.own) {
		list = append(list, l.own)
	}
	return list
}

// add adds an address that another keeper has named.
func (l *locator) add(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.known, address) {
		l.known = append(l.known, address)
	}
}

// address returns the presumed address of the leader, or the next known address in turn.
func (l *locator) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == "" && len(l.known) > 0 {
		l.current = l.known[l.nextIndex%len(l.known)]
	}
	return l.current
}

// setLeader records the address at which the leader has answered.
func (l *locator) setLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current, l.lastLeader = address, address
}

// replaceLeader records the leader that the last one has named.
func (l *locator) replaceLeader(former, next string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastLeader == former {
		l.current, l.lastLeader = next, next
	}
}

// leader returns the address of the last leader, or else the next address to try.
func (l *locator) leader() string {
	l.mu.Lock()
	lastLeader := l.lastLeader
	l.mu.Unlock()
	if lastLeader != "" {
		return lastLeader
	}
	return l.address()
}

// all returns the addresses of all known keepers and seeds.
func (l *locator) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.known)
}

// setSeeds replaces the seed addresses and adds the new ones to the known addresses.
func (l *locator) setSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range seeds {
		if !slices.Contains(l.known, a) {
			l.known = append(l.known, a)
		}
	}
	l.seeds = seeds
}

// markFailed replaces the current address, if it is the given one, by the hint or, without one, by the next known address.
func (l *locator) markFailed(address, hint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != address {
		return
	}
	if hint != "" && hint != address {
		l.current = hint
		return
	}
	l.nextIndex++
	l.current = ""
}

// setHosts replaces the known addresses by the seeds and the peer addresses of all hosts that run a keeper, those of expired
// hosts last.
func (l *locator) setHosts(hosts map[core.HostID]state.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.alwaysKnown()
	ids := slices.Sorted(maps.Keys(hosts))
	for _, expired := range []bool{false, true} {
		for _, id := range ids {
			h := hosts[id]
			if h.Keeper != "" && h.Expired == expired && !slices.Contains(known, h.PeerAddress) {
				known = append(known, h.PeerAddress)
			}
		}
	}
	l.known = known
}
