package keeper

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenford/core/quorum"
	"cyclamenford/io/loop"
	"cyclamenford/io/peer"
)

const (
	// outboxQueueLength and outboxQueueBytes bound the messages that wait for one member, by number and by the bytes that they carry, and
	// deliverBytes those that are added to one call. They leave a keeper with 280 MB room for eight members of which none reads.
	outboxQueueLength = 256
	outboxQueueBytes  = 8 << 20
	deliverBytes      = 1 << 20
	deliverTimeout    = 500 * time.Millisecond
	drainTimeout      = 300 * time.Millisecond
)

// outbox sends messages to each member in order, and drops messages while the member's queue is full. Messages without entries or pieces of
// a snapshot, such as votes and heartbeats, are dropped only when the queue is full by number.
type outbox struct {
	// from is this keeper's own peer address.
	from        string
	client      *peer.Client
	peerAddress func(quorum.Member) string
	log         *slog.Logger
	ctx         context.Context
	cancel      context.CancelFunc
	queues      map[quorum.Member]*memberQueue
	mu          sync.Mutex
	pending     loop.WorkCounter
	wg          sync.WaitGroup
}

// memberQueue holds the messages that wait for one member.
type memberQueue struct {
	messages chan quorum.Message
	// bytes is what the messages in the queue and in the call in progress carry.
	bytes atomic.Int64
	// full means that the last message with entries or pieces of a snapshot was dropped. Only the sender of messages uses it.
	full bool
}

func newOutbox(from string, client *peer.Client, peerAddress func(quorum.Member) string, log *slog.Logger) *outbox {
	ctx, cancel := context.WithCancel(context.Background())
	return &outbox{
		from: from, client: client, peerAddress: peerAddress, log: log, ctx: ctx, cancel: cancel,
		queues: map[quorum.Member]*memberQueue{},
	}
}

func (o *outbox) send(messages []quorum.Message) {
	for _, m := range messages {
		q, carried := o.queue(m.To), carriedBytes(m)
		if waiting := q.bytes.Load(); carried > 0 && waiting > 0 && waiting+carried > outboxQueueBytes {
			if !q.full {
				o.log.Info("messages to keeper dropped until it reads those that wait", "to", m.To, "waiting_bytes", waiting)
			}
			q.full = true
			continue
		}
		o.pending.Add(1)
		q.bytes.Add(carried)
		select {
		case q.messages <- m:
			q.full = q.full && carried == 0
		default:
			q.bytes.Add(-carried)
			o.pending.Add(-1)
		}
	}
}

// carriedBytes returns the size of the entries and of the piece of a snapshot that a message carries.
func carriedBytes(m quorum.Message) int64 {
	bytes := int64(len(m.Data))
	for _, e := range m.Entries {
		bytes += int64(len(e.Data))
	}
	return bytes
}

func (o *outbox) queue(to quorum.Member) *memberQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.queues[to]
	if !ok {
		q = &memberQueue{messages: make(chan quorum.Message, outboxQueueLength)}
		o.queues[to] = q
		o.wg.Go(func() { o.sendQueued(to, q) })
	}
	return q
}

func (o *outbox) sendQueued(to quorum.Member, q *memberQueue) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case m := <-q.messages:
			batch, carried := q.nextBatch(m)
			o.deliver(to, batch)
			q.bytes.Add(-carried)
			o.pending.Add(-len(batch))
		}
	}
}

// nextBatch returns the first message and those queued behind it, at most outboxQueueLength in all, and the bytes that they carry. It adds
// no further message to deliverBytes or more.
func (q *memberQueue) nextBatch(first quorum.Message) (batch []quorum.Message, carried int64) {
	batch, carried = []quorum.Message{first}, carriedBytes(first)
	for len(batch) < outboxQueueLength && carried < deliverBytes {
		select {
		case m := <-q.messages:
			batch = append(batch, m)
			carried += carriedBytes(m)
		default:
			return batch, carried
		}
	}
	return batch, carried
}

func (o *outbox) deliver(to quorum.Member, batch []quorum.Message) {
	address := o.peerAddress(to)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, deliverTimeout)
	defer cancel()
	if err := o.client.Call(ctx, address, QuorumService+".Deliver", Batch{From: batch[0].From, Address: o.from, Messages: batch}, &struct{}{}); err != nil {
		o.log.Debug("message to keeper not delivered", "to", to, "err", err)
	}
}

// drain waits until the queues are empty, at most drainTimeout.
func (o *outbox) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := o.pending.Wait(ctx); err != nil {
		o.log.Debug("messages to keepers still queued at shutdown", "err", err)
	}
}

func (o *outbox) stop() {
	o.cancel()
	o.wg.Wait()
}
