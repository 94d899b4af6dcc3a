package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"cyclamenford/core"
)

// The errors that a lookup or a start can wrap.
var (
	ErrMissing   = errors.New("no service has this name")
	ErrDuplicate = errors.New("a service with this name is registered already")
	ErrCycle     = errors.New("services depend on each other in a cycle")
	ErrType      = errors.New("the service has another type")
)

type entry struct {
	service core.Service
	needs   []string
}

// Kernel holds the services of one process.
type Kernel struct {
	entries map[string]entry
	names   []string
	started []string
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{entries: map[string]entry{}}
}

// Register adds a service under a name, to be started after the services that it needs.
func (k *Kernel) Register(name string, s core.Service, needs ...string) error {
	if _, ok := k.entries[name]; ok {
		return fmt.Errorf("register %q: %w", name, ErrDuplicate)
	}
	k.entries[name] = entry{service: s, needs: needs}
	k.names = append(k.names, name)
	return nil
}

// Find returns the service with the given name as the wanted type.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	e, ok := k.entries[name]
	if !ok {
		return zero, fmt.Errorf("find %q: %w", name, ErrMissing)
	}
	s, ok := e.service.(T)
	if !ok {
		return zero, fmt.Errorf("find %q: %w: found %T, expected %T", name, ErrType, e.service, zero)
	}
	return s, nil
}

// Start starts every service, dependencies first; on an error it stops what it had started.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return fmt.Errorf("start order: %w", err)
	}
	for _, name := range order {
		if err := k.entries[name].service.Start(ctx); err != nil {
			return errors.Join(fmt.Errorf("start %q: %w", name, err), k.Stop(ctx))
		}
		k.started = append(k.started, name)
	}
	return nil
}

// Stop stops the started services in reverse order and joins their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for _, name := range slices.Backward(k.started) {
		if err := k.entries[name].service.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %q: %w", name, err))
		}
	}
	k.started = nil
	return errors.Join(errs...)
}

func (k *Kernel) order() ([]string, error) {
	var order []string
	done := map[string]bool{}
	open := map[string]bool{}
	var visit func(name string) error
	visit = func(name string) error {
		if done[name] {
			return nil
		}
		if open[name] {
			return fmt.Errorf("%q: %w", name, ErrCycle)
		}
		e, ok := k.entries[name]
		if !ok {
			return fmt.Errorf("%q: %w", name, ErrMissing)
		}
		open[name] = true
		for _, need := range e.needs {
			if err := visit(need); err != nil {
				return fmt.Errorf("needed by %q: %w", name, err)
			}
		}
		done[name] = true
		order = append(order, name)
		return nil
	}
	for _, name := range k.names {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return order, nil
}
