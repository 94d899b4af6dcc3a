package sched

import "container/list"

// cache is what an engine is believed to hold of prompts: chains of parts, the least recently used given up first.
type cache struct {
	tokens int
	order  *list.List
	parts  map[string]*list.Element
}

type cachedPart struct {
	chain  string
	tokens int
}

func newCache() *cache {
	return &cache{order: list.New(), parts: map[string]*list.Element{}}
}

// held returns how many tokens of the prompt need not be read: a part counts only if all parts before it are held too.
func (c *cache) held(parts []Part) int {
	chain, tokens := "", 0
	for _, p := range parts {
		chain += "/" + p.ID
		if _, ok := c.parts[chain]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add notes that the prompt has been read, and forgets what then exceeds the engine's memory.
func (c *cache) add(parts []Part, capacity int) {
	chain := ""
	for _, p := range parts {
		chain += "/" + p.ID
		if e, ok := c.parts[chain]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[chain] = c.order.PushFront(cachedPart{chain: chain, tokens: p.Tokens})
		c.tokens += p.Tokens
	}
	for c.tokens > capacity && c.order.Len() > 0 {
		last := c.order.Back()
		if part, ok := c.order.Remove(last).(cachedPart); ok {
			delete(c.parts, part.chain)
			c.tokens -= part.tokens
		}
	}
}
