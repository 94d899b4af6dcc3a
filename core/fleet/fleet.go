package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/order"
	"cyclamenford/core/speed"
)

// Fleet holds the configured services and the announced endpoints.
type Fleet struct {
	services  map[string]*Service
	endpoints map[core.EndpointID]*Endpoint
	evacuated map[core.FailureDomain]bool
}

// New returns a Fleet without services and endpoints.
func New() *Fleet {
	return &Fleet{services: map[string]*Service{}, endpoints: map[core.EndpointID]*Endpoint{}}
}

// Configure adds a service or replaces its configuration, attaches its endpoints and returns the service.
func (f *Fleet) Configure(c conf.Service) *Service {
	s, ok := f.services[c.Name]
	if !ok {
		s = &Service{speed: speed.NewService(), firstByte: estimate{value: initialFirstByte}, holders: holders{}}
		f.services[c.Name] = s
	}
	s.Service = c
	for _, e := range f.endpoints {
		f.attach(e)
	}
	return s
}

// Upsert adds or updates an endpoint. An endpoint that is leaving gets no new work. A new incarnation replaces the former
// one.
func (f *Fleet) Upsert(now core.Millis, e order.Endpoint, leaving bool) {
	existing, ok := f.endpoints[e.ID]
	known := ok && existing.Incarnation == e.Incarnation
	if ok && existing.Incarnation != e.Incarnation {
		f.Remove(e.ID)
		ok = false
	}
	if !ok {
		existing = &Endpoint{cache: newPromptCache(), slowdown: estimate{value: 1}, idHash: xxhash.Sum64String(string(e.ID))}
		f.endpoints[e.ID] = existing
	}
	existing.Endpoint = e
	existing.leaving = leaving
	existing.evacuated = f.evacuated[e.FailureDomain]
	existing.coldUntil = now + e.Cold
	existing.cold.announced(now, e.Cold)
	f.attach(existing)
	if !known {
		existing.seen(now)
	}
}

// SetEvacuated replaces the set of evacuated failure domains, whose endpoints get no new work.
func (f *Fleet) SetEvacuated(domains map[core.FailureDomain]bool) {
	f.evacuated = domains
	for _, e := range f.endpoints {
		e.evacuated = domains[e.FailureDomain]
	}
	for _, s := range f.services {
		// The fastest usable endpoint may have changed within this millisecond.
		s.cachedLeastSlowdown = 0
	}
}

// Endpoint returns the endpoint of a stage's service by ID. It reports false if a different incarnation was announced
// last.
func (f *Fleet) Endpoint(id core.EndpointID, life core.Incarnation) (*Endpoint, bool) {
	e, ok := f.endpoints[id]
	return e, ok && e.Incarnation == life && e.service != nil && e.service.Pieces != nil
}

// Remove removes an endpoint that has ended.
func (f *Fleet) Remove(id core.EndpointID) {
	e, ok := f.endpoints[id]
	if !ok {
		return
	}
	delete(f.endpoints, id)
	e.leaving = true
	e.detach()
}

// attach moves an endpoint to the endpoint list of its service, which is sorted by ID.
func (f *Fleet) attach(e *Endpoint) {
	s := f.services[e.Endpoint.Service]
	if e.service == s {
		return
	}
	e.detach()
	e.service = s
	if s == nil {
		return
	}
	index, _ := slices.BinarySearchFunc(s.endpoints, e, compareIDs)
	s.endpoints = slices.Insert(s.endpoints, index, e)
	for prefix := range e.cache.parts {
		s.holders.add(prefix, e)
	}
}

func (e *Endpoint) detach() {
	if e.service == nil {
		return
	}
	e.service.endpoints = slices.DeleteFunc(e.service.endpoints, func(x *Endpoint) bool { return x == e })
	for prefix := range e.cache.parts {
		e.service.holders.remove(prefix, e)
	}
}
