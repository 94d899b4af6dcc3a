package entry

import (
	"context"
	"sync"
)

// placing remembers the calls that wait at a leader, so that they end when it is replaced.
type placing struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]placingCall
}

type placingCall struct {
	address string
	cancel  context.CancelFunc
}

func newPlacing() *placing { return &placing{calls: map[uint64]placingCall{}} }

// add remembers a call and returns the function that forgets it.
func (p *placing) add(address string, cancel context.CancelFunc) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	id := p.next
	p.calls[id] = placingCall{address: address, cancel: cancel}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calls, id)
	}
}

// abandon ends the calls that wait anywhere but at the leader, and returns their number.
func (p *placing) abandon(leader string) int {
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
