package route

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
)

// maxPrefixes limits the prefixes that are tracked for one endpoint.
const maxPrefixes = 4096

// applyCacheEvents applies an endpoint's cache events in the order of their numbers.
//
// A gap in the numbers may hide as many evictions, so it drops as many of the least recently used prefixes. That isn't
// needed if the endpoint announces its cache size, which limits the tracked prefixes anyway.
func (r *Router) applyCacheEvents(e *endpoint, events []core.CacheEvent) {
	for _, ev := range events {
		if ev.Seq <= e.cacheSeq {
			continue
		}
		if e.cacheSeq > 0 && e.announcement.CacheEntries == 0 {
			r.dropOldestPrefixes(e, ev.Seq-e.cacheSeq-1)
		}
		e.cacheSeq = ev.Seq
		if ev.Evicted {
			r.removePrefix(e, ev.Prefix)
		} else {
			r.addPrefix(e, ev.Prefix)
		}
	}
}

// addPrefix records that an endpoint caches a prefix and has just used it. It drops the endpoint's least recently used
// prefix if there are too many, and the first recorded holder of the prefix if it has too many holders.
func (r *Router) addPrefix(e *endpoint, prefix uint64) {
	e.useCounter++
	_, known := e.prefixLastUse[prefix]
	e.prefixLastUse[prefix] = e.useCounter
	if known {
		return
	}
	if len(e.prefixLastUse) > e.prefixCapacity() {
		r.dropOldestPrefixes(e, 1)
	}
	if len(r.prefixHolders[prefix]) >= maxHoldersPerPrefix {
		r.removePrefix(r.prefixHolders[prefix][0], prefix)
	}
	r.prefixHolders[prefix] = append(r.prefixHolders[prefix], e)
}

// prefixCapacity returns how many prefixes to track for the endpoint: its cache size if it announces one, up to
// maxPrefixes.
func (e *endpoint) prefixCapacity() int {
	if n := e.announcement.CacheEntries; n > 0 {
		return min(n, maxPrefixes)
	}
	return maxPrefixes
}

func (r *Router) removePrefix(e *endpoint, prefix uint64) {
	delete(e.prefixLastUse, prefix)
	rest := slices.DeleteFunc(r.prefixHolders[prefix], func(h *endpoint) bool { return h == e })
	if len(rest) == 0 {
		delete(r.prefixHolders, prefix)
		return
	}
	r.prefixHolders[prefix] = rest
}

// dropOldestPrefixes drops the n least recently used prefixes of the endpoint.
func (r *Router) dropOldestPrefixes(e *endpoint, n uint64) {
	if n == 0 {
		return
	}
	if n >= uint64(len(e.prefixLastUse)) {
		r.dropAllPrefixes(e)
		return
	}
	oldest := slices.SortedFunc(maps.Keys(e.prefixLastUse), func(a, b uint64) int { return cmp.Compare(e.prefixLastUse[a], e.prefixLastUse[b]) })
	for _, prefix := range oldest[:n] {
		r.removePrefix(e, prefix)
	}
}

func (r *Router) dropAllPrefixes(e *endpoint) {
	for _, prefix := range slices.Sorted(maps.Keys(e.prefixLastUse)) {
		r.removePrefix(e, prefix)
	}
}
