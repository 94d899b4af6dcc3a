package keeper

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
	"cyclamenford/io/disk"
)

const (
	meetEvery = 100 * time.Millisecond
	// meetTimeout is several round trips; a keeper that is not up yet is asked again.
	meetTimeout = 300 * time.Millisecond
	// foundPatience is how long the founder waits for the last wanted voter.
	foundPatience = 4 * core.Second
)

// foundingTerm and foundingIndex are the position at which every deployment starts.
const (
	foundingTerm  = 1
	foundingIndex = 1
)

// meet introduces this keeper to the founding ones and to all that it knows, until a leader is known.
//
// The first founding keeper also starts the deployment.
func (k *Keeper) meet(ctx context.Context) {
	ticker := time.NewTicker(meetEvery)
	defer ticker.Stop()
	began := k.clock.Now()
	exists := k.options.Rejoin
	for {
		if k.leaderless() {
			exists = k.meetAll(ctx) || exists
			if voters, ok := k.foundingVoters(began); ok && !exists {
				k.startDeployment(ctx, voters)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (k *Keeper) leaderless() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.leader == "" && k.failed == nil
}

// meetAll exchanges contacts with every keeper in reach and reports whether one belongs to a deployment.
func (k *Keeper) meetAll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, meetTimeout)
	defer cancel()
	args := MeetArgs{
		Member: k.Member(), Address: k.options.Address, Known: k.contacts.all(),
		Empty: len(k.options.Founding) > 0 && !k.store.Identity().Founded && !k.options.Rejoin,
	}
	k.contacts.introduce(args)
	addresses := map[string]bool{}
	for _, a := range k.options.Founding {
		addresses[a.Address] = true
	}
	for _, a := range args.Known {
		addresses[a] = true
	}
	delete(addresses, k.options.Address)
	var mu sync.Mutex
	var wg sync.WaitGroup
	founded := k.store.Identity().Founded
	for _, address := range slices.Sorted(maps.Keys(addresses)) {
		wg.Go(func() {
			var reply MeetReply
			if err := k.client.Call(ctx, address, ControlService+".Meet", args, &reply); err != nil {
				k.log.Debug("keeper not met", "address", address, "err", err)
				return
			}
			k.contacts.introduce(MeetArgs{Member: reply.Member, Known: reply.Known})
			mu.Lock()
			defer mu.Unlock()
			founded = founded || reply.Founded
		})
	}
	wg.Wait()
	return founded
}

// foundsDeployment reports whether this keeper is the first founding one, by its name or, where names are not known
// beforehand, by its address.
func (k *Keeper) foundsDeployment() bool {
	if len(k.options.Founding) == 0 {
		return false
	}
	first := k.options.Founding[0]
	return first.ID == k.options.Host || first.ID == "" && first.Address == k.options.Address
}

// foundingVoters returns the voters of a new deployment once enough empty disks have been met.
//
// A set smaller than wanted must still leave a majority as large as that of the wanted one.
func (k *Keeper) foundingVoters(began core.Millis) ([]quorum.Member, bool) {
	if !k.foundsDeployment() || k.store.Identity().Founded {
		return nil, false
	}
	wanted := max(k.options.Voters, len(k.options.Founding))
	met := k.contacts.waiting()
	enough := len(met) >= wanted ||
		k.clock.Now()-began > foundPatience && len(met) >= len(k.options.Founding) && len(met)/2 == wanted/2
	if !enough {
		return nil, false
	}
	listed := func(m quorum.Member) int {
		for _, a := range k.options.Founding {
			if a.ID == m.Host() || a.Address == met[m] {
				return 0
			}
		}
		return 1
	}
	voters := slices.SortedFunc(maps.Keys(met), func(a, b quorum.Member) int {
		return cmp.Or(cmp.Compare(listed(a), listed(b)), cmp.Compare(a, b))
	})
	voters = voters[:min(wanted, len(voters))]
	slices.Sort(voters)
	return voters, true
}

func (k *Keeper) startDeployment(ctx context.Context, voters []quorum.Member) {
	base := quorum.Snapshot{Index: foundingIndex, Term: foundingTerm, Config: quorum.Config{Voters: voters}}
	f := func() {
		if k.node.LastIndex() > 0 || k.store.Identity().Founded {
			return
		}
		if err := k.store.Found(base); err != nil {
			k.log.Error("found deployment", "err", err)
			return
		}
		k.startNode(disk.Contents{HardState: quorum.HardState{Term: foundingTerm}, Snapshot: base})
		k.log.Info("deployment founded", "voters", voters)
	}
	select {
	case k.calls <- f:
	case <-ctx.Done():
	case <-k.done:
	}
}
