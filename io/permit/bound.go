package permit

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/limit"
)

const (
	// BoundValidity is Validity for a permit of an endpoint with a bound, counted from the issue of the permit.
	BoundValidity = limit.BoundValidity
	// transferTime is the part of limit.SendTime that is left for the way of a request to its endpoint.
	transferTime = 50 * core.Millis(1)
	// BoundSendLimit is how long after the issue of such a permit its request may be written to the connection.
	BoundSendLimit = limit.BoundValidity + limit.SendTime - transferTime
)

// ValidityOf returns how long a permit is valid, for an endpoint with or without a bound.
func ValidityOf(bounded bool) core.Millis {
	if bounded {
		return BoundValidity
	}
	return Validity
}

// SetBound sets the bound of an incarnation, see limit.Issuer.
func (i *Issuer) SetBound(now core.Millis, l core.Life, x limit.Bound) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.checkLeadership()
	i.issuer.SetBound(now, l, x)
	i.deliver()
}

// RemoveBound removes the bound of an incarnation.
func (i *Issuer) RemoveBound(now core.Millis, l core.Life) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.issuer.RemoveBound(now, l)
	i.deliver()
}

// RemoveBounds removes all bounds, for a scheduler that begins anew.
func (i *Issuer) RemoveBounds() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.issuer.RemoveBounds(i.clock.Now())
	i.deliver()
}

// Bounded reports whether an incarnation has a bound.
func (i *Issuer) Bounded(l core.Life) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Bounded(l)
}

// TakeMany takes the permits for a call of this keeper that counts as several requests, or none.
func (i *Issuer) TakeMany(now core.Millis, l core.Life, n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.checkLeadership() && i.issuer.TakeMany(now, l, n)
}

// candidates returns the endpoints of an ask that may get a permit. If the host knows of a bound, these are the ones whose bound
// this issuer knows too: in the first moments of a term, it may know none. The caller holds mu.
func (i *Issuer) candidates(args TakeArgs) []core.Life {
	lives := append(slices.Clone(args.Others), args.Report.Life)
	if !args.Bounded {
		return lives
	}
	return slices.DeleteFunc(lives, func(l core.Life) bool { return !i.issuer.Bounded(l) })
}
