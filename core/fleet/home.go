package fleet

import (
	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

// Home returns the engine at which a prompt's shared parts are read first, by the highest hash of both names, or nil if an engine
// is believed to hold them. A scheduler that begins anew knows no cache, and finds most of what the former one placed this way.
func (s *Service) Home(now core.Millis, c Chain) *Endpoint {
	name := c.home()
	if s.Engine == nil || name == "" {
		return nil
	}
	var best *Endpoint
	var most uint64
	for _, e := range s.endpoints {
		if !e.Usable(now) {
			continue
		}
		if _, ok := e.cache.parts[name]; ok {
			return nil
		}
		if h := xxhash.Sum64String(name + "@" + string(e.ID)); best == nil || h > most {
			best, most = e, h
		}
	}
	return best
}
