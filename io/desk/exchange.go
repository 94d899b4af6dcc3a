package desk

import (
	"cmp"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/pool"
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
	Demands     []pool.Demand
	Served      []Served
	Usage       []quota.Usage
}

type servedKey struct {
	pool         core.PoolID
	priority     core.Priority
	organisation core.OrganisationID
}

type remoteHost struct {
	incarnation core.Incarnation
	heard       core.Millis
	demands     map[core.PoolID]float64
	served      map[servedKey]float64
}

// exchange holds this host's own totals and the last ones heard from each other host.
type exchange struct {
	own     map[servedKey]Served
	remotes map[core.HostID]*remoteHost
}

func newExchange() exchange {
	return exchange{own: map[servedKey]Served{}, remotes: map[core.HostID]*remoteHost{}}
}

func (x *exchange) serve(id core.PoolID, a Ask, cost float64) {
	k := servedKey{pool: id, priority: a.Priority, organisation: a.Organisation}
	s := x.own[k]
	x.own[k] = Served{Pool: id, Priority: a.Priority, Organisation: a.Organisation, Weight: a.Weight, Cost: s.Cost + cost}
}

// Share returns what this host tells the others.
func (d *Desk) Share() Shared {
	holder := d.control.Holder()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	s := Shared{Host: holder.Host, Incarnation: holder.Incarnation, Usage: d.limiter.Usage(now)}
	for id, p := range d.pools {
		if demand := p.Demand(now); demand > 0.5 {
			s.Demands = append(s.Demands, pool.Demand{Pool: id, Cost: demand})
		}
	}
	for _, served := range d.ledger.own {
		s.Served = append(s.Served, served)
	}
	slices.SortFunc(s.Served, func(a, b Served) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return s
}

// TakeShared takes in what another host tells of its work.
func (d *Desk) TakeShared(s Shared) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.limiter.Remote(now, s.Host, s.Usage)
	r, ok := d.ledger.remotes[s.Host]
	if !ok || r.incarnation != s.Incarnation {
		r = &remoteHost{incarnation: s.Incarnation, served: map[servedKey]float64{}}
		d.ledger.remotes[s.Host] = r
		for _, served := range s.Served {
			r.served[keyOf(served)] = served.Cost
		}
	}
	r.heard = now
	r.demands = map[core.PoolID]float64{}
	for _, demand := range s.Demands {
		r.demands[demand.Pool] = demand.Cost
	}
	d.chargeServed(r, s.Served)
	d.sumDemands(now)
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

func (d *Desk) sumDemands(now core.Millis) {
	sums := map[core.PoolID]float64{}
	for host, r := range d.ledger.remotes {
		if now-r.heard > quota.RemoteTTL {
			delete(d.ledger.remotes, host)
			continue
		}
		for id, cost := range r.demands {
			sums[id] += cost
		}
	}
	for id, p := range d.pools {
		p.SetOthers(sums[id])
	}
}
