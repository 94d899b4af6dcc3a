package carry

import (
	"errors"
	"fmt"
	"sync"

	"cyclamenford/core/reach"
)

// evidence joins the results of the two ways to one address.
type evidence struct {
	mu sync.Mutex
	// directFailed and carriedConnected together prove that only a carrier reaches the address.
	directFailed, carriedConnected bool
	// refused holds the ways on which the machine of the endpoint has refused.
	refused map[reach.Way]bool
}

// add adds a result, and reports whether only a carrier reaches the address.
func (e *evidence) add(a attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.way == reach.Direct {
		e.directFailed = a.err != nil
	} else {
		e.carriedConnected = a.err == nil
	}
	if a.refused {
		e.refused[a.way] = true
	}
	return e.directFailed && e.carriedConnected
}

// failure returns the error after both ways have failed. A partition may refuse connections as well, so that one refusal proves nothing.
func (e *evidence) failure(address string, errs []error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.refused) == 2 {
		return fmt.Errorf("dial %s: %w", address, errors.Join(errs...))
	}
	if len(errs) == 0 {
		return fmt.Errorf("dial %s: %w", address, errNoWay)
	}
	return fmt.Errorf("dial %s: %w: %s", address, errNoWay, errors.Join(errs...).Error())
}
