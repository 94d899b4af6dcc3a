package door

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/limit"
	"cyclamenford/core/notice"
	"cyclamenford/core/order"
	"cyclamenford/core/roll"
	"cyclamenford/core/speed"
	"cyclamenford/core/state"
)

const (
	// latencyExponent and failureExponent sharpen the selection weights: an endpoint that takes twice as long as
	// another one gets a quarter of its requests, and one that fails half of its requests gets a sixteenth.
	latencyExponent = 2
	failureExponent = 4
	// minWeight is the smallest selection weight. An endpoint that always fails still gets an occasional request, so
	// that its recovery is detected.
	minWeight = 0.001
	// coldPenalty is the expected extra latency at an endpoint that has just started, in multiples of the service's
	// usual call time.
	coldPenalty = 1.0
	// initialCallTime is the assumed call time of a service before the first observation, in milliseconds.
	initialCallTime = 30.0
	// asksPerPermit is the number of hosts that ask for each permit of an endpoint with a limit. It is above 1, so that no
	// permit is left unused, and low, because all hosts ask the same leader.
	asksPerPermit = 8
	// callTimeWeight is the weight of a new observation in the moving average of a service's call time.
	callTimeWeight = 0.05
)

// Settings configures the endpoint selection of one host.
type Settings struct {
	// Retries limits the retries of each service, summed over all hosts.
	Retries fleet.RetryLimits
	// UnlistedGrace is how long an endpoint stays in use after the roll of a new scheduler omits it. An endpoint that is still
	// running has announced itself to the new scheduler by then.
	UnlistedGrace core.Millis
}

// Choice is the endpoint selected for one attempt, with the data behind the selection for the log.
type Choice struct {
	Endpoint core.EndpointID
	// Incarnation is the incarnation of the endpoint.
	Incarnation core.Incarnation
	Address     string
	// FailureDomain is that of the endpoint.
	FailureDomain core.FailureDomain
	// Candidates is the number of endpoints considered. Running is the number of this host's requests at the selected
	// endpoint, this one included.
	Candidates, Running int
	// RollTerm and RollVersion identify the roll that was used; the age is the time since a scheduler last confirmed it.
	RollTerm, RollVersion uint64
	RollAge               core.Millis
	// Only means that the service has no endpoint that needs no permit. Others are the other endpoints with a limit then.
	Only   bool
	Others []core.Life
}

// Selector selects endpoints on one entry host. It combines the published roll, the retired incarnations, the endpoints'
// notices and the latency, failures and load that this host has observed.
type Selector struct {
	settings Settings
	rng      *rand.Rand
	// hosts is the number of entry hosts that share the retry budgets.
	hosts         int
	term, version uint64
	confirmedAt   core.Millis
	// confirmedBefore means that the roll being applied is not the first one.
	confirmedBefore bool
	endpoints       map[core.EndpointID]*endpoint
	services        map[string]*service
	retired         map[core.EndpointID]state.Retirement
	// evacuated holds the failure domains whose endpoints get no more requests.
	evacuated map[core.FailureDomain]bool
	// notices holds the leave and pause notices that this host received in endpoints' answers.
	notices *notice.Store
	// limits holds the limits that endpoints named in their answers to this host.
	limits *limit.Store
}

type service struct {
	endpoints []*endpoint
	budget    fleet.RetryBudget
	// callTime is the moving average of the service's call time over all its endpoints, in milliseconds.
	callTime float64
	// speed is learned from the endpoints that state their slowdown.
	speed *speed.Service
}

// New returns a selector without endpoints.
func New(s Settings, rng *rand.Rand) *Selector {
	return &Selector{
		settings: s, rng: rng, hosts: 1,
		endpoints: map[core.EndpointID]*endpoint{}, services: map[string]*service{}, notices: notice.New(), limits: limit.NewStore(),
	}
}

// RecordNotice records the notice in an answer of one incarnation, whatever its service, and reports whether it changed
// anything.
func (d *Selector) RecordNotice(now core.Millis, l core.Life, n notice.Notice) bool {
	return d.notices.Record(now, l, n)
}

// ActiveNotice returns the notice that currently forbids requests from this host to an incarnation: that it is
// leaving, or the rest of its pause. The notice is empty if requests are allowed.
func (d *Selector) ActiveNotice(now core.Millis, l core.Life) notice.Notice {
	retired := d.isRetired(l)
	if d.notices.Usable(now, l) && !retired {
		return notice.Notice{}
	}
	return notice.Notice{Leaving: retired || d.notices.Leaving(l), Pause: max(0, d.notices.PausedUntil(l)-now)}
}

