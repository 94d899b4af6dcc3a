package fair

import (
	"cyclamenford/core"
	"cyclamenford/core/heap"
)

// orgQueue holds one organisation's waiting items of one priority.
type orgQueue struct {
	id          core.OrganisationID
	virtualTime float64
	items       *heap.Heap[deadlineEntry]
	cost        float64
	turnIndex   int
	sizeIndex   int
}

// turnEntry wraps an organisation's queue for the heap that is ordered by virtual time.
type turnEntry struct{ *orgQueue }

func (t turnEntry) SetPosition(i int) { t.turnIndex = i }
func (t turnEntry) Position() int     { return t.turnIndex }

// backlogEntry wraps an organisation's queue for the heap that is ordered by the number of waiting items.
type backlogEntry struct{ *orgQueue }

func (t backlogEntry) SetPosition(i int) { t.sizeIndex = i }
func (t backlogEntry) Position() int     { return t.sizeIndex }

// class holds the waiting items of one priority, grouped by organisation.
type class struct {
	orgs          map[core.OrganisationID]*orgQueue
	byVirtualTime *heap.Heap[turnEntry]
	byBacklog     *heap.Heap[backlogEntry]
	virtualTime   float64
	count         int
	cost          float64
}

func newClass() *class {
	return &class{
		orgs:          map[core.OrganisationID]*orgQueue{},
		byVirtualTime: heap.New(earlierTurn),
		byBacklog:     heap.New(func(a, b backlogEntry) bool { return a.items.Len() > b.items.Len() }),
	}
}

// earlierTurn orders organisations by virtual time, and by name if it is equal.
func earlierTurn(a, b turnEntry) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.id < b.id
}

func (c *class) orgQueue(id core.OrganisationID) *orgQueue {
	t, ok := c.orgs[id]
	if !ok {
		t = &orgQueue{id: id, virtualTime: c.virtualTime, turnIndex: -1, sizeIndex: -1}
		t.items = heap.New(func(a, b deadlineEntry) bool { return a.StartBy < b.StartBy })
		c.orgs[id] = t
	}
	return t
}

func (c *class) push(w *waitingItem) {
	t := c.orgQueue(w.Organisation)
	t.items.Push(deadlineEntry{w})
	if t.items.Len() == 1 {
		t.virtualTime = max(t.virtualTime, c.virtualTime)
		c.byVirtualTime.Push(turnEntry{t})
		c.byBacklog.Push(backlogEntry{t})
	} else {
		c.byBacklog.Fix(backlogEntry{t})
	}
	c.count++
	c.cost += w.Cost
	t.cost += w.Cost
}

func (c *class) remove(w *waitingItem) {
	t := c.orgs[w.Organisation]
	t.items.Remove(deadlineEntry{w})
	if t.items.Len() == 0 {
		c.byVirtualTime.Remove(turnEntry{t})
		c.byBacklog.Remove(backlogEntry{t})
	} else {
		c.byBacklog.Fix(backlogEntry{t})
	}
	c.count--
	c.cost = max(0, c.cost-w.Cost)
	t.cost = max(0, t.cost-w.Cost)
}

// next returns the item to run next: the earliest deadline of the organisation with the lowest virtual time. The class
// must not be empty.
func (c *class) next() *waitingItem {
	return c.byVirtualTime.Top().items.Top().waitingItem
}

// lastOfLongest returns the item to shed: the last in the heap of the organisation with the most waiting items.
func (c *class) lastOfLongest() *waitingItem {
	return c.byBacklog.Top().items.LastLeaf().waitingItem
}

// chargeItem charges an item that was taken from the queue to its organisation's virtual time.
func (c *class) chargeItem(w *waitingItem) {
	t := c.orgQueue(w.Organisation)
	c.virtualTime = max(c.virtualTime, t.virtualTime)
	c.advance(w.Organisation, w.Weight, w.Cost)
}

// advance adds the cost, divided by the weight, to the organisation's virtual time.
func (c *class) advance(org core.OrganisationID, weight, cost float64) {
	if weight <= 0 {
		weight = 1
	}
	t := c.orgQueue(org)
	t.virtualTime = max(t.virtualTime, c.virtualTime) + cost/weight
	if t.turnIndex >= 0 {
		c.byVirtualTime.Fix(turnEntry{t})
	}
}

// costAhead returns an upper bound of the cost that is served before a new item of the organisation, assuming that all
// waiting organisations take turns.
func (c *class) costAhead(org core.OrganisationID) float64 {
	t, ok := c.orgs[org]
	if !ok {
		return 0
	}
	return min(c.cost, t.cost*float64(c.byVirtualTime.Len()))
}
