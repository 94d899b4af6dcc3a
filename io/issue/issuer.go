package issue

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/fence"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
	"cyclamenford/io/keeper"
	"cyclamenford/io/loop"
)

const planInterval = 100 * time.Millisecond

// Issuer sends the open orders to their endpoints while its keeper is the leader. It runs on every keeper.
type Issuer struct {
	*loop.Loop
	keeper  *keeper.Keeper
	control io.Control
	broker  *broker.Broker
	dial    *dial.Client
	clock   core.Clock
	key     string
	log     *slog.Logger

	mu      sync.Mutex
	planner *fence.Planner
}

// New returns an Issuer. key authenticates it to endpoints that check the issuer of an order.
func New(k *keeper.Keeper, c io.Control, b *broker.Broker, client *dial.Client, clock core.Clock, key string, log *slog.Logger) *Issuer {
	i := &Issuer{keeper: k, control: c, broker: b, dial: client, clock: clock, key: key, log: log, planner: fence.New()}
	i.Loop = loop.New(planInterval, i.sendDueOrders)
	return i
}

// sendDueOrders starts sending the open orders that are due, if this keeper may issue orders.
func (i *Issuer) sendDueOrders(ctx context.Context) {
	issuing, ok := i.keeper.OrderState()
	if !ok || len(issuing.OpenOrders) == 0 {
		return
	}
	rate := i.control.Image().Tree.Platform.WeightBytesPerSecond
	i.mu.Lock()
	decisions := i.planner.Plan(i.clock.Now(), issuing.Issuer, issuing.OpenOrders, rate, i.broker.Endpoint)
	i.mu.Unlock()
	for _, d := range decisions {
		if d.Reason == fence.SendNow {
			i.Go(func() { i.send(ctx, d.Order) })
		}
	}
}

// send delivers an order and records its result. If there is no answer, the order stays open.
func (i *Issuer) send(ctx context.Context, o state.Order) {
	answer, err := i.deliver(ctx, o)
	var refused *dial.Error
	switch {
	case err == nil:
		phase := state.OrderDone
		if answer.Failed {
			phase = state.OrderFailed
		}
		i.finish(ctx, o, phase, answer.Detail)
	case errors.As(err, &refused) && refused.Refused:
		i.finish(ctx, o, state.OrderFailed, refused.Err.Error())
	default:
		i.log.Warn("order without an answer", "fence", o.Fence, "endpoint", o.Place.Endpoint, "err", err)
		i.recordResult(o, false)
	}
}

// deliver sends an order to its endpoint. It checks the keeper's lease immediately before sending.
func (i *Issuer) deliver(ctx context.Context, o state.Order) (dial.OrderAnswer, error) {
	a, alive := i.broker.Endpoint(o.Place.Endpoint)
	if !alive {
		return dial.OrderAnswer{}, errors.New("the endpoint has no valid lease")
	}
	if issuing, ok := i.keeper.OrderState(); !ok || issuing.Issuer.LeaseUntil <= i.clock.Now() {
		return dial.OrderAnswer{}, errors.New("this keeper no longer holds the lease for issuing orders")
	}
	ctx, cancel := context.WithTimeout(ctx, fence.OrderTimeout.Duration())
	defer cancel()
	return i.dial.Order(ctx, a.Target(), i.key, dial.Order{
		Fence: o.Fence, Kind: string(o.Place.Kind), Target: o.Place.Target, Version: o.Place.Version, Bytes: o.Place.Bytes,
	})
}

// finish commits the final phase of an order.
func (i *Issuer) finish(ctx context.Context, o state.Order, phase state.OrderPhase, detail string) {
	_, err := i.control.Propose(ctx, state.Command{FinishOrder: &state.FinishOrder{Fence: o.Fence, Phase: phase, Detail: detail}})
	if err != nil {
		i.log.Warn("cannot record the result of an order", "fence", o.Fence, "err", err)
	}
	i.recordResult(o, err == nil)
}

// recordResult reports to the planner that sending an order has ended, and whether its result was recorded.
func (i *Issuer) recordResult(o state.Order, answered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.planner.RecordResult(i.clock.Now(), o, answered)
}