// RecordLimit records what an answer of an incarnation says about the rate of requests that it accepts.
func (d *Selector) RecordLimit(l core.Life, x limit.Statement, made limit.Span) limit.Change {
	return d.limits.Record(l, x, made)
}

// LimitReport returns the newest statement that this host received from an incarnation about its limit.
func (d *Selector) LimitReport(now core.Millis, l core.Life) limit.Report {
	return d.limits.Newest(now, l)
}

// LimitReports returns the newest statements that this host received from all incarnations.
func (d *Selector) LimitReports(now core.Millis) []limit.Report { return d.limits.Reports(now) }

// NeedsPermit reports whether requests to an incarnation need a permit, because it names a limit to this host or, by the
// roll, to another one.
func (d *Selector) NeedsPermit(l core.Life) bool {
	e, ok := d.endpoints[l.Endpoint]
	return d.limits.Limited(l) || ok && e.Incarnation == l.Incarnation && e.Limited
}

// Bounded reports whether requests to an incarnation need a permit because the system bounds their rate.
func (d *Selector) Bounded(l core.Life) bool {
	e, ok := d.endpoints[l.Endpoint]
	return ok && e.Incarnation == l.Incarnation && e.Listed.Bounded
}

// CallTime returns the usual time of a service's answer.
func (d *Selector) CallTime(service string) core.Millis {
	return core.Millis(d.service(service).callTime)
}

// HoldBack avoids an endpoint, while another one can be used, after an ask for its permit was refused. retryAfter is the time
// until its next permit is expected to be free. The more hosts there are, the longer each waits on average, so that about
// asksPerPermit of them ask for each permit.
func (d *Selector) HoldBack(now core.Millis, id core.EndpointID, retryAfter core.Millis) {
	e, ok := d.endpoints[id]
	if !ok {
		return
	}
	surplus := max(0, float64(d.hosts)/asksPerPermit-1)
	e.heldUntil = now + retryAfter + core.Millis(2*surplus*d.rng.Float64()*float64(retryAfter))
}

// Version returns the term and the version of the last roll page applied.
func (d *Selector) Version() (term, version uint64) { return d.term, d.version }

// ConfirmedAt returns when a scheduler last confirmed the roll, or 0 if none has yet.
func (d *Selector) ConfirmedAt() core.Millis { return d.confirmedAt }

// ApplyPage applies a page of the roll and ignores pages of earlier terms. An endpoint that is missing from the roll of a
// later term stays in use for a grace period, because its announcement may not have reached the new scheduler yet.
func (d *Selector) ApplyPage(now core.Millis, p roll.Page) {
	if p.Term < d.term {
		return
	}
	d.confirmedBefore = d.confirmedAt > 0
	d.term, d.version, d.confirmedAt = p.Term, p.Version, now
	for _, l := range p.Listed {
		d.upsert(now, l)
	}
	for _, id := range p.Gone {
		d.remove(id)
	}
	if p.Whole {
		d.removeUnlisted(now, p)
	}
	d.removeReplaced(p)
}

// removeReplaced removes endpoints that the scheduler's roll omits and whose address a later incarnation of the page has. The
// scheduler knows only of those that have announced themselves to it, so that it can't tell that they are gone.
func (d *Selector) removeReplaced(p roll.Page) {
	latest := map[string]core.Incarnation{}
	for _, l := range p.Listed {
		latest[l.Address] = max(latest[l.Address], l.Incarnation)
	}
	if len(latest) == 0 {
		return
	}
	for id, e := range d.endpoints {
		if e.keepUntil > 0 && e.Incarnation < latest[e.Address] {
			d.remove(id)
		}
	}
}

func (d *Selector) removeUnlisted(now core.Millis, p roll.Page) {
	listed := map[core.EndpointID]bool{}
	for _, l := range p.Listed {
		listed[l.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		e := d.endpoints[id]
		if listed[id] {
			continue
		}
		if e.term == p.Term {
			d.remove(id)
			continue
		}
		if e.keepUntil == 0 {
			e.keepUntil = now + d.settings.UnlistedGrace
		}
	}
}

func (d *Selector) upsert(now core.Millis, l roll.Listed) {
	e, ok := d.endpoints[l.ID]
	if ok && (e.Incarnation != l.Incarnation || e.Service != l.Service) {
		d.remove(l.ID)
		ok = false
	}
	if !ok {
		e = &endpoint{}
		d.endpoints[l.ID] = e
		s := d.service(l.Service)
		index, _ := slices.BinarySearchFunc(s.endpoints, l.ID, func(x *endpoint, id core.EndpointID) int { return cmp.Compare(x.ID, id) })
		s.endpoints = slices.Insert(s.endpoints, index, e)
		d.paceListed(now, e, l)
	}
	if e.Limited && !l.Limited {
		// Another host has heard that the limit is lifted.
		d.limits.Record(e.life(), limit.Unlimited(), limit.Span{SentAt: now, HeardAt: now})
		e.heldUntil = 0
	}
	ordered := l.Hold.For > 0 && l.Hold.Number != e.Hold.Number
	e.Listed, e.term, e.keepUntil = l, d.term, 0
	if ordered {
		d.Restrain(now, e.life(), l.Hold.For)
	}
	e.coldUntil = now + l.Cold
}

func (d *Selector) remove(id core.EndpointID) {
	e, ok := d.endpoints[id]
	if !ok {
		return
	}
	delete(d.endpoints, id)
	s := d.service(e.Service)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(x *endpoint) bool { return x == e })
}

