package limit

import "cyclamenford/core"

const (
	// BoundValidity is how long after its issue a permit for a bounded endpoint may be used. SendTime is how long after
	// that the request may still be on its way to the endpoint: connecting, writing and the transfer.
	BoundValidity = 300 * core.Millis(1)
	SendTime      = 200 * core.Millis(1)
	// BoundFactor and BoundSlack are the rule that a bound keeps: in any second, an endpoint that bears a rate when it is
	// cold gets at most BoundFactor times that rate plus BoundSlack requests.
	BoundFactor = 1.5
	BoundSlack  = 5.0
	// coldSaved is what the bucket of an endpoint that is known to be cold can save up: one permit, so that requests follow
	// each other at the bound's rate.
	coldSaved = 1.0
	// removedRetryAfter is the retry time of asks whose endpoint is known no more.
	removedRetryAfter = 100 * core.Millis(1)
)

// Bound is a request rate that the system sets for an endpoint, whatever the endpoint names itself. The zero value is no
// bound.
type Bound struct {
	// PerSecond is the number of permits that become free in a second, and Saved how many a bucket can hold.
	PerSecond, Saved float64
}

// ColdBound returns the bound for an endpoint that is known or assumed to be cold and bears a rate in requests per second
// then.
func ColdBound(perSecond float64) Bound { return Bound{PerSecond: perSecond, Saved: coldSaved} }

// WarmBound returns the bound for an endpoint that is not known to be cold, but may have become cold at this moment.
//
// Requests that reach an endpoint within a second were permitted within that second, BoundValidity and SendTime. A bucket
// issues at most Saved permits and PerSecond times that span in it, which is the rule.
func WarmBound(perSecond float64) Bound {
	span := (core.Second + BoundValidity + SendTime).Duration().Seconds()
	return Bound{PerSecond: perSecond, Saved: BoundSlack + (BoundFactor-span)*perSecond}
}

// SetBound sets the bound of an incarnation. The bucket of an incarnation without one begins empty; a bucket never holds
// more than its bound allows to save.
func (i *Issuer) SetBound(now core.Millis, l core.Life, x Bound) {
	b, ok := i.buckets[l]
	if !ok {
		b = &bucket{filledAt: now, usedAt: now}
		i.buckets[l] = b
	}
	if b.bound == x {
		return
	}
	if b.bound == (Bound{}) {
		i.version++
	}
	b.fill(now)
	b.bound = x
	b.permits = min(b.permits, b.most())
	i.serve(now, b)
}

// RemoveBound removes the bound of an incarnation, such as one that is known no more. Asks that waited for it alone are
// refused, since the endpoint may run nevertheless.
func (i *Issuer) RemoveBound(now core.Millis, l core.Life) {
	b, ok := i.buckets[l]
	if !ok || b.bound == (Bound{}) {
		return
	}
	i.version++
	b.fill(now)
	b.bound = Bound{}
	if b.named == 0 {
		for _, a := range b.queue {
			i.answers = append(i.answers, Answer{Number: a.Number, Limited: true, RetryAfter: removedRetryAfter})
		}
		delete(i.buckets, l)
		return
	}
	i.serve(now, b)
}

// RemoveBounds removes all bounds.
func (i *Issuer) RemoveBounds(now core.Millis) {
	for _, l := range sortedLives(i.buckets) {
		i.RemoveBound(now, l)
	}
}

// Bounded reports whether an incarnation has a bound.
func (i *Issuer) Bounded(l core.Life) bool {
	b, ok := i.buckets[l]
	return ok && b.bound != (Bound{})
}

// TakeMany takes several permits at once, for a call that counts as several requests. It takes none and reports false if
// fewer are free.
func (i *Issuer) TakeMany(now core.Millis, l core.Life, n int) bool {
	b, ok := i.buckets[l]
	if !ok {
		return true
	}
	b.fill(now)
	if len(b.queue) > 0 || b.permits < float64(n)-1+almostOne {
		return false
	}
	for range n {
		b.take(now)
	}
	return true
}

// lift deletes a bucket that limits nothing any more and permits the asks that wait in it.
func (i *Issuer) lift(l core.Life, b *bucket) {
	for _, a := range b.queue {
		i.answers = append(i.answers, Answer{Number: a.Number, Permitted: true})
	}
	delete(i.buckets, l)
}

// rate returns the number of permits per millisecond that become free: the lower one of the named limit and the bound.
func (b *bucket) rate() float64 {
	bound := b.bound.PerSecond / float64(core.Second)
	switch {
	case b.bound == (Bound{}):
		return b.named
	case b.named == 0:
		return bound
	}
	return min(b.named, bound)
}

// most returns how many permits the bucket can hold.
func (b *bucket) most() float64 {
	most := savedPermits + b.rate()*float64(savedTime)
	if b.bound != (Bound{}) {
		if b.named == 0 {
			return b.bound.Saved
		}
		return min(most, b.bound.Saved)
	}
	return most
}
