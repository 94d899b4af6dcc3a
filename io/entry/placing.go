package entry

import (
	"context"
	"sync"
)

// pendingCalls tracks the calls that wait at a leader, so that they can be canceled when the leader is replaced.
type pendingCalls struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]pendingCall
}

// pendingCall is a call in progress to the keeper at an address.
type pendingCall struct {
	address string
	cancel  context.CancelFunc
}

func newPendingCalls() *pendingCalls { return &pendingCalls{calls: map[uint64]pendingCall{}} }

// add registers a call and returns the function that removes it.
func (p *pendingCalls) add(address string, cancel context.CancelFunc) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	id := p.next
	p.calls[id] = pendingCall{address: address, cancel: cancel}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calls, id)
	}
}

// cancelExcept cancels the calls to all keepers other than the leader and returns their number.
func (p *pendingCalls) cancelExcept(leader string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.calls {
		if c.address != leader {
			c.cancel()
			n++
		}
	}
	return n
}
