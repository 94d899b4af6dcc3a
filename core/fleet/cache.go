package fleet

import (
	"container/list"

	"cyclamenford/core/order"
)

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

// Chain names each part of a prompt with all before it, since a part is only of use after the same ones.
type Chain struct {
	names []string
	parts []order.Part
}

// NewChain returns the chain of a prompt's parts.
func NewChain(parts []order.Part) Chain {
	c := Chain{names: make([]string, len(parts)), parts: parts}
	name := ""
	for i, p := range parts {
		name += "/" + p.ID
		c.names[i] = name
	}
	return c
}

// Shared returns the tokens of all parts but the last.
func (c Chain) Shared() int {
	tokens := 0
	for _, p := range c.parts[:max(0, len(c.parts)-1)] {
		tokens += p.Tokens
	}
	return tokens
}

// home returns the chain's name up to the last part that other requests share: the last part of all is the request's own.
func (c Chain) home() string {
	if len(c.names) == 0 {
		return ""
	}
	return c.names[max(0, len(c.names)-2)]
}

// held returns how many tokens of the prompt need not be read: a part counts only if all parts before it are held too.
func (c *cache) held(chain Chain) int {
	tokens := 0
	for i, p := range chain.parts {
		if _, ok := c.parts[chain.names[i]]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add notes that the prompt has been read, and forgets what then exceeds the engine's memory.
func (c *cache) add(chain Chain, capacity int) {
	for i, p := range chain.parts {
		if e, ok := c.parts[chain.names[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[chain.names[i]] = c.order.PushFront(cachedPart{chain: chain.names[i], tokens: p.Tokens})
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
