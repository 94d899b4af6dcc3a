package buffer

import "cyclamenford/core/spool"

// Fixed accounts for bytes that are not held for a client's socket, such as a request body that its endpoint reads slowly. They take room
// from answers, but are never given up. The zero value accounts for nothing. It is used by one goroutine.
type Fixed struct {
	pool *Pool
	held int64
}

// Fixed returns an account without bytes.
func (p *Pool) Fixed() *Fixed { return &Fixed{pool: p} }

// Set accounts for n bytes. One small chunk needs no budget, and the number is rounded up to whole segments, so that few calls take a lock.
func (f *Fixed) Set(n int) {
	held := int64(0)
	if n > segmentBytes {
		held = roundUp(n)
	}
	if f.pool == nil || held == f.held {
		return
	}
	added := held - f.held
	f.held = held
	if added < 0 {
		f.pool.releaseFixed(-added)
		return
	}
	f.pool.addFixed(added)
}

// addFixed accounts for n fixed bytes and ends answers if they exceed the budget.
func (p *Pool) addFixed(n int64) {
	p.mu.Lock()
	if p.spool.Fits(n) {
		defer p.mu.Unlock()
		p.spool.AddFixed(p.clock.Now(), n)
		return
	}
	p.mu.Unlock()
	p.choosing.Lock()
	defer p.choosing.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for d := p.spool.AddFixed(p.clock.Now(), n); d.Verdict == spool.End; d = p.spool.Shrink(p.clock.Now()) {
		p.endLocked(d)
	}
}

// releaseFixed gives back n fixed bytes.
func (p *Pool) releaseFixed(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spool.ReleaseFixed(n)
}
