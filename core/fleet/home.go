package fleet

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

// Home returns the engine at which a prompt's shared parts are read first, by the highest hash of both names, or nil if it shares
// none. A scheduler that begins anew knows no cache, and finds most of what the former one placed this way.
func (s *Service) Home(now core.Millis, c Chain) *Endpoint {
	name := c.home()
	if s.Engine == nil || name == "" {
		return nil
	}
	var best *Endpoint
	var most uint64
	of := xxhash.Sum64String(name)
	for _, e := range s.endpoints {
		if !e.Usable(now) {
			continue
		}
		if h := mix(of, e.hash); best == nil || h > most {
			best, most = e, h
		}
	}
	return best
}

// mix combines two hashes into one that depends on all bits of both.
func mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a|1, b|1)
	return high ^ low
}
