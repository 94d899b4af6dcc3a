package stand

import (
	"math/rand/v2"
	"sync"

	"cyclamenford/core"
)

// cache is a prompt-prefix cache in bounded memory that numbers its events and loses some of them.
type cache struct {
	mu       sync.Mutex
	bound    int
	gap      int
	prefixes map[uint64]uint64
	uses     uint64
	seq      uint64
	events   []core.CacheEvent
	hits     int
	misses   int
}

func newCache(bound, gapPercent int) *cache {
	return &cache{bound: bound, gap: gapPercent, prefixes: map[uint64]uint64{}}
}

// use looks a prefix up, adds it, and reports whether it was there.
func (c *cache) use(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, hit := c.prefixes[prefix]
	if hit {
		c.hits++
	} else {
		c.misses++
	}
	c.put(prefix, hit)
	return hit
}

func (c *cache) add(prefix uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.prefixes[prefix]
	c.put(prefix, known)
}

func (c *cache) has(prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.prefixes[prefix]
	return ok
}

func (c *cache) put(prefix uint64, known bool) {
	c.uses++
	c.prefixes[prefix] = c.uses
	if !known {
		c.emit(prefix, false)
	}
	if len(c.prefixes) > c.bound {
		c.evict()
	}
}

func (c *cache) evict() {
	var oldest, use uint64
	for p, u := range c.prefixes {
		if use == 0 || u < use {
			oldest, use = p, u
		}
	}
	delete(c.prefixes, oldest)
	c.emit(oldest, true)
}

func (c *cache) emit(prefix uint64, evicted bool) {
	c.seq++
	if rand.IntN(100) < c.gap {
		return
	}
	c.events = append(c.events, core.CacheEvent{Seq: c.seq, Prefix: prefix, Evicted: evicted})
}

// take returns the events since the last call.
func (c *cache) take() []core.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.events
	c.events = nil
	return events
}