func (d *Selector) service(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{callTime: initialCallTime, speed: speed.NewService()}
		d.services[name] = s
	}
	return s
}

// SetRetired replaces the set of retired incarnations with that of the control state. Retired incarnations get no more
// requests.
func (d *Selector) SetRetired(retired map[core.EndpointID]state.Retirement) { d.retired = retired }

// SetEvacuated replaces the set of failure domains whose endpoints get no more requests.
func (d *Selector) SetEvacuated(domains map[core.FailureDomain]bool) { d.evacuated = domains }

// noEndpointReason returns why a service has no endpoint for a request that the given endpoints have had: all others may be in evacuated
// failure domains.
func (d *Selector) noEndpointReason(now core.Millis, s *service, tried []core.EndpointID) core.Reason {
	reason := core.ReasonNoEndpoint
	for _, e := range s.endpoints {
		switch {
		case slices.Contains(tried, e.ID) || !d.listed(now, e):
		case !d.evacuated[e.FailureDomain]:
			return core.ReasonNoEndpoint
		default:
			reason = core.ReasonEvacuated
		}
	}
	return reason
}

// FailureDomain returns the failure domain of an incarnation in the roll, empty if the roll does not list it.
func (d *Selector) FailureDomain(l core.Life) core.FailureDomain {
	if e, ok := d.endpoints[l.Endpoint]; ok && e.Incarnation == l.Incarnation {
		return e.FailureDomain
	}
	return ""
}

// SetHosts sets the number of entry hosts, among which the retry budgets are split equally.
func (d *Selector) SetHosts(hosts int) { d.hosts = max(1, hosts) }

// retryShare returns this host's part of the retry budget. The ratio needs no split, since it applies to the host's own
// requests; the slack is divided equally among the hosts.
func (d *Selector) retryShare() fleet.RetryLimits {
	r := d.settings.Retries
	r.Slack /= float64(d.hosts)
	return r
}

// SelectFirst selects the endpoint for a request's first attempt. tried lists the endpoints that could not be reached.
func (d *Selector) SelectFirst(now core.Millis, service string, tried []core.EndpointID) (Choice, core.Reason) {
	s := d.service(service)
	c, ok := d.choose(now, s, tried, false)
	if !ok {
		return Choice{}, d.noEndpointReason(now, s, tried)
	}
	if len(tried) == 0 {
		s.budget.CountRequest(now, d.retryShare())
	}
	return c, ""
}

// SelectRetry selects another endpoint for a request that may already have reached one, if the service's
// retry budget allows it.
func (d *Selector) SelectRetry(now core.Millis, service string, tried []core.EndpointID) (Choice, core.Reason) {
	s := d.service(service)
	if s.budget.Available(now, d.retryShare()) == 0 {
		return Choice{}, core.ReasonRetryBudget
	}
	c, ok := d.choose(now, s, tried, true)
	if !ok {
		return Choice{}, d.noEndpointReason(now, s, tried)
	}
	s.budget.Spend(now, d.retryShare())
	return c, ""
}

// choose draws an endpoint at random, weighted by its latency, load and failure rate. The choice is random because
// hosts that see the same roll must not all select the same endpoint.
func (d *Selector) choose(now core.Millis, s *service, tried []core.EndpointID, retry bool) (Choice, bool) {
	var candidates []*endpoint
	for _, e := range s.endpoints {
		if d.usable(now, e) && !slices.Contains(tried, e.ID) {
			candidates = append(candidates, e)
		}
	}
	// Endpoints in backoff are used only if there is no other one.
	if ready := slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool { return now < e.backoffUntil }); len(ready) > 0 {
		candidates = ready
	}
	candidates = d.withRoom(now, candidates)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	candidates, others, only := d.withPermits(now, candidates, retry)
	total := 0.0
	weights := make([]float64, len(candidates))
	for i, e := range candidates {
		weights[i] = e.weight(now, s)
		total += weights[i]
	}
	point := d.rng.Float64() * total
	chosen := candidates[len(candidates)-1]
	for i, e := range candidates {
		if point < weights[i] {
			chosen = e
			break
		}
		point -= weights[i]
	}
	c := d.use(now, chosen)
	c.Candidates, c.Only, c.Others = len(candidates), only, others
	return c, true
}

