package fleet

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

// holders holds, for each prompt prefix, the engines of a service that are estimated to have cached it, sorted by ID. It
// finds the few engines that know a prompt without a look at all of them.
type holders map[string][]*Endpoint

func (h holders) add(prefix string, e *Endpoint) {
	list := h[prefix]
	if index, held := slices.BinarySearchFunc(list, e, compareIDs); !held {
		h[prefix] = slices.Insert(list, index, e)
	}
}

func (h holders) remove(prefix string, e *Endpoint) {
	list := h[prefix]
	index, held := slices.BinarySearchFunc(list, e, compareIDs)
	switch {
	case !held:
	case len(list) == 1:
		delete(h, prefix)
	default:
		h[prefix] = slices.Delete(list, index, index+1)
	}
}

func compareIDs(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// MostCached returns the usable engine that has cached most of a prompt, the first by ID of several, or nil if none has cached
// any.
func (s *Service) MostCached(now core.Millis, c PrefixChain) *Endpoint {
	for i := len(c.prefixes) - 1; i >= 0; i-- {
		tokens := c.tokensUpTo(i)
		for _, e := range s.holders[c.prefixes[i]] {
			// An engine may have evicted a part before this one.
			if tokens > 0 && e.Usable(now) && e.CachedTokens(c) >= tokens {
				return e
			}
		}
	}
	return nil
}
