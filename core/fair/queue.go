package fair

import (
	"math"

	"cyclamenford/core"
	"cyclamenford/core/heap"
)

// Item is one entry of the queue.
type Item struct {
	ID           uint64
	Organisation core.OrganisationID
	// Weight is the organisation's weight in fair queueing; 0 counts as 1.
	Weight   float64
	Priority core.Priority
	// Cost is the expected time in an endpoint's slot, in milliseconds.
	Cost float64
	// StartBy is the latest useful start. The queue orders an organisation's items by it and expires them after it.
	StartBy core.Millis
}

// Rule identifies the rule by which an item was selected.
type Rule string

// The rules by which an item can be selected.
const (
	MostUrgent      Rule = "MostUrgent"
	GuaranteedShare Rule = "GuaranteedShare"
)

// shareDelay is how long the next item of a less urgent priority must wait before its guaranteed share applies.
const shareDelay = 100 * core.Millis(1)

// servedTimeConstant is the time constant with which the cost served to each priority decays.
const servedTimeConstant = 5 * core.Second

// waitingItem is an item in the queue with its arrival time and its positions in two heaps.
type waitingItem struct {
	Item
	since          core.Millis
	orgPosition    position
	expiryPosition position
}

type position struct{ at int }

// deadlineEntry and expiryEntry wrap a waiting item for the two heaps that hold it, each with its own position.
type deadlineEntry struct{ *waitingItem }

func (w deadlineEntry) SetPosition(i int) { w.orgPosition.at = i }
func (w deadlineEntry) Position() int     { return w.orgPosition.at }

type expiryEntry struct{ *waitingItem }

func (w expiryEntry) SetPosition(i int) { w.expiryPosition.at = i }
func (w expiryEntry) Position() int     { return w.expiryPosition.at }

// Queue is a fair queue with a limited number of items in each priority.
type Queue struct {
	shares         [core.PriorityCount]float64
	maxPerPriority int
	classes        [core.PriorityCount]*class
	expiry         *heap.Heap[expiryEntry]
	byID           map[uint64]*waitingItem
	servedCost     [core.PriorityCount]float64
	decayedAt      core.Millis
}

// New returns a queue with the given guaranteed shares and at most maxPerPriority items in each priority.
func New(shares [core.PriorityCount]float64, maxPerPriority int) *Queue {
	q := &Queue{shares: shares, maxPerPriority: maxPerPriority, byID: map[uint64]*waitingItem{}}
	q.expiry = heap.New(func(a, b expiryEntry) bool { return a.StartBy < b.StartBy })
	for p := range q.classes {
		q.classes[p] = newClass()
	}
	return q
}

// SetShares replaces the guaranteed shares.
func (q *Queue) SetShares(shares [core.PriorityCount]float64) {
	q.shares = shares
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return len(q.byID)
}

// CostAhead estimates the cost that the queue would serve before a new item of the priority and organisation.
func (q *Queue) CostAhead(p core.Priority, org core.OrganisationID) float64 {
	own := q.classes[p].costAhead(org)
	sum := own
	for c := core.Priority(0); c < p; c++ {
		sum += q.classes[c].cost
	}
	if q.shares[p] > 0 {
		return min(sum, own/q.shares[p])
	}
	return sum
}

// Cost returns the summed cost of all waiting items.
func (q *Queue) Cost() float64 {
	sum := 0.0
	for _, c := range q.classes {
		sum += c.cost
	}
	return sum
}

// Push adds an item and returns the items that were shed to keep within the bound. It sheds from the organisation that
// has the most items waiting in the priority.
func (q *Queue) Push(now core.Millis, item Item) []Item {
	w := &waitingItem{Item: item, since: now}
	q.byID[item.ID] = w
	q.classes[item.Priority].push(w)
	q.expiry.Push(expiryEntry{w})
	if q.classes[item.Priority].count <= q.maxPerPriority {
		return nil
	}
	shed := q.classes[item.Priority].lastOfLongest()
	q.remove(shed)
	return []Item{shed.Item}
}

// Remove removes an item and reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	w, ok := q.byID[id]
	if ok {
		q.remove(w)
	}
	return ok
}

func (q *Queue) remove(w *waitingItem) {
	delete(q.byID, w.ID)
	q.classes[w.Priority].remove(w)
	q.expiry.Remove(expiryEntry{w})
}

// Expire removes and returns the items whose latest useful start has passed.
func (q *Queue) Expire(now core.Millis) []Item {
	var expired []Item
	for q.expiry.Len() > 0 && q.expiry.Top().StartBy < now {
		w := q.expiry.Top().waitingItem
		q.remove(w)
		expired = append(expired, w.Item)
	}
	return expired
}

// Pop removes and returns the item to run next, with the rule that selected it.
//
// A priority for which hasSpareSlot returns false is skipped, unless it received less than its guaranteed share.
func (q *Queue) Pop(now core.Millis, hasSpareSlot func(core.Priority) bool) (Item, Rule, bool) {
	p, why, ok := q.choosePriority(now, hasSpareSlot)
	if !ok {
		return Item{}, "", false
	}
	w := q.classes[p].next()
	q.remove(w)
	q.classes[p].chargeItem(w)
	q.recordServed(now, p, w.Cost)
	return w.Item, why, true
}

// recordServed adds the cost of an item that starts to the cost served to its priority.
func (q *Queue) recordServed(now core.Millis, p core.Priority, cost float64) {
	q.decay(now)
	q.servedCost[p] += cost
}

// choosePriority selects the priority that is furthest below its guaranteed share, or else the most urgent one with a
// spare slot.
func (q *Queue) choosePriority(now core.Millis, hasSpareSlot func(core.Priority) bool) (core.Priority, Rule, bool) {
	q.decay(now)
	total := 0.0
	for _, s := range q.servedCost {
		total += s
	}
	best, found := core.Priority(0), false
	underserved, entitled := core.Priority(0), false
	lowest := 1.0
	for p := core.Priority(0); p < core.PriorityCount; p++ {
		if q.classes[p].count == 0 {
			continue
		}
		if !found && hasSpareSlot(p) {
			best, found = p, true
		}
		if ratio := q.shareRatio(now, p, total); ratio < lowest {
			underserved, entitled, lowest = p, true, ratio
		}
	}
	if entitled && (!found || underserved != best) {
		return underserved, GuaranteedShare, true
	}
	return best, MostUrgent, found
}

// shareRatio returns the served share of a priority relative to its guaranteed share; below 1 it has received too
// little.
func (q *Queue) shareRatio(now core.Millis, p core.Priority, total float64) float64 {
	if q.shares[p] == 0 || total == 0 {
		return 1
	}
	if p != core.Urgent && now-q.classes[p].next().since < shareDelay {
		return 1
	}
	return q.servedCost[p] / total / q.shares[p]
}

// decay reduces the served costs exponentially by the time since the last call.
func (q *Queue) decay(now core.Millis) {
	if now <= q.decayedAt {
		return
	}
	f := math.Exp(-float64(now-q.decayedAt) / float64(servedTimeConstant))
	for p := range q.servedCost {
		q.servedCost[p] *= f
	}
	q.decayedAt = now
}
