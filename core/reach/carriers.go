package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/state"
)

const (
	// CarrierHeadStart is how long a carrier may take before the next one is asked as well.
	CarrierHeadStart = 80 * core.Millis(1)
	// carrierBackoff is how long a carrier that refused, failed or was slow is asked after all others.
	carrierBackoff = core.Second
	// provenTime is how long a carrier that has connected is asked before all others.
	provenTime = 10 * core.Second
)

// Carriers orders the hosts that may carry a host's connections.
type Carriers struct {
	self   core.HostID
	domain core.FailureDomain
	rng    *rand.Rand
	// backoffs and proven hold, by peer address, until when carriers are asked last or first.
	backoffs, proven map[string]core.Millis
}

// NewCarriers returns the order of carriers for a host of a failure domain.
func NewCarriers(self core.HostID, domain core.FailureDomain, rng *rand.Rand) *Carriers {
	return &Carriers{self: self, domain: domain, rng: rng, backoffs: map[string]core.Millis{}, proven: map[string]core.Millis{}}
}

// RecordSuccess records that a carrier has connected to an endpoint.
func (c *Carriers) RecordSuccess(now core.Millis, address string) {
	delete(c.backoffs, address)
	setUntil(c.proven, now, address, provenTime)
}

// RecordFailure records that a carrier refused, failed or was slow, or did not reach an endpoint that another one reached.
func (c *Carriers) RecordFailure(now core.Millis, address string) {
	delete(c.proven, address)
	setUntil(c.backoffs, now, address, carrierBackoff)
}

// setUntil sets the end of an address's time and removes those that have passed.
func setUntil(times map[string]core.Millis, now core.Millis, address string, length core.Millis) {
	for a, until := range times {
		if now >= until {
			delete(times, a)
		}
	}
	times[address] = now + length
}

type candidate struct {
	address string
	domain  core.FailureDomain
	// last means that the carrier is asked after all others, and rank orders the rest.
	last bool
	rank int
	draw uint64
}

// Order returns the peer addresses of at most limit carriers in the order in which to ask them. Each of the first ones is of another failure
// domain, as far as there are any, since a whole domain may have no links. Carriers that have connected lately come first and those that have
// failed lately last; in between, hosts without a keeper come first, since a keeper may lead, and then those of the own domain.
func (c *Carriers) Order(now core.Millis, hosts map[core.HostID]state.Host, limit int) []string {
	var list []candidate
	for id, h := range hosts {
		if id == c.self || h.Expired {
			continue
		}
		rank := 0
		if h.FailureDomain != c.domain {
			rank++
		}
		if now >= c.proven[h.PeerAddress] {
			rank += 2
		}
		if h.Keeper != "" {
			rank += 4
		}
		list = append(list, candidate{address: h.PeerAddress, domain: h.FailureDomain, last: now < c.backoffs[h.PeerAddress], rank: rank})
	}
	// The draws follow the addresses, so that they do not depend on the order of the map.
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.address, b.address) })
	for i := range list {
		list[i].draw = c.rng.Uint64()
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.draw, b.draw)) })
	var addresses []string
	for _, x := range spread(list) {
		addresses = append(addresses, x.address)
	}
	return addresses[:min(limit, len(addresses))]
}

// spread moves the first carrier of each failure domain to the front, and those that are asked last to the end.
func spread(list []candidate) []candidate {
	seen := map[core.FailureDomain]bool{}
	var first, others, last []candidate
	for _, x := range list {
		switch {
		case x.last:
			last = append(last, x)
		case !seen[x.domain]:
			seen[x.domain] = true
			first = append(first, x)
		default:
			others = append(others, x)
		}
	}
	return slices.Concat(first, others, last)
}
