package fleet

import (
	"container/list"

	"cyclamenford/core/order"
)

// promptCache estimates which prompt prefixes an engine holds in its cache. It evicts the least recently used parts
// first.
type promptCache struct {
	tokens int
	lru    *list.List
	parts  map[string]*list.Element
}

type cachedPart struct {
	prefix string
	tokens int
}

func newPromptCache() *promptCache {
	return &promptCache{lru: list.New(), parts: map[string]*list.Element{}}
}

// PrefixChain identifies each part of a prompt by the whole prefix that ends with it, since a cached part
// can be reused only after the same preceding parts.
type PrefixChain struct {
	prefixes []string
	parts    []order.Part
}

// NewPrefixChain returns the prefix chain of a prompt.
func NewPrefixChain(parts []order.Part) PrefixChain {
	c := PrefixChain{prefixes: make([]string, len(parts)), parts: parts}
	prefix := ""
	for i, p := range parts {
		prefix += "/" + p.ID
		c.prefixes[i] = prefix
	}
	return c
}

// tokensUpTo returns the number of tokens in the parts up to the given one.
func (c PrefixChain) tokensUpTo(last int) int {
	tokens := 0
	for _, p := range c.parts[:max(0, last+1)] {
		tokens += p.Tokens
	}
	return tokens
}

// SharedTokens returns the number of tokens in all parts except the last, which belongs to this request alone.
func (c PrefixChain) SharedTokens() int { return c.tokensUpTo(len(c.parts) - 2) }

// sharedPrefix returns the longest prefix that other requests may share. It omits the last part, which belongs to this
// request alone, unless that is the only one.
func (c PrefixChain) sharedPrefix() string {
	if len(c.prefixes) == 0 {
		return ""
	}
	return c.prefixes[max(0, len(c.prefixes)-2)]
}

// cachedTokens returns how many tokens of the prompt the engine need not read. A part counts only if all parts before
// it are cached too.
func (c *promptCache) cachedTokens(chain PrefixChain) int {
	tokens := 0
	for i, p := range chain.parts {
		if _, ok := c.parts[chain.prefixes[i]]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// insert records that the engine has read the prompt, and evicts parts until the rest fits the capacity. It returns the
// prefixes that were added and those that were evicted after that.
func (c *promptCache) insert(chain PrefixChain, capacity int) (added, evicted []string) {
	for i, p := range chain.parts {
		if e, ok := c.parts[chain.prefixes[i]]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[chain.prefixes[i]] = c.lru.PushFront(cachedPart{prefix: chain.prefixes[i], tokens: p.Tokens})
		c.tokens += p.Tokens
		added = append(added, chain.prefixes[i])
	}
	for c.tokens > capacity && c.lru.Len() > 0 {
		last := c.lru.Back()
		if part, ok := c.lru.Remove(last).(cachedPart); ok {
			delete(c.parts, part.prefix)
			c.tokens -= part.tokens
			evicted = append(evicted, part.prefix)
		}
	}
	return added, evicted
}
