package quota

import (
	"cmp"
	"math"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/tree"
)

const (
	// demandTimeConstant is the time constant with which the measured demand decays.
	demandTimeConstant = 2 * core.Second
	// burstWindow is the capacity of a token bucket, as the time in which its rate fills it.
	burstWindow = 250 * core.Millis(1)
	// demandStepsPerUnit is the number of steps per unit to which demands are rounded, so that usage encodes in few
	// bytes.
	demandStepsPerUnit = 64
	// ReportTTL is how long another host's report stays valid.
	ReportTTL = 2 * core.Second
	// concurrencyRetryAfter is the retry delay sent to callers of a team that has reached its concurrency limit.
	concurrencyRetryAfter = 500 * core.Millis(1)
)

// Usage is one host's report on one team's running requests and demand.
type Usage struct {
	Team    core.TeamID
	Running int
	// Demand is the smoothed rate of requests per second, admitted or not.
	Demand float64
}

type tokenBucket struct {
	level      float64
	refilledAt core.Millis
}

// take refills the bucket at rate per second and removes n tokens, or returns the time until enough are available. If n
// is larger than the burst, a full bucket is enough and its level becomes negative.
func (b *tokenBucket) take(now core.Millis, rate, n float64) (core.Millis, bool) {
	burst := max(1, rate*float64(burstWindow)/float64(core.Second))
	if b.refilledAt == 0 {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*float64(now-b.refilledAt)/float64(core.Second))
	}
	b.refilledAt = now
	if need := min(n, burst); b.level < need {
		return refillTime(need-b.level, rate), false
	}
	b.level -= n
	return 0, true
}

// refillTime returns the time in which a bucket gains the missing tokens at rate per second.
func refillTime(missing, rate float64) core.Millis {
	if rate <= 0 {
		return core.Second
	}
	return max(1, core.Millis(math.Ceil(missing/rate*float64(core.Second))))
}

// teamState holds one team's running requests, demand and token buckets on this host.
type teamState struct {
	running int
	demand  float64
	// sentDemand is the demand in the last report to the other hosts.
	sentDemand float64
	// sentRunning is the number of running requests in the last report to the other hosts.
	sentRunning int
	decayedAt   core.Millis
	requests    tokenBucket
	tokens      tokenBucket
}

func (t *teamState) addDemand(now core.Millis) {
	t.decay(now)
	t.demand += float64(core.Second) / float64(demandTimeConstant)
}

func (t *teamState) decay(now core.Millis) {
	t.demand *= math.Exp(-float64(now-t.decayedAt) / float64(demandTimeConstant))
	t.decayedAt = now
}

// remoteHost holds the last report of another host.
type remoteHost struct {
	host       core.HostID
	usage      map[core.TeamID]Usage
	receivedAt core.Millis
}

// Limiter decides on one host whether a team may start another request within limits that apply to all hosts together.
type Limiter struct {
	self  core.HostID
	teams map[core.TeamID]*teamState
	// remotes holds the last report of each other host, ordered by host.
	remotes []remoteHost
}

// New returns a limiter for the given host.
func New(self core.HostID) *Limiter {
	return &Limiter{self: self, teams: map[core.TeamID]*teamState{}}
}

// CountDemand counts a request towards the team's demand, whether or not it is admitted later.
func (l *Limiter) CountDemand(now core.Millis, id core.TeamID) {
	l.teamFor(id).addDemand(now)
}

// Admit starts a request with the given estimate of tokens if the team's limits allow it. Otherwise it returns the time
// after which to retry.
func (l *Limiter) Admit(now core.Millis, id core.TeamID, limits tree.Limits, tokens float64) (core.Millis, bool) {
	t := l.teamFor(id)
	l.dropStaleReports(now)
	if limits.Concurrency > 0 && !l.withinConcurrency(id, t, limits.Concurrency) {
		return concurrencyRetryAfter, false
	}
	share := l.rateShare(id, t)
	if limits.RequestsPerSecond > 0 {
		if after, ok := t.requests.take(now, share*limits.RequestsPerSecond, 1); !ok {
			return after, false
		}
	}
	if limits.TokensPerSecond > 0 {
		if after, ok := t.tokens.take(now, share*limits.TokensPerSecond, tokens); !ok {
			return after, false
		}
	}
	t.running++
	return 0, true
}

