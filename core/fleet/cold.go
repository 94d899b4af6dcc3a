package fleet

import (
	"math"

	"cyclamenford/core"
	"cyclamenford/core/limit"
)

// ColdReason is why an endpoint counts as cold although it has not said so.
type ColdReason string

// The reasons, and the one for which an endpoint counts as cold no more.
const (
	DomainReturned      ColdReason = "DomainReturned"
	ConnectionFailed    ColdReason = "ConnectionFailed"
	AnnouncementMissing ColdReason = "AnnouncementMissing"
	TakenOver           ColdReason = "TakenOver"
	Announced           ColdReason = "Announced"
)

// coldState is what an endpoint's announcements and failures say about whether it has just started.
type coldState struct {
	announcedAt core.Millis
	// assumed means that the endpoint counts as cold until an announcement says otherwise, or until assumedUntil if that is
	// set.
	assumed      bool
	assumedUntil core.Millis
	// bounded means that the issuer of permits was given a bound.
	bounded bool
}

// announced records an announcement, which says that the endpoint is cold for so long.
func (c *coldState) announced(now, cold core.Millis) {
	c.announcedAt = now
	if cold <= 0 {
		c.assumed = false
	}
}

// HasColdBound reports whether the endpoint's service bounds the requests to cold endpoints.
func (e *Endpoint) HasColdBound() bool {
	return e.service != nil && e.service.ColdTime > 0 && e.service.ColdPerSecond > 0
}

// IsCold reports whether the endpoint is known or assumed to be cold.
func (e *Endpoint) IsCold(now core.Millis) bool {
	return now < e.coldUntil || e.cold.assumed && (e.cold.assumedUntil == 0 || now < e.cold.assumedUntil)
}

// AssumeCold makes the endpoint count as cold until an announcement that is received later says otherwise or, if until is
// set, until then. It reports false if that changes nothing.
func (e *Endpoint) AssumeCold(until core.Millis) bool {
	if !e.HasColdBound() || e.cold.assumed && (e.cold.assumedUntil == 0 || until > 0 && until <= e.cold.assumedUntil) {
		return false
	}
	e.cold.assumed, e.cold.assumedUntil = true, until
	return true
}

// AnnouncementAge returns the time since the last announcement was received.
func (e *Endpoint) AnnouncementAge(now core.Millis) core.Millis { return now - e.cold.announcedAt }

// ColdBound returns the bound of the requests to the endpoint, or false if its service has none.
func (e *Endpoint) ColdBound(now core.Millis) (limit.Bound, bool) {
	switch {
	case !e.HasColdBound():
		return limit.Bound{}, false
	case e.IsCold(now):
		return limit.ColdBound(e.service.ColdPerSecond), true
	}
	return limit.WarmBound(e.service.ColdPerSecond), true
}

// SetBounded records whether the issuer of permits has a bound for the endpoint, and reports whether it had one.
func (e *Endpoint) SetBounded(bounded bool) (was bool) {
	was, e.cold.bounded = e.cold.bounded, bounded
	return was
}

// Bounded reports whether the issuer of permits has a bound for the endpoint.
func (e *Endpoint) Bounded() bool { return e.cold.bounded }

// Known returns the endpoint of any service that was announced under an ID.
func (f *Fleet) Known(id core.EndpointID) (*Endpoint, bool) {
	e, ok := f.endpoints[id]
	return e, ok
}

// permittedPieces returns how many pieces per millisecond the endpoint's permits allow. A permit of a limit that the
// endpoint names is for a call, and one of a bound for a piece.
func (e *Endpoint) permittedPieces() float64 {
	perMilli := e.limit / float64(core.Second)
	switch {
	case !e.limited:
		return math.Inf(1)
	case e.Bounded():
		return perMilli
	}
	return perMilli * float64(max(1, e.service.Pieces.Batch))
}
