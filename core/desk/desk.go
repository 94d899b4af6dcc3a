package desk

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/core/member"
	"cyclamenford/core/notice"
	"cyclamenford/core/plan"
	"cyclamenford/core/pool"
	"cyclamenford/core/quota"
	"cyclamenford/core/retry"
	"cyclamenford/core/route"
	"cyclamenford/core/tree"
)

// Policy holds the priorities' guaranteed shares, the drained endpoints and the evacuated failure domains. It applies to every host.
type Policy struct {
	Shares  [core.PriorityCount]float64
	Drained map[core.EndpointID]bool
	// Evacuated holds the failure domains whose endpoints get no new work, as if they were drained.
	Evacuated map[core.FailureDomain]bool
}

// PolicyOf returns the policy with the shares of a settings tree and the given drained endpoints and evacuated failure domains.
func PolicyOf(t tree.Tree, drained map[core.EndpointID]bool, evacuated map[core.FailureDomain]bool) Policy {
	p := Policy{Drained: drained, Evacuated: evacuated}
	for i := range p.Shares {
		p.Shares[i] = t.Share(core.Priority(i)).Share
	}
	return p
}

// Scheduler schedules the requests of one host: it tracks endpoints, queues attempts, selects endpoints and applies
// limits and the retry budget. It is not safe for concurrent use.
type Scheduler struct {
	domain     core.FailureDomain
	rng        *rand.Rand
	policy     Policy
	members    *member.Table
	pools      map[core.PoolID]*pool.Pool
	poolOrder  []core.PoolID
	estimate   *plan.Estimator
	limiter    *quota.Limiter
	budget     *retry.Budget
	lastTicket uint64
	exchange   exchange
	decisions  decisionLog
	// notices holds what endpoints reported in their answers to this host: that they leave, or that they pause.
	notices *notice.Store
	// limits holds the limits that endpoints named in their answers to this host, and heldUntil when the next permit of an
	// endpoint that had none is expected to be free.
	limits    *limit.Store
	heldUntil map[core.Life]core.Millis
	// changedLimits holds the incarnations whose limit has changed since the last report to the other hosts.
	changedLimits map[core.Life]bool
}

// New returns the scheduler of a host in the given failure domain. It draws random numbers from rng only.
func New(self core.HostID, domain core.FailureDomain, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		domain: domain, rng: rng, members: member.New(), pools: map[core.PoolID]*pool.Pool{},
		estimate: plan.New(), limiter: quota.New(self), budget: retry.New(), exchange: newExchange(), notices: notice.New(),
		limits: limit.NewStore(), heldUntil: map[core.Life]core.Millis{}, changedLimits: map[core.Life]bool{},
	}
}

// SetPolicy replaces the policy and updates every endpoint that is drained or evacuated before or after the change.
func (d *Scheduler) SetPolicy(now core.Millis, p Policy) {
	previous := d.policy
	d.policy = p
	for _, id := range d.poolOrder {
		x := d.pools[id]
		x.SetShares(p.Shares)
		for _, endpoint := range slices.Sorted(maps.Keys(previous.Drained)) {
			x.SetRestriction(now, endpoint, d.restrictionByID(endpoint))
		}
		for _, endpoint := range slices.Sorted(maps.Keys(p.Drained)) {
			x.SetRestriction(now, endpoint, d.restrictionByID(endpoint))
		}
		for _, a := range d.members.Live(now) {
			if previous.Evacuated[a.FailureDomain] != p.Evacuated[a.FailureDomain] {
				x.SetRestriction(now, a.ID, d.restrictionOf(a.Life()))
			}
		}
	}
}

// Tick expires endpoint leases and queued tickets. It returns the endpoints that expired and the resulting actions.
func (d *Scheduler) Tick(now core.Millis) ([]core.EndpointID, []pool.Action) {
	expired := d.members.Expire(now)
	maps.DeleteFunc(d.heldUntil, func(_ core.Life, until core.Millis) bool { return now >= until })
	for _, id := range expired {
		d.removeEndpoint(id)
	}
	var actions []pool.Action
	for _, id := range d.poolOrder {
		actions = append(actions, d.pools[id].Tick(now)...)
	}
	return expired, actions
}

