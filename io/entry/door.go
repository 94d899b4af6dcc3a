package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/door"
	"cyclamenford/core/order"
	"cyclamenford/core/state"
	"cyclamenford/io/assign"
	"cyclamenford/io/loop"
	"cyclamenford/io/peer"
)

const (
	// rollWait is how long the scheduler may hold a call for news of the roll.
	rollWait = core.Second
	// rollTimeout leaves a lost packet time to be sent again.
	rollTimeout = 1600 * time.Millisecond
	// rollPause is the time between calls while no scheduler answers; it is drawn between half and all of it, so that the
	// hosts that have lost the same scheduler do not ask in step.
	rollPause = 60 * time.Millisecond
	// rollSilence is the age from which the log tells that the roll is not confirmed: two held calls.
	rollSilence = 2 * core.Second
)

// doorkeeper chooses endpoints for plain requests from the roll that it copies from the scheduler.
type doorkeeper struct {
	control Control
	peers   *peer.Client
	placing *placing
	clock   core.Clock
	log     *slog.Logger
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu   sync.Mutex
	door *door.Door
	// lost tells that the log has said that no scheduler confirms the roll.
	lost bool
}

func newDoorkeeper(s door.Settings, c Control, p *peer.Client, calls *placing, clock core.Clock, log *slog.Logger) *doorkeeper {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &doorkeeper{control: c, peers: p, placing: calls, clock: clock, log: log, door: door.New(s, rng)}
}

// Start begins to copy the roll.
func (k *doorkeeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.wg.Go(func() {
		for ctx.Err() == nil {
			if err := k.copyRoll(ctx); err != nil {
				k.notConfirmed(err)
				loop.Pause(ctx, rollPause/2+rand.N(rollPause/2))
			}
		}
	})
	return nil
}

// Stop ends the copying.
func (k *doorkeeper) Stop(context.Context) error {
	k.cancel()
	k.wg.Wait()
	return nil
}

func (k *doorkeeper) copyRoll(ctx context.Context) error {
	k.mu.Lock()
	term, version := k.door.Version()
	k.mu.Unlock()
	leader := k.control.Leader()
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	// A call that waits at a former leader ends when there is another one.
	defer k.placing.add(leader, cancel)()
	var reply assign.RollReply
	args := assign.RollArgs{Term: term, Version: version, Wait: rollWait}
	if err := k.peers.Call(ctx, leader, assign.Service+".Roll", args, &reply); err != nil {
		return err
	}
	if !reply.Leading {
		return errNotLeading
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.door.Adopt(k.clock.Now(), reply.Page)
	k.lost = false
	if reply.Page.Whole || len(reply.Page.Listed)+len(reply.Page.Gone) > 0 {
		k.log.Info("roll adopted", "term", reply.Page.Term, "version", reply.Page.Version, "whole", reply.Page.Whole,
			"listed", len(reply.Page.Listed), "gone", reply.Page.Gone)
	}
	return nil
}

// errNotLeading means that the keeper that was asked does not lead.
var errNotLeading = errors.New("the keeper does not lead")

func (k *doorkeeper) notConfirmed(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	age := k.clock.Now() - k.door.Heard()
	if k.lost || age < rollSilence {
		return
	}
	k.lost = true
	k.log.Warn("roll not confirmed: no scheduler answers", "age_ms", age, "err", err)
}

// adopt takes in which endpoints have ended, and how many hosts share the budgets: keepers too, some of which may take requests.
func (k *doorkeeper) adopt(image state.Image) {
	hosts := 0
	for _, h := range image.Hosts {
		if !h.Expired {
			hosts++
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.door.Retire(image.Retired)
	k.door.Share(hosts)
}

// heard reports whether a scheduler has ever told this host of endpoints.
func (k *doorkeeper) heard() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.door.Heard() > 0
}

func (k *doorkeeper) others(service string, but []core.EndpointID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.door.Others(k.clock.Now(), service, but)
}

func (k *doorkeeper) choose(again bool, service string, tried []core.EndpointID) (door.Choice, core.Reason) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if again {
		return k.door.Again(k.clock.Now(), service, tried)
	}
	return k.door.Place(k.clock.Now(), service, tried)
}

func (k *doorkeeper) ended(id core.EndpointID, how order.Ending, took core.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.door.Ended(k.clock.Now(), id, how, took)
}
