package keeper

import (
	"maps"
	"slices"

	"cyclamenford/core/fence"
	"cyclamenford/core/ledger"
	"cyclamenford/core/quorum"
	"cyclamenford/core/repair"
	"cyclamenford/core/state"
)

// sweep lets the leader end lapsed hosts, repair the membership and purge old state.
func (k *Keeper) sweep() {
	now := k.clock.Now()
	if !k.node.Ready() || now-k.swept < sweepEvery {
		return
	}
	k.swept = now
	k.expireHosts()
	k.repairMembership()
	if now-k.purged >= purgeEvery {
		k.purged = now
		k.proposeOwn(state.Command{PurgeExpired: &state.PurgeExpired{}})
	}
}

func (k *Keeper) expireHosts() {
	for _, h := range k.lapsedHosts() {
		holder := ledger.Holder{Host: h.ID, Incarnation: h.Incarnation}
		k.proposeOwn(state.Command{ExpireHost: &state.ExpireHost{Holder: holder}})
		k.log.Warn("serving lease of host has run out", "host", h.ID)
	}
}

func (k *Keeper) lapsedHosts() []state.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil {
		return nil
	}
	var lapsed []state.Host
	hosts := k.machine.Image().Hosts
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[id]
		if !h.Expired && k.leases.Lapsed(k.clock.Now(), h.ID, h.Incarnation) {
			lapsed = append(lapsed, h)
		}
	}
	return lapsed
}

func (k *Keeper) repairMembership() {
	change, due := repair.Next(k.repairView())
	if !due {
		return
	}
	if err := k.node.ChangeConfig(change.Config); err != nil {
		k.log.Debug("change of keepers not possible now", "why", change.Why, "err", err)
		return
	}
	k.log.Info("keepers change", "why", change.Why, "voters", change.Config.Voters, "learners", change.Config.Learners)
}

func (k *Keeper) repairView() repair.View {
	config := k.node.Config()
	v := repair.View{
		Now: k.clock.Now(), Leader: k.node.ID(), Config: config, Target: k.options.Voters,
		Patience: k.options.Patience, Commit: k.node.Commit(),
	}
	for _, m := range config.Members() {
		v.Members = append(v.Members, repair.State{Member: m, Heard: k.node.Heard(m), Match: k.node.Match(m)})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	hosts := k.machine.Image().Hosts
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		if h := hosts[id]; h.Keeper != "" && !h.Expired {
			v.Disks = append(v.Disks, repair.Disk{Member: quorum.Member(h.Keeper), FailureDomain: h.FailureDomain})
		}
	}
	return v
}

// proposeOwn commits a command of the leader itself and drops the reply.
func (k *Keeper) proposeOwn(c state.Command) {
	c.Unix = k.clock.Unix()
	raw, err := c.Encode()
	if err != nil {
		k.log.Error("encode own command", "err", err)
		return
	}
	if _, err := k.node.Propose(raw); err == nil {
		k.node.Flush()
	}
}

// Issuing is what the leader needs to send orders.
type Issuing struct {
	Issuer fence.Issuer
	Open   []state.Order
}

// Issuing returns the open orders if this keeper leads and holds its lease.
func (k *Keeper) Issuing() (Issuing, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil || !k.view.ready || k.view.leaseUntil <= k.clock.Now() {
		return Issuing{}, false
	}
	s := Issuing{Issuer: fence.Issuer{
		Began: k.leases.Began(), Until: k.view.leaseUntil, FormerLease: k.options.Quorum.ElectionTimeout,
	}}
	for _, o := range k.machine.Orders() {
		if o.Phase == state.OrderOpen {
			s.Open = append(s.Open, o)
		}
	}
	return s, true
}