// Announce applies an announcement that its endpoint sent age milliseconds ago. It ignores endpoints that are leaving.
func (d *Scheduler) Announce(now core.Millis, a core.Announcement, age core.Millis) (member.Change, []pool.Action) {
	if !a.Goodbye && d.notices.Leaving(a.Life()) {
		return member.Ignored, nil
	}
	change := d.members.Announce(now, a, age)
	switch change {
	case member.Ignored:
		return change, nil
	case member.Left:
		// The member table drops an ended incarnation after some minutes, but its endpoint may still announce it. The
		// notice keeps such announcements rejected.
		d.notices.Record(now, a.Life(), notice.Notice{Leaving: true})
		d.removeEndpoint(a.ID)
		return change, nil
	case member.Joined:
		d.removeEndpoint(a.ID)
	}
	var actions []pool.Action
	for _, model := range a.Models {
		p := d.poolFor(core.PoolID{Kind: a.Kind, Model: model})
		actions = append(actions, p.Announce(now, a, d.restrictionOf(a.Life()))...)
	}
	return change, actions
}

// restrictionOf returns the drain, the pause and the limit that apply to an incarnation of an endpoint.
func (d *Scheduler) restrictionOf(l core.Life) route.Restriction {
	return route.Restriction{
		Drained: d.policy.Drained[l.Endpoint] || d.inEvacuatedDomain(l.Endpoint), PausedUntil: max(d.notices.PausedUntil(l), d.heldUntil[l]), Limited: d.limits.Limited(l),
	}
}

// inEvacuatedDomain reports whether the failure domain that an endpoint announced is evacuated.
func (d *Scheduler) inEvacuatedDomain(id core.EndpointID) bool {
	announcement, ok := d.members.Get(id)
	return ok && d.policy.Evacuated[announcement.FailureDomain]
}

// restrictionByID returns the drain and the pause that apply to the announced incarnation of an endpoint, or only the
// drain if the endpoint isn't announced.
func (d *Scheduler) restrictionByID(id core.EndpointID) route.Restriction {
	announcement, ok := d.members.Get(id)
	if !ok {
		return route.Restriction{Drained: d.policy.Drained[id]}
	}
	return d.restrictionOf(announcement.Life())
}

// removeEndpoint removes an endpoint from every pool.
func (d *Scheduler) removeEndpoint(id core.EndpointID) {
	for _, poolID := range d.poolOrder {
		d.pools[poolID].RemoveEndpoint(id)
	}
}

// poolFor returns the pool with the given ID and creates it if it doesn't exist.
func (d *Scheduler) poolFor(id core.PoolID) *pool.Pool {
	p, ok := d.pools[id]
	if !ok {
		p = pool.New(d.domain, d.policy.Shares, d.rng)
		d.pools[id] = p
		i, _ := slices.BinarySearchFunc(d.poolOrder, id, comparePools)
		d.poolOrder = slices.Insert(d.poolOrder, i, id)
	}
	return p
}

func comparePools(a, b core.PoolID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Model, b.Model))
}

// Endpoint returns the last announcement of an endpoint whose lease is valid.
func (d *Scheduler) Endpoint(now core.Millis, id core.EndpointID) (core.Announcement, bool) {
	if !d.members.Alive(now, id) {
		return core.Announcement{}, false
	}
	return d.members.Get(id)
}

// Endpoints returns the last announcement of every endpoint whose lease is valid.
func (d *Scheduler) Endpoints(now core.Millis) []core.Announcement {
	return d.members.Live(now)
}

// Depth holds the numbers of waiting and running tickets and of endpoints of one pool at this host.
type Depth struct {
	Pool      core.PoolID
	Waiting   int
	Running   int
	Endpoints int
}

// Depths returns the queue depth of every pool at this host, ordered by pool.
func (d *Scheduler) Depths() []Depth {
	var list []Depth
	for _, id := range d.poolOrder {
		waiting, running := d.pools[id].Depth()
		list = append(list, Depth{Pool: id, Waiting: waiting, Running: running, Endpoints: d.pools[id].Endpoints()})
	}
	return list
}
