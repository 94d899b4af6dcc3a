package desk

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/claim"
	"cyclamenford/core/quota"
)

// fullEvery is the number of messages of which one tells everything; the others tell what has changed much.
const fullEvery = 5

// Shared is what one host tells the others of its work.
type Shared struct {
	Host        core.HostID
	Incarnation core.Incarnation
	// Full tells that the offers replace all earlier ones; otherwise they are those that have changed much.
	Full   bool
	Offers []PoolOffers
	Usage  []quota.Usage
}

// PoolOffers is what callers ask of one host for one pool.
type PoolOffers struct {
	Pool   core.PoolID
	Offers []claim.Offer
}

type remoteHost struct {
	incarnation core.Incarnation
	heard       core.Millis
	offers      map[core.PoolID][]claim.Offer
}

// exchange holds what the others were told and what was heard from each of them.
type exchange struct {
	// told holds the offers that the others know of, and messages the number of messages so far.
	told     map[core.PoolID][]claim.Offer
	messages int
	remotes  map[core.HostID]*remoteHost
}

func newExchange() exchange {
	return exchange{told: map[core.PoolID][]claim.Offer{}, remotes: map[core.HostID]*remoteHost{}}
}

// Share returns what this host tells the others.
func (d *Desk) Share(now core.Millis, host core.HostID, incarnation core.Incarnation) Shared {
	x := &d.exchange
	s := Shared{Host: host, Incarnation: incarnation, Usage: d.limiter.Usage(now), Full: x.messages%fullEvery == 0}
	x.messages++
	for _, id := range d.order {
		present := d.pools[id].Offers(now)
		tell := present
		if !s.Full {
			tell = claim.Changed(x.told[id], present)
		}
		if len(tell) > 0 {
			s.Offers = append(s.Offers, PoolOffers{Pool: id, Offers: tell})
		}
		if s.Full {
			x.told[id] = present
		} else {
			x.told[id] = claim.Merge(x.told[id], tell)
		}
	}
	return s
}

// TakeShared takes in what another host tells of its work.
func (d *Desk) TakeShared(now core.Millis, s Shared) {
	d.limiter.Remote(now, s.Host, s.Usage)
	r, ok := d.exchange.remotes[s.Host]
	if !ok || r.incarnation != s.Incarnation || s.Full {
		r = &remoteHost{incarnation: s.Incarnation, offers: map[core.PoolID][]claim.Offer{}}
		d.exchange.remotes[s.Host] = r
	}
	r.heard = now
	for _, o := range s.Offers {
		r.offers[o.Pool] = claim.Merge(r.offers[o.Pool], o.Offers)
	}
	d.sumOffers(now)
}

// sumOffers adds up the other hosts' offers in the order of their names.
func (d *Desk) sumOffers(now core.Millis) {
	sums := map[core.PoolID][]claim.Offer{}
	for _, host := range slices.Sorted(maps.Keys(d.exchange.remotes)) {
		r := d.exchange.remotes[host]
		if now-r.heard > quota.RemoteTTL {
			delete(d.exchange.remotes, host)
			continue
		}
		for id, offers := range r.offers {
			sums[id] = append(sums[id], offers...)
		}
	}
	for _, id := range d.order {
		d.pools[id].SetOthers(claim.Sum(sums[id]), len(d.exchange.remotes)+1)
	}
}
