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
	discoveryInterval = 100 * time.Millisecond
	// discoveryTimeout covers several round trips. A keeper that has not started yet is called again in the next round.
	discoveryTimeout = 300 * time.Millisecond
	// foundingWait is how long the founding keeper waits for all wanted voters before it starts with fewer.
	foundingWait = 4 * core.Second
	// minNoLeaderInterval and maxNoLeaderInterval bound the interval between two log lines of a keeper that knows no leader.
	// It doubles with each line, since a spare keeper may stay outside the configuration for good.
	minNoLeaderInterval = core.Second
	maxNoLeaderInterval = 60 * core.Second
)

// foundingTerm and foundingIndex are the term and index of the snapshot with which every log starts.
const (
	foundingTerm  = 1
	foundingIndex = 1
)

// discover exchanges addresses with the founding keepers and all known keepers whenever no leader is known, until ctx ends.
//
// On the first founding keeper it also starts a new deployment.
func (k *Keeper) discover(ctx context.Context) {
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	began := k.clock.Now()
	exists := k.options.Existing
	leaderSeen, logged, interval := began, began, minNoLeaderInterval
	for {
		if k.needsLeader() {
			found := k.exchangeAddresses(ctx)
			exists = found.founded || exists
			if voters, ok := k.foundingVoters(began); ok && !exists {
				k.startDeployment(ctx, voters)
			}
			if now := k.clock.Now(); now-max(logged, leaderSeen) >= interval {
				logged, interval = now, min(2*interval, maxNoLeaderInterval)
				k.logNoLeader(now-leaderSeen, found.members)
			}
		} else {
			leaderSeen, interval = k.clock.Now(), minNoLeaderInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// needsLeader reports whether no leader is known and the keeper has not failed.
func (k *Keeper) needsLeader() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.leader == "" && k.failed == nil
}

// logNoLeader logs which voters answer, and whose hosts answer with another disk, while no leader is known.
func (k *Keeper) logNoLeader(lasted core.Millis, met []quorum.Member) {
	k.mu.Lock()
	config, term, commit := k.view.config, k.view.term, k.view.commit
	k.mu.Unlock()
	var present, diskLost, silent []quorum.Member
	for _, v := range config.Voters {
		switch {
		case v == k.Member() || slices.Contains(met, v):
			present = append(present, v)
		case slices.ContainsFunc(met, func(m quorum.Member) bool { return m.Host() == v.Host() }):
			diskLost = append(diskLost, v)
		default:
			silent = append(silent, v)
		}
	}
	k.log.Warn("no leader of the keepers is known", "lasted_ms", lasted, "member", k.Member(), "term", term, "commit", commit,
		"voters", len(config.Voters), "present", present, "disk_lost", diskLost, "silent", silent)
}

// meeting is the result of one exchange of addresses: the keepers that replied, and whether one of them or this keeper
// belongs to a deployment.
type meeting struct {
	members []quorum.Member
	founded bool
}

// exchangeAddresses calls Meet on every known keeper.
func (k *Keeper) exchangeAddresses(ctx context.Context) meeting {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	args := MeetArgs{
		Member: k.Member(), Address: k.options.Address, Known: k.addressBook.all(),
		Empty: len(k.options.Founding) > 0 && !k.store.Identity().Founded && !k.options.Existing,
	}
	k.addressBook.merge(args)
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
	met := meeting{founded: k.store.Identity().Founded}
	for _, address := range slices.Sorted(maps.Keys(addresses)) {
		wg.Go(func() {
			var reply MeetReply
			if err := k.client.Call(ctx, address, ControlService+".Meet", args, &reply); err != nil {
				k.log.Debug("exchange addresses with keeper", "address", address, "err", err)
				return
			}
			k.addressBook.merge(MeetArgs{Member: reply.Member, Known: reply.Known})
			mu.Lock()
			defer mu.Unlock()
			met.founded = met.founded || reply.Founded
			met.members = append(met.members, reply.Member)
		})
	}
	wg.Wait()
	slices.Sort(met.members)
	return met
}

// isFounder reports whether this keeper is the first founding keeper, by its host ID or, if the settings give no ID, by its
// address.
func (k *Keeper) isFounder() bool {
	if len(k.options.Founding) == 0 {
		return false
	}
	first := k.options.Founding[0]
	return first.ID == k.options.Host || first.ID == "" && first.Address == k.options.Address
}

// foundingVoters returns the voters of a new deployment, or false while too few keepers with an empty disk are known.
//
// A set smaller than wanted is accepted only if its majority is as large as that of the wanted set.
func (k *Keeper) foundingVoters(began core.Millis) ([]quorum.Member, bool) {
	if !k.isFounder() || k.store.Identity().Founded {
		return nil, false
	}
	wanted := max(k.options.Voters, len(k.options.Founding))
	met := k.addressBook.foundingCandidates()
	enough := len(met) >= wanted ||
		k.clock.Now()-began > foundingWait && len(met) >= len(k.options.Founding) && len(met)/2 == wanted/2
	if !enough {
		return nil, false
	}
	foundingFirst := func(m quorum.Member) int {
		for _, a := range k.options.Founding {
			if a.ID == m.Host() || a.Address == met[m] {
				return 0
			}
		}
		return 1
	}
	voters := slices.SortedFunc(maps.Keys(met), func(a, b quorum.Member) int {
		return cmp.Or(cmp.Compare(foundingFirst(a), foundingFirst(b)), cmp.Compare(a, b))
	})
	voters = voters[:min(wanted, len(voters))]
	slices.Sort(voters)
	return voters, true
}

// startDeployment writes the first snapshot of the log, with the given voters, and restarts the node from it.
func (k *Keeper) startDeployment(ctx context.Context, voters []quorum.Member) {
	base := quorum.Snapshot{Index: foundingIndex, Term: foundingTerm, Config: quorum.Config{Voters: voters}}
	f := func() {
		if k.node.LastIndex() > 0 || k.store.Identity().Founded {
			return
		}
		if err := k.store.Bootstrap(base); err != nil {
			k.log.Error("start new deployment", "err", err)
			return
		}
		k.startNode(disk.Contents{HardState: quorum.HardState{Term: foundingTerm}, Snapshot: base})
		k.log.Info("new deployment started", "voters", voters)
	}
	select {
	case k.loopFuncs <- f:
	case <-ctx.Done():
	case <-k.done:
	}
}
