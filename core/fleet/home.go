package fleet

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

// PreferredEngine returns the usable engine that is preferred for the shared prefix of a prompt, by rendezvous
// hashing of the prefix and the endpoint IDs, or nil if the prompt has no parts. The choice is stable
// across schedulers: a new one starts without knowledge of the caches and still finds most of what the
// former one placed this way.
func (s *Service) PreferredEngine(now core.Millis, c PrefixChain) *Endpoint {
	prefix := c.sharedPrefix()
	if s.Engine == nil || prefix == "" {
		return nil
	}
	var best *Endpoint
	var bestHash uint64
	prefixHash := xxhash.Sum64String(prefix)
	for _, e := range s.endpoints {
		if !e.Usable(now) {
			continue
		}
		if h := mixHashes(prefixHash, e.idHash); best == nil || h > bestHash {
			best, bestHash = e, h
		}
	}
	return best
}

// mixHashes combines two hashes into one that depends on all bits of both.
func mixHashes(a, b uint64) uint64 {
	high, low := bits.Mul64(a|1, b|1)
	return high ^ low
}
