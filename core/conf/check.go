package conf

import (
	"errors"
	"fmt"
	"strings"

	"cyclamenford/core"
)

// Check returns every fault of the configuration, each with its path, the found and the expected value.
func (c Config) Check() error {
	var errs []error
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	places := map[string]string{}
	for _, r := range c.Routes {
		errs = append(errs, r.check(services)...)
		place := strings.ToLower(r.Host) + r.Prefix
		if other, ok := places[place]; ok {
			errs = append(errs, core.NewFieldError("route "+r.Name, place, "a place that "+other+" does not have"))
		}
		places[place] = r.Name
	}
	owners := map[string]core.OrganisationID{}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			if other, ok := owners[k]; ok && other != o.Name {
				errs = append(errs, core.NewFieldError("organisation "+string(o.Name), "a key of "+string(other), "keys of its own"))
			}
			owners[k] = o.Name
		}
	}
	return errors.Join(errs...)
}

func (r Route) check(services map[string]bool) []error {
	var errs []error
	fault := func(field string, found, expected any) {
		errs = append(errs, core.NewFieldError(fmt.Sprintf("route %s %s", r.Name, field), found, expected))
	}
	weight := 0
	for _, s := range r.Split {
		weight += s.Weight
		if !services[s.Service] {
			fault("service", s.Service, "a service of the configuration")
		}
		if s.Weight < 0 {
			fault("weight", s.Weight, "0 or more")
		}
	}
	if weight <= 0 {
		fault("weights", weight, "a sum above 0")
	}
	if r.Timeout <= 0 {
		fault("timeout", r.Timeout, "more than 0 ms")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fault("prefix", r.Prefix, "a path that begins and ends with a slash")
	}
	for i, s := range r.Stages {
		if !services[s.Service] {
			fault("stage service", s.Service, "a service of the configuration")
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				fault("stage after", a, fmt.Sprintf("a stage before %d", i))
			}
		}
	}
	return errs
}
