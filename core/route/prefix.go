package route

import (
	"slices"

	"cyclamenford/core"
)

// maxPrefixes bounds what is believed of one endpoint's cache.
const maxPrefixes = 4096

// cacheEvents applies numbered cache events; a gap voids all that was believed.
func (r *Router) cacheEvents(e *endpoint, events []core.CacheEvent) {
	for _, ev := range events {
		if ev.Seq <= e.cacheSeq {
			continue
		}
		if e.cacheSeq > 0 && ev.Seq != e.cacheSeq+1 {
			r.forgetPrefixes(e)
		}
		e.cacheSeq = ev.Seq
		if ev.Evicted {
			r.removePrefix(e, ev.Prefix)
		} else {
			r.addPrefix(e, ev.Prefix)
		}
	}
}

func (r *Router) addPrefix(e *endpoint, prefix uint64) {
	if _, known := e.prefixes[prefix]; known {
		return
	}
	if len(e.prefixes) >= maxPrefixes {
		r.forgetPrefixes(e)
	}
	if len(r.holders[prefix]) >= maxHolders {
		r.removePrefix(r.holders[prefix][0], prefix)
	}
	e.prefixes[prefix] = struct{}{}
	r.holders[prefix] = append(r.holders[prefix], e)
}

func (r *Router) removePrefix(e *endpoint, prefix uint64) {
	delete(e.prefixes, prefix)
	rest := slices.DeleteFunc(r.holders[prefix], func(h *endpoint) bool { return h == e })
	if len(rest) == 0 {
		delete(r.holders, prefix)
		return
	}
	r.holders[prefix] = rest
}

func (r *Router) forgetPrefixes(e *endpoint) {
	for prefix := range e.prefixes {
		r.removePrefix(e, prefix)
	}
}
