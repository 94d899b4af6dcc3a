package conf

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

// Table answers the questions of one request quickly; it belongs to one configuration.
type Table struct {
	config   Config
	hosts    map[string][]Route
	keys     map[string]Organisation
	services map[string]Service
}

// NewTable returns the table of a checked configuration.
func NewTable(c Config) *Table {
	t := &Table{
		config: c, hosts: map[string][]Route{}, keys: map[string]Organisation{}, services: map[string]Service{},
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			t.keys[k] = o
		}
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// Config returns the configuration behind the table.
func (t *Table) Config() Config { return t.config }

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Route returns the route with the longest prefix of the path among those of the host.
func (t *Table) Route(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = t.hosts[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Organisation returns the owner of a key.
func (t *Table) Organisation(key string) (Organisation, bool) {
	o, ok := t.keys[key]
	return o, ok
}

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(r Route) bool {
	return !r.Open && len(t.config.Organisations) > 0
}

// Pick returns the service for one request; the same identifier always gets the same one.
func (r Route) Pick(id core.RequestID) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}
