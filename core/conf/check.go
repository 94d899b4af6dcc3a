package conf

import (
	"errors"
	"fmt"
	"strings"

	"cyclamenford/core"
)

// Check returns all errors of the configuration joined into one. Each names the path, the value found and the value
// expected.
func (c Config) Check() error {
	var errs []error
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
		errs = append(errs, s.check()...)
	}
	routeAt := map[string]string{}
	for _, r := range c.Routes {
		errs = append(errs, r.check(services)...)
		location := strings.ToLower(r.Host) + r.Prefix
		if other, ok := routeAt[location]; ok {
			errs = append(errs, core.NewFieldError("route "+r.Name, location, "a place that "+other+" does not have"))
		}
		routeAt[location] = r.Name
	}
	keyOwners := map[string]core.OrganisationID{}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			if other, ok := keyOwners[k]; ok && other != o.Name {
				errs = append(errs, core.NewFieldError("organisation "+string(o.Name), "a key of "+string(other), "keys of its own"))
			}
			keyOwners[k] = o.Name
		}
	}
	return errors.Join(errs...)
}

// maxColdTime and maxColdPerSecond bound what a service may say of its cold endpoints. Values above them are mistakes.
const (
	maxColdTime      = 24 * 60 * 60 * core.Second
	maxColdPerSecond = 1e6
)

func (s Service) check() []error {
	var errs []error
	if s.ColdTime < 0 || s.ColdTime > maxColdTime {
		errs = append(errs, core.NewFieldError("service "+s.Name+" cold time", s.ColdTime, fmt.Sprint("0 to ", maxColdTime, " ms")))
	}
	// NaN fails both comparisons.
	if !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= maxColdPerSecond) {
		errs = append(errs, core.NewFieldError("service "+s.Name+" cold rate", s.ColdPerSecond, fmt.Sprint("0 to ", maxColdPerSecond)))
	}
	return errs
}

func (r Route) check(services map[string]bool) []error {
	var errs []error
	addError := func(field string, found, expected any) {
		errs = append(errs, core.NewFieldError(fmt.Sprintf("route %s %s", r.Name, field), found, expected))
	}
	weight := 0
	for _, s := range r.Split {
		weight += s.Weight
		if !services[s.Service] {
			addError("service", s.Service, "a service of the configuration")
		}
		if s.Weight < 0 {
			addError("weight", s.Weight, "0 or more")
		}
	}
	if weight <= 0 {
		addError("weights", weight, "a sum above 0")
	}
	if r.Timeout <= 0 {
		addError("timeout", r.Timeout, "more than 0 ms")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		addError("prefix", r.Prefix, "a path that begins and ends with a slash")
	}
	for i, s := range r.Stages {
		if !services[s.Service] {
			addError("stage service", s.Service, "a service of the configuration")
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				addError("stage after", a, fmt.Sprintf("a stage before %d", i))
			}
		}
	}
	return errs
}
