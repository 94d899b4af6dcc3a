package trial

import (
	"container/heap"

	"cyclamenford/core"
)

// loop runs events in the order of their times; equal times keep the order of their making.
type loop struct {
	now   core.Millis
	seq   uint64
	queue eventQueue
}

type event struct {
	at  core.Millis
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after runs f once the given time has passed.
func (l *loop) after(wait core.Millis, f func()) {
	l.seq++
	heap.Push(&l.queue, event{at: l.now + max(wait, 0), seq: l.seq, run: f})
}

// every runs f again and again.
func (l *loop) every(period core.Millis, f func()) {
	l.after(period, func() {
		f()
		l.every(period, f)
	})
}

// until runs all events up to the given time.
func (l *loop) until(end core.Millis) {
	for len(l.queue) > 0 && l.queue[0].at <= end {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
