package desk

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/claim"
	"cyclamenford/core/limit"
	"cyclamenford/core/pool"
	"cyclamenford/core/quota"
)

// fullReportInterval is the number of reports of which one carries all offers. The others carry only the offers that
// changed much.
const fullReportInterval = 5

// HostReport is a host's report of its offers and team usage to the other hosts.
type HostReport struct {
	Host        core.HostID
	Incarnation core.Incarnation
	// Full marks a report whose offers replace all earlier ones. Otherwise it holds only the offers that changed much.
	Full   bool
	Offers []PoolOffers
	Usage  []quota.Usage
	// Limits holds what the host has heard of endpoints' limits: everything in a full report, otherwise what has changed.
	Limits []limit.Report
}

// PoolOffers holds one host's offers for one pool.
type PoolOffers struct {
	Pool   core.PoolID
	Offers []claim.Offer
}

// remoteHost holds the offers last received from another host.
type remoteHost struct {
	incarnation core.Incarnation
	receivedAt  core.Millis
	offers      map[core.PoolID][]claim.Offer
}

// exchange holds the offers that were last sent to the other hosts and those received from each of them.
type exchange struct {
	// sentOffers holds the offers as sent so far, and sentReports counts the reports sent.
	sentOffers  map[core.PoolID][]claim.Offer
	sentReports int
	remotes     map[core.HostID]*remoteHost
}

func newExchange() exchange {
	return exchange{sentOffers: map[core.PoolID][]claim.Offer{}, remotes: map[core.HostID]*remoteHost{}}
}

// NextReport returns this host's next report to the other hosts and records its offers as sent. One in
// fullReportInterval reports is full, which also corrects for lost reports.
func (d *Scheduler) NextReport(now core.Millis, host core.HostID, incarnation core.Incarnation) HostReport {
	x := &d.exchange
	s := HostReport{Host: host, Incarnation: incarnation, Usage: d.limiter.Usage(now), Full: x.sentReports%fullReportInterval == 0}
	x.sentReports++
	s.Limits = d.takeChangedLimits(now, s.Full)
	for _, id := range d.poolOrder {
		current := d.pools[id].Offers(now)
		toSend := current
		if !s.Full {
			toSend = claim.ChangedOffers(x.sentOffers[id], current)
		}
		if len(toSend) > 0 {
			s.Offers = append(s.Offers, PoolOffers{Pool: id, Offers: toSend})
		}
		if s.Full {
			x.sentOffers[id] = current
		} else {
			x.sentOffers[id] = claim.MergeChanged(x.sentOffers[id], toSend)
		}
	}
	return s
}

// ApplyReport applies the report of another host. A full report or a new incarnation replaces that host's earlier
// offers. It returns the actions that follow from changed limits.
func (d *Scheduler) ApplyReport(now core.Millis, s HostReport) []pool.Action {
	d.limiter.SetRemoteUsage(now, s.Host, s.Usage)
	r, ok := d.exchange.remotes[s.Host]
	if !ok || r.incarnation != s.Incarnation || s.Full {
		r = &remoteHost{incarnation: s.Incarnation, offers: map[core.PoolID][]claim.Offer{}}
		d.exchange.remotes[s.Host] = r
	}
	r.receivedAt = now
	for _, o := range s.Offers {
		r.offers[o.Pool] = claim.MergeChanged(r.offers[o.Pool], o.Offers)
	}
	d.updateRemoteOffers(now)
	var actions []pool.Action
	for _, l := range s.Limits {
		actions = append(actions, d.mergeLimit(now, l)...)
	}
	return actions
}

// updateRemoteOffers drops the hosts whose last report has expired and gives each pool the sum of the others' offers.
// It adds in the order of host names, so that the result doesn't depend on map order.
func (d *Scheduler) updateRemoteOffers(now core.Millis) {
	sums := map[core.PoolID][]claim.Offer{}
	for _, host := range slices.Sorted(maps.Keys(d.exchange.remotes)) {
		r := d.exchange.remotes[host]
		if now-r.receivedAt > quota.ReportTTL {
			delete(d.exchange.remotes, host)
			continue
		}
		for id, offers := range r.offers {
			sums[id] = append(sums[id], offers...)
		}
	}
	for _, id := range d.poolOrder {
		d.pools[id].SetRemoteOffers(claim.SumOffers(sums[id]), len(d.exchange.remotes)+1)
	}
}
