package desk

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/claim"
	"cyclamenford/core/quota"
)

// Served is the cost that one host has served for an organisation since it started, in milliseconds.
type Served struct {
	Pool         core.PoolID
	Priority     core.Priority
	Organisation core.OrganisationID
	Weight       float64
	Cost         float64
}

// Shared is what one host tells the others of its work.
type Shared struct {
	Host        core.HostID
	Incarnation core.Incarnation
	// Full tells that the offers replace all earlier ones; otherwise they are those that have changed much.
	Full   bool
	Offers []PoolOffers
	Served []Served
	Usage  []quota.Usage
}

// PoolOffers is what callers ask of one host for one pool.
type PoolOffers struct {
	Pool   core.PoolID
	Offers []claim.Offer
}

type servedKey struct {
	pool         core.PoolID
	priority     core.Priority
	organisation core.OrganisationID
}

type remoteHost struct {
	incarnation core.Incarnation
	heard       core.Millis
	offers      map[core.PoolID][]claim.Offer
	served      map[servedKey]float64
}

// exchange holds this host's own totals and the last ones heard from each other host.
type exchange struct {
	own map[servedKey]Served
	// told holds the totals of the last message; totals that have not changed are not sent again.
	told map[servedKey]float64
	// toldOffers holds the offers that the others know of, and messages the number of messages so far.
	toldOffers map[core.PoolID][]claim.Offer
	messages   int
	remotes    map[core.HostID]*remoteHost
}

func newExchange() exchange {
	return exchange{own: map[servedKey]Served{}, told: map[servedKey]float64{}, toldOffers: map[core.PoolID][]claim.Offer{}, remotes: map[core.HostID]*remoteHost{}}
}

func (x *exchange) serve(a Ask, cost float64) {
	k := servedKey{pool: a.Pool(), priority: a.Priority, organisation: a.Organisation}
	s := x.own[k]
	x.own[k] = Served{Pool: a.Pool(), Priority: a.Priority, Organisation: a.Organisation, Weight: a.Weight, Cost: s.Cost + cost}
}

// fullEvery is the number of messages of which one tells everything; the others tell what has changed much.
const fullEvery = 5

// Share returns what this host tells the others.
func (d *Desk) Share(now core.Millis, host core.HostID, incarnation core.Incarnation) Shared {
	x := &d.exchange
	s := Shared{Host: host, Incarnation: incarnation, Usage: d.limiter.Usage(now), Full: x.messages%fullEvery == 0}
	x.messages++
	for _, id := range d.order {
		present := d.pools[id].Offers(now)
		changed := claim.Changed(x.toldOffers[id], present)
		if s.Full {
			changed = present
		}
		if len(changed) > 0 {
			s.Offers = append(s.Offers, PoolOffers{Pool: id, Offers: changed})
			x.toldOffers[id] = claim.Merge(x.toldOffers[id], changed)
		}
		if s.Full {
			x.toldOffers[id] = present
		}
	}
	if !s.Full {
		return s
	}
	for k, served := range d.exchange.own {
		if d.exchange.told[k] != served.Cost {
			d.exchange.told[k] = served.Cost
			s.Served = append(s.Served, served)
		}
	}
	slices.SortFunc(s.Served, compareServed)
	return s
}

func compareServed(a, b Served) int {
	return cmp.Or(
		comparePools(a.Pool, b.Pool), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Organisation, b.Organisation))
}

// TakeShared takes in what another host tells of its work.
func (d *Desk) TakeShared(now core.Millis, s Shared) {
	d.limiter.Remote(now, s.Host, s.Usage)
	r, ok := d.exchange.remotes[s.Host]
	if !ok || r.incarnation != s.Incarnation {
		r = &remoteHost{incarnation: s.Incarnation, served: map[servedKey]float64{}}
		d.exchange.remotes[s.Host] = r
		for _, served := range s.Served {
			r.served[keyOf(served)] = served.Cost
		}
	}
	r.heard = now
	if s.Full || r.offers == nil {
		r.offers = map[core.PoolID][]claim.Offer{}
	}
	for _, o := range s.Offers {
		r.offers[o.Pool] = claim.Merge(r.offers[o.Pool], o.Offers)
	}
	d.chargeServed(r, s.Served)
	d.sumOffers(now)
}

func keyOf(s Served) servedKey {
	return servedKey{pool: s.Pool, priority: s.Priority, organisation: s.Organisation}
}

// chargeServed counts what another host has served since its last message against the organisations' turns here.
func (d *Desk) chargeServed(r *remoteHost, list []Served) {
	for _, s := range list {
		k := keyOf(s)
		if fresh := s.Cost - r.served[k]; fresh > 0 {
			d.pool(s.Pool).Charge(s.Priority, s.Organisation, s.Weight, fresh)
			r.served[k] = s.Cost
		}
	}
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
