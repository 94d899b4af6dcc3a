package conf

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

// Table is an index of one configuration for fast lookups by host, path, key and service name.
type Table struct {
	config            Config
	routesByHost      map[string][]Route
	organisationByKey map[string]Organisation
	serviceByName     map[string]Service
}

// NewTable builds the table of a configuration that has passed Check.
func NewTable(c Config) *Table {
	t := &Table{
		config: c, routesByHost: map[string][]Route{}, organisationByKey: map[string]Organisation{}, serviceByName: map[string]Service{},
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			t.organisationByKey[k] = o
		}
	}
	for _, s := range c.Services {
		t.serviceByName[s.Name] = s
	}
	return t
}

// Config returns the configuration that the table indexes.
func (t *Table) Config() Config { return t.config }

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.serviceByName[name]
	return s, ok
}

// Route returns the route of the host with the longest prefix that matches the path. If the host with its port has no
// routes, the host without it is used.
func (t *Table) Route(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.routesByHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = t.routesByHost[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Organisation returns the organisation that owns a key.
func (t *Table) Organisation(key string) (Organisation, bool) {
	o, ok := t.organisationByKey[key]
	return o, ok
}

// NeedsKey reports whether requests of the route must carry a key. No route needs one if no organisation is configured.
func (t *Table) NeedsKey(r Route) bool {
	return !r.AuthExempt && len(t.config.Organisations) > 0
}

// PickService selects a service by the weights of the route's split. The same request ID always gets the same service.
func (r Route) PickService(id core.RequestID) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
