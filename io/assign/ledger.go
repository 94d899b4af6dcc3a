package assign

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
)

// eventLogSize is the minimum number of recent events that are kept for keepers that copy them. It covers a few
// seconds in a large deployment.
const eventLogSize = 1 << 14

// eventLog holds the latest events about results that endpoints of stages hold and about requests at engines, in order.
type eventLog struct {
	// nextNumber is the number of the next event.
	nextNumber uint64
	events     []ResultEvent
}

// add appends an event and drops old events once twice eventLogSize are kept.
func (l *eventLog) add(e ResultEvent) {
	l.events = append(l.events, e)
	l.nextNumber++
	if len(l.events) > 2*eventLogSize {
		l.events = append([]ResultEvent(nil), l.events[eventLogSize:]...)
	}
}

// since returns the kept events whose number is from or higher.
func (l *eventLog) since(from uint64) []ResultEvent {
	first := l.nextNumber - uint64(len(l.events))
	if from >= l.nextNumber {
		return nil
	}
	return l.events[max(first, from)-first:]
}

// addAction records a scheduler action if it concerns held results, stage calls in progress or requests at engines.
func (l *eventLog) addAction(action order.Action) {
	switch {
	case l.addRunning(action):
	case action.ResultsMade != nil:
		l.add(ResultEvent{Made: action.ResultsMade})
	case action.CallBegan != nil:
		l.add(ResultEvent{Began: action.CallBegan})
	case action.CallEnded > 0:
		l.add(ResultEvent{Over: action.CallEnded})
	case action.Free != nil:
		for _, made := range action.Free.Made {
			l.add(ResultEvent{Key: made.Key, Stage: made.Stage, Holder: action.Free.Life.Endpoint})
		}
	}
}

// resultsCopy is a non-leading keeper's copy of the held results, stage calls and requests at engines of the leader's scheduler.
type resultsCopy struct {
	// term is the leader's term in which the events were recorded, and nextNumber the number of the next event to copy.
	term, nextNumber uint64
	results          map[order.Key][]order.HeldResults
	calls            map[uint64]order.RunningCall
	running          map[order.Key]order.RunningRequest
	// whole means that running was complete once in this term, unsettled that the leader did not know all requests itself, and copiedAt is
	// when the latest events were copied.
	whole, unsettled bool
	copiedAt         core.Millis
}

// apply updates the copy with the events of a reply and drops expired results and calls. Times of the leader's clock
// are converted to this keeper's clock, which shows now.
func (c *resultsCopy) apply(now core.Millis, reply HeldReply) {
	if c.results == nil || reply.Term != c.term {
		*c = resultsCopy{
			term: reply.Term, results: map[order.Key][]order.HeldResults{}, calls: map[uint64]order.RunningCall{},
			running: map[order.Key]order.RunningRequest{},
		}
	}
	c.applyRunning(now, reply)
	for _, e := range reply.Events {
		if e.Made != nil {
			h := *e.Made
			h.Till += now - reply.Now
			c.results[h.Key] = append(c.results[h.Key], h)
			continue
		}
		if e.Began != nil {
			call := *e.Began
			call.EndsAt += now - reply.Now
			call.Till += now - reply.Now
			c.calls[call.Number] = call
			continue
		}
		if e.Over > 0 {
			delete(c.calls, e.Over)
			continue
		}
		if e.Runs != nil || e.FirstByte != nil || e.Left != nil {
			continue
		}
		kept := c.results[e.Key][:0]
		for _, h := range c.results[e.Key] {
			if h.Stage != e.Stage || e.Holder != "" && h.Endpoint != e.Holder {
				kept = append(kept, h)
			}
		}
		if c.results[e.Key] = kept; len(kept) == 0 {
			delete(c.results, e.Key)
		}
	}
	c.nextNumber = reply.Next
	maps.DeleteFunc(c.calls, func(_ uint64, r order.RunningCall) bool { return r.Till < now })
	maps.DeleteFunc(c.results, func(_ order.Key, held []order.HeldResults) bool { return held[len(held)-1].Till < now })
}

// runningCalls returns the stage calls in progress, ordered by number.
func (c *resultsCopy) runningCalls() []order.RunningCall {
	var list []order.RunningCall
	for _, number := range slices.Sorted(maps.Keys(c.calls)) {
		list = append(list, c.calls[number])
	}
	return list
}

// heldResults returns the held results, in no particular order.
func (c *resultsCopy) heldResults() []order.HeldResults {
	var list []order.HeldResults
	for _, held := range c.results {
		list = append(list, held...)
	}
	return list
}
