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
	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
)

const (
	// rollWait is how long the scheduler may hold a long-polling call until the roll changes.
	rollWait = core.Second
	// rollTimeout is longer than rollWait, so that a lost packet can be retransmitted within it.
	rollTimeout = 1600 * time.Millisecond
	// rollRetryPause is the pause between calls while no scheduler answers. The actual pause is drawn at random between
	// half of it and all of it, so that hosts that lost the same scheduler do not call at the same moments.
	rollRetryPause = 60 * time.Millisecond
	// rollWarnAge is the age of the last confirmation from which a warning is logged: the duration of two held calls.
	rollWarnAge = 2 * core.Second
)

// endpointChooser chooses endpoints for plain requests. It keeps a copy of the roll that the scheduler publishes. Its
// methods may be called concurrently.
type endpointChooser struct {
	control Control
	peers   *peer.Client
	calls   *pendingCalls
	events  *eventQueue
	clock   core.Clock
	meter   *meter.Meter
	log     *slog.Logger
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu   sync.Mutex
	door *door.Selector
	// warned means that the warning about the unconfirmed roll was logged since the last confirmation.
	warned bool
}

func newEndpointChooser(s door.Settings, c Control, p *peer.Client, calls *pendingCalls, events *eventQueue, clock core.Clock, m *meter.Meter, log *slog.Logger) *endpointChooser {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &endpointChooser{control: c, peers: p, calls: calls, events: events, clock: clock, meter: m, log: log, door: door.New(s, rng)}
}

// Start starts the loop that copies the roll.
func (c *endpointChooser) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wg.Go(func() {
		for ctx.Err() == nil {
			if err := c.copyRoll(ctx); err != nil {
				c.warnUnconfirmed(err)
				loop.Sleep(ctx, rollRetryPause/2+rand.N(rollRetryPause/2))
			}
		}
	})
	return nil
}

// Stop ends the loop that copies the roll.
func (c *endpointChooser) Stop(context.Context) error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// copyRoll fetches the changes of the roll from the leading keeper with one long-polling call and applies them.
func (c *endpointChooser) copyRoll(ctx context.Context) error {
	c.mu.Lock()
	term, version := c.door.Version()
	c.mu.Unlock()
	leader := c.control.LeaderAddress()
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	// The call is canceled when another keeper becomes the leader.
	defer c.calls.add(leader, cancel)()
	var reply assign.RollReply
	args := assign.RollArgs{Term: term, Version: version, Wait: rollWait}
	if err := c.peers.Call(ctx, leader, assign.Service+".Roll", args, &reply); err != nil {
		return err
	}
	if !reply.Leading {
		return errNotLeading
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.door.ApplyPage(now, reply.Page)
	if reply.Page.Term != term {
		c.events.addLimits(now, c.door.LimitReports(now))
		c.events.running.noteTerm(reply.Page.Term)
	}
	c.warned = false
	c.meter.SetGauge("host_windows", int64(c.door.Windows()))
	if reply.Page.Whole || len(reply.Page.Listed)+len(reply.Page.Gone) > 0 {
		c.log.Info("roll adopted", "term", reply.Page.Term, "version", reply.Page.Version, "whole", reply.Page.Whole,
			"listed", len(reply.Page.Listed), "gone", reply.Page.Gone)
	}
	return nil
}

// errNotLeading means that the called keeper is not the leader.
var errNotLeading = errors.New("the called keeper is not the leader")

// warnUnconfirmed logs, once for each loss of the scheduler, that the roll was not confirmed for rollWarnAge.
func (c *endpointChooser) warnUnconfirmed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.clock.Now() - c.door.ConfirmedAt()
	if c.warned || age < rollWarnAge {
		return
	}
	c.warned = true
	c.log.Warn("roll not confirmed: no scheduler answers", "age_ms", age, "err", err)
}

// applyImage applies the retired endpoints and the evacuated failure domains of the control state and the number of hosts that share the retry budgets.
// Keepers count as well, since some of them may accept requests.
func (c *endpointChooser) applyImage(image state.Image) {
	hosts := 0
	for _, h := range image.Hosts {
		if !h.Expired {
			hosts++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.door.SetRetired(image.Retired)
	c.door.SetEvacuated(image.EvacuatedDomains())
	c.door.SetHosts(hosts)
}

// hasRoll reports whether this host has ever received the roll from a scheduler.
func (c *endpointChooser) hasRoll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.ConfirmedAt() > 0
}

// hasOther reports whether a service has a usable endpoint besides the given ones that has not just failed.
func (c *endpointChooser) hasOther(service string, excluded []core.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.door.HasAlternative(c.clock.Now(), service, excluded)
}

// choose returns an endpoint of a service that is not among the tried ones, or the reason why there is none. A repeat of a
// request that an endpoint has had takes from the service's retry budget.
func (c *endpointChooser) choose(repeat bool, service string, tried []core.EndpointID) (door.Choice, core.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if repeat {
		return c.door.SelectRetry(c.clock.Now(), service, tried)
	}
	return c.door.SelectFirst(c.clock.Now(), service, tried)
}

// recordEnding records how an attempt at an endpoint ended and how long it took, for later choices.
func (c *endpointChooser) recordEnding(id core.EndpointID, ending order.AttemptOutcome, took core.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.door.RecordAttempt(c.clock.Now(), id, ending, took)
}
