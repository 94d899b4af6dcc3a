package keeper

import (
	"maps"
	"sync"

	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
)

// contacts remembers where the other keepers answer; a restarted keeper knows no image before it finds a leader.
type contacts struct {
	mu    sync.Mutex
	known map[quorum.Member]string
	// empty lists the disks that wait for the first founding.
	empty map[quorum.Member]string
}

// newContacts returns the contacts with this keeper itself and those named in its log.
func newContacts(address string, self quorum.Member, entries []quorum.Entry) *contacts {
	c := &contacts{known: map[quorum.Member]string{}, empty: map[quorum.Member]string{}}
	for _, e := range entries {
		if e.Kind != quorum.Normal || len(e.Data) == 0 {
			continue
		}
		// An entry that cannot be decoded names no keeper; applying it reports the fault.
		command, err := state.DecodeCommand(e.Data)
		if err == nil && command.JoinHost != nil && command.JoinHost.Host.Keeper != "" {
			c.known[quorum.Member(command.JoinHost.Host.Keeper)] = command.JoinHost.Host.PeerAddress
		}
	}
	c.learn(self, address)
	return c
}

func (c *contacts) learn(m quorum.Member, address string) {
	if m == "" || address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[m] = address
}

// introduce takes in what a keeper tells of itself and of those that it knows.
func (c *contacts) introduce(a MeetArgs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for m, address := range a.Known {
		if _, ok := c.known[m]; !ok {
			c.known[m] = address
		}
	}
	if a.Address != "" {
		c.known[a.Member] = a.Address
	}
	if a.Empty {
		c.empty[a.Member] = a.Address
	}
}

func (c *contacts) address(m quorum.Member) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known[m]
}

func (c *contacts) all() map[quorum.Member]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.known)
}

func (c *contacts) waiting() map[quorum.Member]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.empty)
}
