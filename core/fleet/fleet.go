package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/order"
)

// Fleet is the services of a configuration and the endpoints that have announced themselves.
type Fleet struct {
	services  map[string]*Service
	endpoints map[core.EndpointID]*Endpoint
}

// New returns a fleet without services and endpoints.
func New() *Fleet {
	return &Fleet{services: map[string]*Service{}, endpoints: map[core.EndpointID]*Endpoint{}}
}

// Configure puts a service's configuration in force and returns the service.
func (f *Fleet) Configure(c conf.Service) *Service {
	s, ok := f.services[c.Name]
	if !ok {
		s = &Service{first: estimate{value: firstByteGuess}}
		f.services[c.Name] = s
	}
	s.Service = c
	for _, e := range f.endpoints {
		f.attach(e)
	}
	return s
}

// Join makes an endpoint known or updates it; a leaving endpoint gets nothing new.
func (f *Fleet) Join(now core.Millis, e order.Endpoint, leaving bool) {
	known, ok := f.endpoints[e.ID]
	if ok && known.Incarnation != e.Incarnation {
		f.Part(e.ID)
		ok = false
	}
	if !ok {
		known = &Endpoint{cache: newCache(), speed: estimate{value: 1}, hash: xxhash.Sum64String(string(e.ID))}
		f.endpoints[e.ID] = known
	}
	known.Endpoint = e
	known.leaving = leaving
	known.coldTill = now + e.Cold
	f.attach(known)
}

// Endpoint returns an endpoint in a given life, if that is the last that was announced.
func (f *Fleet) Endpoint(id core.EndpointID, life core.Incarnation) (*Endpoint, bool) {
	e, ok := f.endpoints[id]
	return e, ok && e.Incarnation == life && e.service != nil && e.service.Pieces != nil
}

// Part forgets an endpoint that has ended.
func (f *Fleet) Part(id core.EndpointID) {
	e, ok := f.endpoints[id]
	if !ok {
		return
	}
	delete(f.endpoints, id)
	e.leaving = true
	e.detach()
}

// attach puts an endpoint into the list of its service.
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
	at, _ := slices.BinarySearchFunc(s.endpoints, e, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	s.endpoints = slices.Insert(s.endpoints, at, e)
}

func (e *Endpoint) detach() {
	if e.service != nil {
		e.service.endpoints = slices.DeleteFunc(e.service.endpoints, func(x *Endpoint) bool { return x == e })
	}
}
