package assign

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

// ledgerSize is the number of events that are kept for keepers that copy them: a few seconds of a large deployment's.
const ledgerSize = 1 << 13

// ledger is the recent events about results that stages' endpoints hold, in their order.
type ledger struct {
	// next is the number of the event after the last one.
	next   uint64
	events []HeldEvent
}

func (l *ledger) add(e HeldEvent) {
	l.events = append(l.events, e)
	l.next++
	if len(l.events) > 2*ledgerSize {
		l.events = append([]HeldEvent(nil), l.events[ledgerSize:]...)
	}
}

// since returns the events from a number on, as far as they are kept.
func (l *ledger) since(from uint64) []HeldEvent {
	first := l.next - uint64(len(l.events))
	if from >= l.next {
		return nil
	}
	return l.events[max(first, from)-first:]
}

// note takes a decision of the scheduler in.
func (l *ledger) note(x order.Action) {
	switch {
	case x.Made != nil:
		l.add(HeldEvent{Made: x.Made})
	case x.Began != nil:
		l.add(HeldEvent{Began: x.Began})
	case x.Over > 0:
		l.add(HeldEvent{Over: x.Over})
	case x.Free != nil && x.Free.Key != order.Key{}:
		l.add(HeldEvent{Key: x.Free.Key, Stage: x.Free.Stage})
	}
}

// heldCopy is what a keeper knows of the results that the leader's scheduler uses.
type heldCopy struct {
	// term and next are those of the ledger that is copied, and of its next event.
	term, next uint64
	held       map[order.Key][]order.Held
	running    map[uint64]order.Running
}

// take brings the copy up to date at a time of this keeper's clock, and forgets what has ended.
func (c *heldCopy) take(now core.Millis, reply HeldReply) {
	if c.held == nil || reply.Term != c.term {
		*c = heldCopy{term: reply.Term, held: map[order.Key][]order.Held{}, running: map[uint64]order.Running{}}
	}
	for _, e := range reply.Events {
		if e.Made != nil {
			h := *e.Made
			h.Till += now - reply.Now
			c.held[h.Key] = append(c.held[h.Key], h)
			continue
		}
		if e.Began != nil {
			b := *e.Began
			b.EndsAt += now - reply.Now
			b.Till += now - reply.Now
			c.running[b.Number] = b
			continue
		}
		if e.Over > 0 {
			delete(c.running, e.Over)
			continue
		}
		kept := c.held[e.Key][:0]
		for _, h := range c.held[e.Key] {
			if h.Stage != e.Stage {
				kept = append(kept, h)
			}
		}
		if c.held[e.Key] = kept; len(kept) == 0 {
			delete(c.held, e.Key)
		}
	}
	c.next = reply.Next
	maps.DeleteFunc(c.running, func(_ uint64, r order.Running) bool { return r.Till < now })
	maps.DeleteFunc(c.held, func(_ order.Key, held []order.Held) bool { return held[len(held)-1].Till < now })
}

// calls returns the calls that are known, in the order of their numbers.
func (c *heldCopy) calls() []order.Running {
	var list []order.Running
	for _, n := range slices.Sorted(maps.Keys(c.running)) {
		list = append(list, c.running[n])
	}
	return list
}

// list returns the results that are known.
func (c *heldCopy) list() []order.Held {
	var list []order.Held
	for _, held := range c.held {
		list = append(list, held...)
	}
	return list
}
