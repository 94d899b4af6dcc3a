package assign

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
	"cyclamenford/core/sched"
	"cyclamenford/core/state"
	"cyclamenford/io/keeper"
)

// Retired means that the control state records that the endpoint's incarnation gets no new work.
const Retired fleet.Obstacle = "Retired"

// maxRedirects is how many keepers besides the first are asked for an explanation. More than one is needed only while the
// leader changes.
const maxRedirects = 3

// ErrNoLeader reports that no keeper was found that leads.
var ErrNoLeader = errors.New("no leading keeper was found")

// ExplainArgs asks what would happen to a request now. Its stages are ignored.
type ExplainArgs struct{ Ask order.PlacementRequest }

// ExplainReply tells what would happen to a request now.
type ExplainReply struct {
	keeper.Located
	// Known means that the configuration has the service, and Plain that entry hosts choose among its endpoints by themselves.
	// The explanation then has only what the roll lists.
	Known, Plain bool
	Explanation  sched.Explanation
	// Term is the leader's term, and LeadsFor the time for which its scheduler runs.
	Term     uint64
	LeadsFor core.Millis
	// Config is the version of the configuration in force, and Revision that of the control state.
	Config, Revision uint64
	// EndpointsCopied is the age at the takeover of the copy of the former leader's endpoints, -1 if there was none.
	EndpointsCopied core.Millis
}

// Explain tells what would happen to a request now, and changes nothing.
func (c *calls) Explain(args ExplainArgs, reply *ExplainReply) error {
	a := c.assigner
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Located = a.leader.Located()
	// The start and the end of a scheduler are left to its own ticks, as they change its state.
	if term, leads := a.leader.Leading(); !leads || term != a.term || a.stopping || a.stopped || a.suspendedAt > 0 {
		reply.Leading = false
		return nil
	}
	now, image := a.clock.Now(), a.leader.Image()
	plain, known := a.publisher.published[args.Ask.Service]
	x := a.sched.Explain(now, args.Ask)
	for i := range x.Endpoints {
		a.addRecords(now, &x.Endpoints[i], image)
	}
	if plain {
		x = listedOnly(x)
	}
	reply.Known, reply.Plain, reply.Explanation = known, plain, x
	reply.Term, reply.LeadsFor, reply.Config, reply.Revision = a.term, now-a.startedAt, a.configVersion, image.Revision
	reply.EndpointsCopied = -1
	if a.standby.copiedAt > 0 {
		reply.EndpointsCopied = a.startedAt - a.standby.copiedAt
	}
	return nil
}

// addRecords adds to the explanation of an endpoint when its announcement arrived and whether it leaves by the control state.
func (a *Assigner) addRecords(now core.Millis, x *sched.EndpointExplanation, image state.Image) {
	if entry, ok := a.roster.entries[x.Endpoint]; ok {
		x.Announced = now - entry.receivedAt
	}
	if ended, ok := image.Retired[x.Endpoint]; ok && ended.Incarnation >= x.Incarnation && x.Obstacle == fleet.Leaving {
		x.Obstacle = Retired
	}
}

// listedOnly reduces the explanation for a plain service to what the roll and the control state say. Entry hosts do not tell
// the leader what else they know.
func listedOnly(x sched.Explanation) sched.Explanation {
	listed := sched.Explanation{Former: x.Former, Copied: x.Copied, CopyAge: x.CopyAge}
	for _, e := range x.Endpoints {
		y := sched.EndpointExplanation{
			Life: e.Life, FailureDomain: e.FailureDomain, Version: e.Version, Cold: e.Cold, Announced: e.Announced, Reported: -1,
		}
		if e.Obstacle == fleet.Leaving || e.Obstacle == fleet.Evacuated || e.Obstacle == Retired {
			y.Obstacle = e.Obstacle
		}
		listed.Endpoints = append(listed.Endpoints, y)
	}
	slices.SortFunc(listed.Endpoints, func(a, b sched.EndpointExplanation) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return listed
}

// Explain asks the keeper at an address, and those that it redirects to, what would happen to a request now. It returns an
// error that wraps ErrNoLeader if none of them leads.
func Explain(ctx context.Context, c Caller, address string, ask order.PlacementRequest) (ExplainReply, error) {
	for range 1 + maxRedirects {
		var reply ExplainReply
		if err := c.Call(ctx, address, Service+".Explain", ExplainArgs{Ask: ask}, &reply); err != nil {
			return reply, fmt.Errorf("explain: %w", err)
		}
		if reply.Leading {
			return reply, nil
		}
		if reply.LeaderAddress == "" || reply.LeaderAddress == address {
			break
		}
		address = reply.LeaderAddress
	}
	return ExplainReply{}, fmt.Errorf("explain: last asked %s: %w", address, ErrNoLeader)
}