// withinConcurrency reports whether the team may run another request on this host. The team must be below its limit
// across all hosts, and below this host's part of it, which is proportional to demand and at least 1.
//
// While the team uses less than half of its limit, each host may also use an equal part of what is left of that half.
func (l *Limiter) withinConcurrency(id core.TeamID, t *teamState, limit int) bool {
	others := 0
	for _, r := range l.remotes {
		others += r.usage[id].Running
	}
	if t.running+others >= limit {
		return false
	}
	left := max(0, limit/2-others-t.sentRunning) / (len(l.remotes) + 1)
	return t.running < max(1, l.concurrencyPart(id, t, limit), t.sentRunning+left)
}

// concurrencyPart returns this host's part of a limit, divided in proportion to the reported demands with the largest
// remainder method.
//
// The parts of hosts that have the same reports add up to the limit, since each host uses its own demand as last
// reported.
func (l *Limiter) concurrencyPart(id core.TeamID, t *teamState, limit int) int {
	parts := []hostPart{{host: l.self, demand: t.sentDemand}}
	total := t.sentDemand
	for _, r := range l.remotes {
		if d := r.usage[id].Demand; d > 0 {
			parts = append(parts, hostPart{host: r.host, demand: d})
			total += d
		}
	}
	if total == 0 {
		return 0
	}
	left := limit
	for i := range parts {
		exact := parts[i].demand / total * float64(limit)
		parts[i].whole = int(exact)
		parts[i].remainder = exact - float64(parts[i].whole)
		left -= parts[i].whole
	}
	slices.SortFunc(parts, func(a, b hostPart) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.host, b.host))
	})
	i := slices.IndexFunc(parts, func(c hostPart) bool { return c.host == l.self })
	if i < left {
		return parts[i].whole + 1
	}
	return parts[i].whole
}

// hostPart is one host's part of a limit while it is being divided.
type hostPart struct {
	host      core.HostID
	demand    float64
	whole     int
	remainder float64
}

// rateShare returns this host's fraction of a rate limit, in proportion to demand. It is an equal part while no demand
// was reported for the team by this host.
func (l *Limiter) rateShare(id core.TeamID, t *teamState) float64 {
	total := t.sentDemand
	for _, r := range l.remotes {
		total += r.usage[id].Demand
	}
	if t.sentDemand == 0 || total == 0 {
		return 1 / float64(len(l.remotes)+1)
	}
	return t.sentDemand / total
}

// Release ends an admitted request and charges the tokens that it used beyond the estimate.
func (l *Limiter) Release(id core.TeamID, extraTokens float64) {
	t := l.teamFor(id)
	t.running = max(0, t.running-1)
	t.tokens.level -= extraTokens
}

// Usage returns this host's next report to the others, ordered by team, and records it as sent.
func (l *Limiter) Usage(now core.Millis) []Usage {
	var list []Usage
	for id, t := range l.teams {
		t.decay(now)
		t.sentDemand, t.sentRunning = math.Round(t.demand*demandStepsPerUnit)/demandStepsPerUnit, t.running
		if t.running > 0 || t.demand > 0.01 {
			list = append(list, Usage{Team: id, Running: t.running, Demand: t.sentDemand})
		}
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// SetRemoteUsage replaces the report of another host.
func (l *Limiter) SetRemoteUsage(now core.Millis, host core.HostID, list []Usage) {
	usage := make(map[core.TeamID]Usage, len(list))
	for _, u := range list {
		usage[u.Team] = u
	}
	r := remoteHost{host: host, usage: usage, receivedAt: now}
	i, known := slices.BinarySearchFunc(l.remotes, host, func(r remoteHost, h core.HostID) int { return cmp.Compare(r.host, h) })
	if known {
		l.remotes[i] = r
		return
	}
	l.remotes = slices.Insert(l.remotes, i, r)
}

func (l *Limiter) teamFor(id core.TeamID) *teamState {
	t, ok := l.teams[id]
	if !ok {
		t = &teamState{}
		l.teams[id] = t
	}
	return t
}

// dropStaleReports drops the reports of other hosts that are older than ReportTTL.
func (l *Limiter) dropStaleReports(now core.Millis) {
	l.remotes = slices.DeleteFunc(l.remotes, func(r remoteHost) bool { return now-r.receivedAt > ReportTTL })
}
