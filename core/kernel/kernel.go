package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"cyclamenford/core"
)

// The errors that Register, Find and Start wrap.
var (
	ErrNotFound  = errors.New("no service is registered under this name")
	ErrDuplicate = errors.New("a service is already registered under this name")
	ErrCycle     = errors.New("dependency cycle between services")
	ErrType      = errors.New("service has an unexpected type")
)

type registration struct {
	service      core.Service
	dependencies []string
}

// Registry holds the services of one process with their dependencies.
type Registry struct {
	registrations     map[string]registration
	registrationOrder []string
	started           []string
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{registrations: map[string]registration{}}
}

// Register adds a service under a name. It is started after the services named in dependencies, which may be registered
// later.
func (k *Registry) Register(name string, s core.Service, dependencies ...string) error {
	if _, ok := k.registrations[name]; ok {
		return fmt.Errorf("register service %q: %w", name, ErrDuplicate)
	}
	k.registrations[name] = registration{service: s, dependencies: dependencies}
	k.registrationOrder = append(k.registrationOrder, name)
	return nil
}

// Find returns the service with the given name, which must have type T.
func Find[T any](k *Registry, name string) (T, error) {
	var zero T
	r, ok := k.registrations[name]
	if !ok {
		return zero, fmt.Errorf("find service %q: %w", name, ErrNotFound)
	}
	s, ok := r.service.(T)
	if !ok {
		return zero, fmt.Errorf("find service %q: %w: found %T, expected %T", name, ErrType, r.service, zero)
	}
	return s, nil
}

// Start starts every service after its dependencies. If one fails, it stops those that were started.
func (k *Registry) Start(ctx context.Context) error {
	order, err := k.startOrder()
	if err != nil {
		return fmt.Errorf("determine start order: %w", err)
	}
	for _, name := range order {
		if err := k.registrations[name].service.Start(ctx); err != nil {
			return errors.Join(fmt.Errorf("start service %q: %w", name, err), k.Stop(ctx))
		}
		k.started = append(k.started, name)
	}
	return nil
}

// Stop stops the started services in reverse order and joins their errors.
func (k *Registry) Stop(ctx context.Context) error {
	var errs []error
	for _, name := range slices.Backward(k.started) {
		if err := k.registrations[name].service.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop service %q: %w", name, err))
		}
	}
	k.started = nil
	return errors.Join(errs...)
}

// startOrder returns the names of all services, each after its dependencies.
func (k *Registry) startOrder() ([]string, error) {
	var order []string
	done := map[string]bool{}
	visiting := map[string]bool{}
	var visit func(name string) error
	visit = func(name string) error {
		if done[name] {
			return nil
		}
		if visiting[name] {
			return fmt.Errorf("%q: %w", name, ErrCycle)
		}
		r, ok := k.registrations[name]
		if !ok {
			return fmt.Errorf("%q: %w", name, ErrNotFound)
		}
		visiting[name] = true
		for _, dependency := range r.dependencies {
			if err := visit(dependency); err != nil {
				return fmt.Errorf("required by %q: %w", name, err)
			}
		}
		done[name] = true
		order = append(order, name)
		return nil
	}
	for _, name := range k.registrationOrder {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return order, nil
}
