package keeper

import (
	"maps"
	"sync"

	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
)

// addressBook maps keepers to their peer addresses. A restarted keeper needs it because it has no image, and so no
// addresses from it, until it finds a leader.
type addressBook struct {
	mu        sync.Mutex
	addresses map[quorum.Member]string
	// emptyDisks holds the keepers with an empty disk, which can become voters of a new deployment.
	emptyDisks map[quorum.Member]string
}

// newAddressBook returns an address book with this keeper and the keepers that joined in the given log entries.
func newAddressBook(address string, self quorum.Member, entries []quorum.Entry) *addressBook {
	b := &addressBook{addresses: map[quorum.Member]string{}, emptyDisks: map[quorum.Member]string{}}
	for _, e := range entries {
		if e.Kind != quorum.CommandEntry || len(e.Data) == 0 {
			continue
		}
		// Skips an entry that cannot be decoded: the error is reported when the entry is applied.
		command, err := state.DecodeCommand(e.Data)
		if err == nil && command.JoinHost != nil && command.JoinHost.Host.Keeper != "" {
			b.addresses[quorum.Member(command.JoinHost.Host.Keeper)] = command.JoinHost.Host.PeerAddress
		}
	}
	b.set(self, address)
	return b
}

// set records the address of a keeper and ignores an empty name or address.
func (b *addressBook) set(m quorum.Member, address string) {
	if m == "" || address == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses[m] = address
}

// merge adds the addresses that a keeper sent. Addresses that are already recorded change only for the sender itself.
func (b *addressBook) merge(a MeetArgs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for m, address := range a.Known {
		if _, ok := b.addresses[m]; !ok {
			b.addresses[m] = address
		}
	}
	if a.Address != "" {
		b.addresses[a.Member] = a.Address
	}
	if a.Empty {
		b.emptyDisks[a.Member] = a.Address
	}
}

func (b *addressBook) address(m quorum.Member) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[m]
}

func (b *addressBook) all() map[quorum.Member]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.addresses)
}

// foundingCandidates returns the keepers with an empty disk and their addresses.
func (b *addressBook) foundingCandidates() map[quorum.Member]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.emptyDisks)
}
