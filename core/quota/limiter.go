package quota

import (
	"cmp"
	"math"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/tree"
)

const (
	// demandMemory is the time constant over which arrivals are counted as demand.
	demandMemory = 2 * core.Second
	// burstTime is how much of a rate may be saved up.
	burstTime = 250 * core.Millis(1)
	// RemoteTTL is how long another host's usage counts after its last message.
	RemoteTTL = 2 * core.Second
	// concurrencyRetry is when a caller should return to a team whose slots are all taken.
	concurrencyRetry = 500 * core.Millis(1)
)

// Usage is what one host reports of one team.
type Usage struct {
	Team    core.TeamID
	Running int
	// Demand is the smoothed number of arrivals a second, admitted or not.
	Demand float64
}

type bucket struct {
	level  float64
	filled core.Millis
}

// take refills the bucket at rate per second and takes n; a single take larger than the burst may go into debt.
func (b *bucket) take(now core.Millis, rate, n float64) (core.Millis, bool) {
	burst := max(1, rate*float64(burstTime)/float64(core.Second))
	if b.filled == 0 {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*float64(now-b.filled)/float64(core.Second))
	}
	b.filled = now
	if need := min(n, burst); b.level < need {
		return waitFor(need-b.level, rate), false
	}
	b.level -= n
	return 0, true
}

func waitFor(missing, rate float64) core.Millis {
	if rate <= 0 {
		return core.Second
	}
	return max(1, core.Millis(math.Ceil(missing/rate*float64(core.Second))))
}

type team struct {
	running  int
	demand   float64
	counted  core.Millis
	requests bucket
	tokens   bucket
}

func (t *team) arrive(now core.Millis) {
	t.decay(now)
	t.demand += float64(core.Second) / float64(demandMemory)
}

func (t *team) decay(now core.Millis) {
	t.demand *= math.Exp(-float64(now-t.counted) / float64(demandMemory))
	t.counted = now
}

type remote struct {
	host  core.HostID
	usage map[core.TeamID]Usage
	heard core.Millis
}

// Limiter decides on one host whether a team may start another request.
type Limiter struct {
	teams map[core.TeamID]*team
	// remotes is ordered by host.
	remotes []remote
}

// New returns a limiter that has seen no work.
func New() *Limiter {
	return &Limiter{teams: map[core.TeamID]*team{}}
}

// Admit asks to start a request of about the given tokens; when refused it returns when to come back.
func (l *Limiter) Admit(now core.Millis, id core.TeamID, limits tree.Limits, tokens float64) (core.Millis, bool) {
	t := l.team(id)
	t.arrive(now)
	running, demand := l.others(now, id)
	share := t.demand / (t.demand + demand)
	if limits.Concurrency > 0 && !withinConcurrency(t.running, running, limits.Concurrency, share) {
		return concurrencyRetry, false
	}
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

// withinConcurrency keeps a host to its share, or to one request while the sum leaves room.
func withinConcurrency(own, others, limit int, share float64) bool {
	if own+others >= limit {
		return false
	}
	return own < max(1, int(share*float64(limit)))
}

// Release counts an admitted request as ended, and charges the tokens that it used beyond the estimate.
func (l *Limiter) Release(id core.TeamID, extraTokens float64) {
	t := l.team(id)
	t.running = max(0, t.running-1)
	t.tokens.level -= extraTokens
}

// Usage returns what this host tells the others, in the order of the teams' names.
func (l *Limiter) Usage(now core.Millis) []Usage {
	var list []Usage
	for id, t := range l.teams {
		t.decay(now)
		if t.running > 0 || t.demand > 0.01 {
			list = append(list, Usage{Team: id, Running: t.running, Demand: t.demand})
		}
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// Remote takes in what another host reported.
func (l *Limiter) Remote(now core.Millis, host core.HostID, list []Usage) {
	usage := make(map[core.TeamID]Usage, len(list))
	for _, u := range list {
		usage[u.Team] = u
	}
	r := remote{host: host, usage: usage, heard: now}
	i, known := slices.BinarySearchFunc(l.remotes, host, func(r remote, h core.HostID) int { return cmp.Compare(r.host, h) })
	if known {
		l.remotes[i] = r
		return
	}
	l.remotes = slices.Insert(l.remotes, i, r)
}

func (l *Limiter) team(id core.TeamID) *team {
	t, ok := l.teams[id]
	if !ok {
		t = &team{}
		l.teams[id] = t
	}
	return t
}

func (l *Limiter) others(now core.Millis, id core.TeamID) (running int, demand float64) {
	l.remotes = slices.DeleteFunc(l.remotes, func(r remote) bool { return now-r.heard > RemoteTTL })
	for _, r := range l.remotes {
		u := r.usage[id]
		running += u.Running
		demand += u.Demand
	}
	return running, demand
}
