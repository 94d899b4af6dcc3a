package tries

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/desk"
	"cyclamenford/core/limit"
	"cyclamenford/core/notice"
	"cyclamenford/core/plan"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
	"cyclamenford/io/broker"
	"cyclamenford/io/keeper"
	"cyclamenford/io/meter"
	"cyclamenford/io/permit"
)

// leavingIssuer issues a permit for an endpoint that says meanwhile that it leaves.
type leavingIssuer struct {
	broker *broker.Broker
	life   core.Life
}

// Call answers a call for a permit.
func (l leavingIssuer) Call(_ context.Context, _, _ string, _, reply any) error {
	l.broker.ApplyNotice(l.life, notice.Notice{Leaving: true})
	if r, ok := reply.(*permit.TakeReply); ok {
		*r = permit.TakeReply{Located: keeper.Located{Leading: true}, Life: l.life, Permitted: true, Limited: true}
	}
	return nil
}

// TestAnEndpointThatLeavesBesideAPermitIsNotUsed guards against an attempt by what was true before it waited for its permit.
func TestAnEndpointThatLeavesBesideAPermitIsNotUsed(t *testing.T) {
	now := clock.New(1)
	control := &fakeControl{machine: state.New(), clock: now}
	log := slog.New(slog.DiscardHandler)
	b := broker.New("d", control, now, meter.New(), log)
	life := core.Life{Endpoint: "e", Incarnation: 1}
	b.Announce(core.Announcement{
		ID: life.Endpoint, Incarnation: life.Incarnation, Seq: 1, Address: "127.0.0.1:1", Kind: core.Encode, Models: []string{"m"}, Slots: 1,
	}, 0)
	b.RecordLimit(life, limit.Named(5), 0)
	permits := permit.NewClient("h", b, leavingIssuer{b, life}, func() string { return "leader" }, log)
	tries := New(control, b, nil, permits, now, meter.New(), log)
	ask := desk.Attempt{Request: "r", Organisation: "o", DeadlineAt: 10_000, Stages: []plan.Key{{Pool: core.PoolID{Kind: core.Encode, Model: "m"}}}}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, problem := tries.Acquire(ctx, ask, poison.Identity{Content: 7})
	must.NotNil(t, problem)
}
