package stand

import (
	"context"
	"sync"
	"time"

	"cyclamenford/core"
)

// batch is the continuous batch of an engine: a bounded number of sequences, the most urgent waiting one next.
type batch struct {
	mu      sync.Mutex
	slots   int
	running int
	waiting [core.PriorityCount][]chan struct{}
	started int64
	history []sample
	streams *streams
}

// sample is the load at one time, for reports that lag.
type sample struct {
	at              time.Time
	running, queued int
}

func newBatch(slots int) *batch {
	return &batch{slots: slots, streams: &streams{m: map[core.AttemptID]*stream{}}}
}

// enter waits for a place in the batch; call the returned function to leave it.
func (b *batch) enter(ctx context.Context, p core.Priority) (func(), error) {
	b.mu.Lock()
	if b.running < b.slots {
		b.begin()
		b.mu.Unlock()
		return b.leave, nil
	}
	turn := make(chan struct{})
	b.waiting[p] = append(b.waiting[p], turn)
	b.note()
	b.mu.Unlock()
	select {
	case <-turn:
		return b.leave, nil
	case <-ctx.Done():
		if b.withdraw(p, turn) {
			return nil, ctx.Err()
		}
		b.leave()
		return nil, ctx.Err()
	}
}

func (b *batch) begin() {
	b.running++
	b.started++
	b.note()
}

// withdraw gives up a turn and reports whether it had not come yet.
func (b *batch) withdraw(p core.Priority, turn chan struct{}) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, t := range b.waiting[p] {
		if t == turn {
			b.waiting[p] = append(b.waiting[p][:i], b.waiting[p][i+1:]...)
			b.note()
			return true
		}
	}
	return false
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	for p := range b.waiting {
		if len(b.waiting[p]) > 0 {
			close(b.waiting[p][0])
			b.waiting[p] = b.waiting[p][1:]
			b.begin()
			return
		}
	}
	b.note()
}

func (b *batch) startedTotal() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started
}

const historyKept = 512

func (b *batch) note() {
	queued := 0
	for _, w := range b.waiting {
		queued += len(w)
	}
	b.history = append(b.history, sample{at: time.Now(), running: b.running, queued: queued})
	if len(b.history) > historyKept {
		b.history = append([]sample(nil), b.history[historyKept/2:]...)
	}
}

// load returns the load as it was lag ago.
func (b *batch) load(lag time.Duration) (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	then := time.Now().Add(-lag)
	for _, s := range b.history {
		if s.at.After(then) {
			break
		}
		running, queued = s.running, s.queued
	}
	return running, queued
}