// use counts a request as running at an endpoint and returns the choice of that endpoint.
func (d *Selector) use(now core.Millis, e *endpoint) Choice {
	e.running++
	return Choice{
		Endpoint: e.ID, Incarnation: e.Incarnation, Address: e.Address, FailureDomain: e.FailureDomain, Candidates: 1, Running: e.running,
		RollTerm: d.term, RollVersion: d.version, RollAge: now - d.confirmedAt,
	}
}

// SelectPermitted selects the endpoint for which there is a permit, in place of one of the same service. It reports false if
// the endpoint is not in use any more.
func (d *Selector) SelectPermitted(now core.Millis, l core.Life) (Choice, bool) {
	e, ok := d.endpoints[l.Endpoint]
	if !ok || e.Incarnation != l.Incarnation || !d.usable(now, e) {
		return Choice{}, false
	}
	return d.use(now, e), true
}

// withPermits returns the candidates that may have a permit or need none. If all of them need one, it returns the one whose next
// permit is expected first, the others, and true. Retries get an endpoint that needs no permit if there is one.
func (d *Selector) withPermits(now core.Millis, candidates []*endpoint, retry bool) ([]*endpoint, []core.Life, bool) {
	var free, limited []*endpoint
	for _, e := range candidates {
		if d.NeedsPermit(e.life()) {
			limited = append(limited, e)
			continue
		}
		free = append(free, e)
	}
	if len(free) > 0 {
		if retry {
			return free, nil, false
		}
		limited = slices.DeleteFunc(limited, func(e *endpoint) bool { return now < e.heldUntil })
		return append(free, limited...), nil, false
	}
	first := slices.MinFunc(limited, func(a, b *endpoint) int {
		return cmp.Compare(max(now, a.heldUntil), max(now, b.heldUntil))
	})
	var others []core.Life
	for _, e := range limited {
		if e != first {
			others = append(others, e.life())
		}
	}
	return []*endpoint{first}, others, true
}

func (d *Selector) usable(now core.Millis, e *endpoint) bool {
	return d.inService(now, e) && d.notices.Usable(now, e.life())
}

// inService reports whether an endpoint is published, or still kept although a new scheduler's roll omits it, and is
// neither leaving, retired nor evacuated. It does not consider the notices that this host received.
func (d *Selector) inService(now core.Millis, e *endpoint) bool {
	return d.listed(now, e) && !d.evacuated[e.FailureDomain]
}

// listed is inService without regard to evacuations.
func (d *Selector) listed(now core.Millis, e *endpoint) bool {
	return !e.Leaving && !d.isRetired(e.life()) && (e.keepUntil == 0 || now < e.keepUntil)
}

// isRetired reports whether the control state has retired an incarnation.
func (d *Selector) isRetired(l core.Life) bool {
	retirement, ok := d.retired[l.Endpoint]
	return ok && retirement.Incarnation >= l.Incarnation
}

// UntilPauseEnds returns the time until the first pause of the service's endpoints ends. It returns 0 if an
// endpoint is not paused or if none is in service.
func (d *Selector) UntilPauseEnds(now core.Millis, service string) core.Millis {
	earliest := core.Millis(0)
	for _, e := range d.service(service).endpoints {
		if !d.inService(now, e) || d.notices.Leaving(e.life()) {
			continue
		}
		remaining := d.notices.PausedUntil(e.life()) - now
		if remaining <= 0 {
			return 0
		}
		if earliest == 0 || remaining < earliest {
			earliest = remaining
		}
	}
	return earliest
}

// HasAlternative reports whether the service has a usable endpoint outside the given ones that is not in backoff.
func (d *Selector) HasAlternative(now core.Millis, service string, exclude []core.EndpointID) bool {
	return slices.ContainsFunc(d.service(service).endpoints, func(e *endpoint) bool {
		return d.usable(now, e) && now >= e.backoffUntil && !slices.Contains(exclude, e.ID)
	})
}

// RecordAttempt records how an attempt at an endpoint ended and how long it took.
func (d *Selector) RecordAttempt(now core.Millis, id core.EndpointID, ending order.AttemptOutcome, took core.Millis) {
	e, ok := d.endpoints[id]
	if !ok {
		return
	}
	d.recordPace(now, e, ending, took, d.service(e.Service).callTime)
	e.running = max(0, e.running-1)
	e.observe(now, ending, took, d.service(e.Service))
}
