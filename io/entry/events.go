package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/core/notice"
	"cyclamenford/core/order"
	"cyclamenford/io/assign"
	"cyclamenford/io/keeper"
	"cyclamenford/io/loop"
	"cyclamenford/io/peer"
)

const (
	// flushInterval batches the events of a few milliseconds into one call.
	flushInterval = 5 * time.Millisecond
	// flushTimeout allows for many round trips; a leader that does not answer within it is about to be replaced.
	flushTimeout = time.Second
	// notLeadingPause is the pause after a call to a keeper that does not lead.
	notLeadingPause = 20 * time.Millisecond
	// maxQueuedEvents limits the queue while there is no leader. An event that is dropped does little harm, since the
	// scheduler also ends a request at its deadline.
	maxQueuedEvents = 10_000
)

// eventQueue sends the scheduler events about requests and endpoints in batches, in their order.
type eventQueue struct {
	*loop.Loop
	host    core.HostID
	control Control
	peers   *peer.Client
	clock   core.Clock
	log     *slog.Logger
	// running holds the requests at engines, which a new leader is told before any event.
	running *runningList

	mu     sync.Mutex
	queued []assign.RequestEvent
	// limits holds the statements about limits that the leader has not received yet, the newest of each endpoint.
	limits map[core.Life]heardLimit
	// refusals holds the refusals of brittle endpoints that the leader has not been told.
	refusals []assign.Refusal
}

// heardLimit is what an answer says about a limit, and when the answer was made.
type heardLimit struct {
	stated limit.Statement
	made   limit.Span
}

func newEventQueue(host core.HostID, c Control, p *peer.Client, clock core.Clock, log *slog.Logger) *eventQueue {
	e := &eventQueue{host: host, control: c, peers: p, clock: clock, log: log, running: newRunningList(), limits: map[core.Life]heardLimit{}}
	e.Loop = loop.New(flushInterval, e.flush)
	return e
}

// addBegan queues that the endpoint of a request's attempt has begun to answer.
func (e *eventQueue) addBegan(key order.Key, attempt int, heard heardLoad) {
	e.running.begin(key)
	e.add(assign.RequestEvent{Key: key, Began: true, Attempt: attempt, Life: heard.life, Load: heard.report})
}

// addEnded queues that a request has ended.
func (e *eventQueue) addEnded(key order.Key, ending order.AttemptOutcome, heard heardLoad) {
	e.running.remove(key)
	e.add(assign.RequestEvent{Key: key, How: ending, Life: heard.life, Load: heard.report})
}

// addNotice queues that an endpoint has announced to this host that it is leaving or pauses.
func (e *eventQueue) addNotice(host core.HostID, life core.Life, n notice.Notice) {
	e.add(assign.RequestEvent{Key: order.Key{Host: host}, Life: life, Notice: n})
}

// addFailed queues that a connection to an endpoint has failed under a request of which the scheduler does not know.
func (e *eventQueue) addFailed(host core.HostID, life core.Life, ending order.AttemptOutcome) {
	e.add(assign.RequestEvent{Key: order.Key{Host: host}, Life: life, How: ending})
}

// addLimit queues what an answer says about the limit of an endpoint.
func (e *eventQueue) addLimit(life core.Life, stated limit.Statement, made limit.Span) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.limits) < maxQueuedEvents {
		e.limits[life] = heardLimit{stated: stated, made: made}
	}
}

// addRefusal queues that a brittle endpoint has refused a request for want of room.
func (e *eventQueue) addRefusal(life core.Life, bears int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.refusals) < maxQueuedEvents {
		e.refusals = append(e.refusals, assign.Refusal{Life: life, Bears: bears})
	}
}

// addLimits queues everything that is known of limits, for a leader that may not know it.
func (e *eventQueue) addLimits(now core.Millis, reports []limit.Report) {
	for _, r := range reports {
		e.addLimit(r.Life, r.Statement, r.Span(now))
	}
}

// add queues an event, or drops it if the queue is full.
func (e *eventQueue) add(event assign.RequestEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queued) < maxQueuedEvents {
		e.queued = append(e.queued, event)
	}
}

// flush sends the queued events to the leader, and queues them again if that fails or if the called keeper does not lead.
func (e *eventQueue) flush(ctx context.Context) {
	if !e.tellRunning(ctx) {
		loop.Sleep(ctx, notLeadingPause)
		return
	}
	e.mu.Lock()
	batch, limits, refusals := e.queued, e.limits, e.refusals
	e.queued, e.limits, e.refusals = nil, map[core.Life]heardLimit{}, nil
	e.mu.Unlock()
	if len(batch)+len(limits)+len(refusals) == 0 {
		return
	}
	// Refusals are not queued again: they count for a second only.
	args := assign.EventsArgs{Events: batch, Host: e.host, Refusals: refusals}
	for life, heard := range limits {
		args.Limits = append(args.Limits, limit.NewReport(e.clock.Now(), life, heard.stated, heard.made))
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	var located keeper.Located
	err := e.peers.Call(ctx, e.control.LeaderAddress(), assign.Service+".Tell", args, &located)
	if err == nil && located.Leading {
		return
	}
	e.requeue(batch, limits)
	if err != nil {
		e.log.Warn("events not sent", "events", len(batch), "limits", len(limits), "err", err)
		return
	}
	loop.Sleep(ctx, notLeadingPause)
}

// requeue puts events back to the front of the queue, or drops them if the queue is full. The scheduler ignores events that
// it has already seen.
func (e *eventQueue) requeue(batch []assign.RequestEvent, limits map[core.Life]heardLimit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for life, heard := range limits {
		if _, newer := e.limits[life]; !newer {
			e.limits[life] = heard
		}
	}
	// Load reports describe a moment that has passed by now, and events state no age.
	for i := range batch {
		batch[i].Load = order.LoadReport{}
	}
	if len(batch)+len(e.queued) < maxQueuedEvents {
		e.queued = append(batch, e.queued...)
	}
}
