package keeper

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fence"
	"cyclamenford/core/ledger"
	"cyclamenford/core/quorum"
	"cyclamenford/core/repair"
	"cyclamenford/core/state"
)

// runMaintenance is the leader's periodic work: it expires hosts without a serving lease, repairs the membership and
// purges old state.
func (k *Keeper) runMaintenance() {
	now := k.clock.Now()
	if !k.node.Ready() {
		return
	}
	if k.changeOpen && !k.node.ChangePending() {
		k.changeOpen = false
		k.repairMembership()
	}
	if now-k.lastMaintenance < maintenanceInterval {
		return
	}
	k.lastMaintenance = now
	k.expireHosts()
	k.reportRedundancy()
	k.repairMembership()
	if now-k.lastPurge >= purgeInterval {
		k.lastPurge = now
		k.proposeInternal(state.Command{PurgeExpired: &state.PurgeExpired{}})
	}
}

// expireHosts proposes the expiry of every host that holds no serving lease.
func (k *Keeper) expireHosts() {
	for _, h := range k.hostsWithoutLease() {
		holder := ledger.Holder{Host: h.ID, Incarnation: h.Incarnation}
		k.proposeInternal(state.Command{ExpireHost: &state.ExpireHost{Holder: holder}})
		k.log.Warn("serving lease of host has run out", "host", h.ID)
	}
}

// hostsWithoutLease returns the hosts that are not marked as expired and cannot hold a serving lease any more.
func (k *Keeper) hostsWithoutLease() []state.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil {
		return nil
	}
	var lapsed []state.Host
	hosts := k.machine.Image().Hosts
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[id]
		if !h.Expired && k.leases.HasNoLease(k.clock.Now(), h.ID, h.Incarnation) {
			lapsed = append(lapsed, h)
		}
	}
	return lapsed
}

// repairMembership starts the next change of voters or learners if one is due. A new leader first gives each member the time
// to answer it.
func (k *Keeper) repairMembership() {
	v := k.repairView()
	if v.Now-k.leadsSince() < k.options.Quorum.ElectionTimeout {
		return
	}
	change, due := repair.Next(v)
	if !due {
		return
	}
	if err := k.node.ChangeConfig(change.Config); err != nil {
		k.log.Debug("membership change not possible now", "why", change.Reason, "err", err)
		return
	}
	k.changeOpen = true
	k.log.Info("membership of keepers changes", "why", change.Reason, "voters", change.Config.Voters, "learners", change.Config.Learners)
}

// leadsSince returns when this keeper became leader of its term.
func (k *Keeper) leadsSince() core.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil {
		return k.clock.Now()
	}
	return k.leases.TermBegan()
}

// reportRedundancy logs when the voters tolerate fewer losses than a complete set, and when they do again.
func (k *Keeper) reportRedundancy() {
	v := k.repairView()
	v.Patience = 2 * k.options.Quorum.ElectionTimeout
	r := repair.Assess(v)
	k.mu.Lock()
	before, since := k.redundancy, k.reducedAt
	if since > 0 && r.Tolerated >= r.Wanted {
		k.reducedAt = 0
	} else if since == 0 && r.Tolerated < r.Wanted {
		k.reducedAt = v.Now
	}
	k.redundancy = r
	k.mu.Unlock()
	switch {
	case r.Tolerated < r.Wanted && (since == 0 || r.Tolerated != before.Tolerated):
		k.log.Warn("redundancy of keepers is reduced", "tolerated", r.Tolerated, "wanted", r.Wanted, "silent", r.Silent,
			"voters", v.Config.Voters, "learners", v.Config.Learners, "disks", len(v.Disks), "reduced_ms", reducedFor(since, v.Now))
	case r.Tolerated >= r.Wanted && since > 0:
		k.log.Info("redundancy of keepers is restored", "tolerated", r.Tolerated, "voters", v.Config.Voters, "reduced_ms", reducedFor(since, v.Now))
	}
}

// reducedFor returns how long the redundancy has been reduced, 0 if it has not been.
func reducedFor(since, now core.Millis) core.Millis {
	if since == 0 {
		return 0
	}
	return now - since
}

// repairView collects the input for the next membership decision.
func (k *Keeper) repairView() repair.View {
	config := k.node.Config()
	v := repair.View{
		Now: k.clock.Now(), Leader: k.node.ID(), Config: config, Target: k.options.Voters,
		Patience: k.options.ReplaceAfter, Commit: k.node.Commit(),
	}
	for _, m := range config.Members() {
		announced, ok := k.leaving[m]
		v.Members = append(v.Members, repair.MemberState{
			Member: m, LastReply: k.node.LastReply(m), Match: k.node.MatchIndex(m), Leaving: ok && v.Now-announced < leavingTTL,
		})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := map[core.HostID]core.Millis{}
	if k.leases != nil {
		for _, l := range k.leases.Leases() {
			seen[l.Host] = l.Renewed()
		}
	}
	hosts := k.machine.Image().Hosts
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		if h := hosts[id]; h.Keeper != "" && !h.Expired {
			v.Disks = append(v.Disks, repair.Disk{Member: quorum.Member(h.Keeper), FailureDomain: h.FailureDomain, LastSeen: seen[id]})
		}
	}
	return v
}

// proposeInternal proposes a command of the leader itself and does not wait for the reply.
func (k *Keeper) proposeInternal(c state.Command) {
	c.Unix = k.clock.Unix()
	raw, err := c.Encode()
	if err != nil {
		k.log.Error("encode internal command", "err", err)
		return
	}
	if _, err := k.node.Propose(raw); err == nil {
		k.node.Flush()
	}
}

// OrderState holds the open orders and the leader's times that decide when an order may be sent.
type OrderState struct {
	Issuer     fence.Issuer
	OpenOrders []state.Order
}

// OrderState returns the open orders, or false unless this keeper leads with a valid lease.
func (k *Keeper) OrderState() (OrderState, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil || !k.view.ready || k.view.leaseUntil <= k.clock.Now() {
		return OrderState{}, false
	}
	s := OrderState{Issuer: fence.Issuer{
		LeaderSince: k.leases.TermBegan(), LeaseUntil: k.view.leaseUntil, FormerLease: k.options.Quorum.ElectionTimeout,
	}}
	for _, o := range k.machine.Orders() {
		if o.Phase == state.OrderOpen {
			s.OpenOrders = append(s.OpenOrders, o)
		}
	}
	return s, true
}
