package keeper

import (
	"context"
	"slices"
	"time"

	"cyclamenford/core/quorum"
	"cyclamenford/io/disk"
)

const (
	meetEvery   = 100 * time.Millisecond
	meetTimeout = time.Second
)

// foundingTerm and foundingIndex are the position at which every deployment starts.
const (
	foundingTerm  = 1
	foundingIndex = 1
)

func (k *Keeper) foundsDeployment() bool {
	return len(k.options.Founding) > 0 && k.options.Founding[0].ID == k.options.Host
}

// found starts a deployment once every founding keeper has shown an empty disk; one that is not empty ends the attempt.
func (k *Keeper) found(ctx context.Context) {
	ticker := time.NewTicker(meetEvery)
	defer ticker.Stop()
	for {
		config, met, founded := k.meetAll(ctx)
		if founded {
			k.log.Info("a deployment exists; waiting to be taken in")
			return
		}
		if met {
			k.startDeployment(ctx, config)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// meetAll asks every founding keeper for its disk; met tells that all have answered.
func (k *Keeper) meetAll(ctx context.Context) (config quorum.Config, met, founded bool) {
	config = quorum.Config{Voters: []quorum.Member{k.Member()}}
	for _, a := range k.options.Founding[1:] {
		callCtx, cancel := context.WithTimeout(ctx, meetTimeout)
		var reply MeetReply
		err := k.client.Call(callCtx, a.Address, ControlService+".Meet", MeetArgs{Member: k.Member()}, &reply)
		cancel()
		if err != nil {
			return config, false, false
		}
		if reply.Founded {
			return config, false, true
		}
		config.Voters = append(config.Voters, reply.Member)
	}
	slices.Sort(config.Voters)
	return config, true, false
}

func (k *Keeper) startDeployment(ctx context.Context, config quorum.Config) {
	base := quorum.Snapshot{Index: foundingIndex, Term: foundingTerm, Config: config}
	f := func() {
		if k.node.LastIndex() > 0 || k.store.Identity().Founded {
			return
		}
		if err := k.store.Found(base); err != nil {
			k.log.Error("found deployment", "err", err)
			return
		}
		k.startNode(disk.Contents{HardState: quorum.HardState{Term: foundingTerm}, Snapshot: base})
		k.log.Info("deployment founded", "voters", config.Voters)
	}
	select {
	case k.calls <- f:
	case <-ctx.Done():
	}
}
