package poison

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
)

const (
	// partCrashesToSuspect is the number of crashes, of different requests, after which requests with a part run only in trials.
	partCrashesToSuspect = 2
	// maxParts limits the parts that are remembered, and partEvictionBatch how many are evicted at once.
	maxParts          = 2048
	partEvictionBatch = maxParts / 16
	// maxCountedRequests limits the requests that are remembered for one part in order to count each request once.
	maxCountedRequests = 8
)

// Identity is what the quarantine knows a request by: its content, and the parts of its prompt that other requests share.
type Identity struct {
	Content Content
	Parts   []Content
}

// PartCrash is the crash of an endpoint that was running a request of whose answer nothing had arrived.
type PartCrash struct {
	Parts   []Content
	Request Content
	Life    core.Life
	// SentAt is when the request was sent to the endpoint.
	SentAt core.Millis
}

// PartEntry is the crash record of one part of prompts.
type PartEntry struct {
	Part     Content
	Standing Standing
	Crashes  int
	// Since and Last are when the first and the last crash were counted.
	Since, Last core.Millis
	// Requests are the last requests whose crash was counted.
	Requests []Content
	// With are the other parts that the trial of the last conviction held. Any of them may be the one that crashes endpoints.
	With []Content
	// Sentences is the number of convictions. Till is when the current one expires; 0 if only an operator can end it.
	Sentences int
	Till      core.Millis
	// Trial is the endpoint of the request in whose trial the part is, until TrialTill; empty if it is in none.
	Trial     core.EndpointID
	TrialTill core.Millis
}

// StandingAt returns the state at a time of day. An expired conviction counts as a suspicion.
func (e PartEntry) StandingAt(unix core.Millis) Standing {
	if e.Standing == Convicted && e.Till > 0 && unix >= e.Till {
		return Suspected
	}
	return e.Standing
}

// RetryAfter returns how long the client of a request with a convicted part should wait before it retries.
func (e PartEntry) RetryAfter(unix core.Millis) core.Millis {
	return Entry{Till: e.Till}.RetryAfter(unix)
}

// Verdict is what follows for a request from the parts of its prompt.
type Verdict struct {
	// Standing is Clear, Suspected or Convicted.
	Standing Standing
	// Worst is the convicted part, or one of the suspects.
	Worst PartEntry
	// Suspects are the parts that a trial of the request would hold.
	Suspects []Content
}

// Judge returns what follows from the records of parts for a request with the given parts. A part that was convicted together
// with others counts as suspected in a request that does not hold all of these: its trial tells which of them is to blame.
func Judge(entries map[Content]PartEntry, unix core.Millis, parts []Content) Verdict {
	var v Verdict
	for _, p := range parts {
		e, ok := entries[p]
		if !ok {
			continue
		}
		switch e.StandingAt(unix) {
		case Convicted:
			if containsAll(parts, e.With) {
				return Verdict{Standing: Convicted, Worst: e}
			}
			fallthrough
		case Suspected:
			v.Standing, v.Worst = Suspected, e
			v.Suspects = append(v.Suspects, p)
		}
	}
	return v
}

func containsAll(list, wanted []Content) bool {
	return !slices.ContainsFunc(wanted, func(c Content) bool { return !slices.Contains(list, c) })
}

// Parts holds the crash records of parts of prompts in the whole deployment.
type Parts struct {
	entries map[Content]PartEntry
	changed map[Content]bool
}

// NewParts returns an empty set of records.
func NewParts() *Parts {
	return &Parts{entries: map[Content]PartEntry{}, changed: map[Content]bool{}}
}

// RestoreParts returns a set with the given records.
func RestoreParts(list []PartEntry) *Parts {
	b := NewParts()
	for _, e := range list {
		b.entries[e.Part] = e
	}
	return b
}

// Get returns the record of a part; its Standing is Clear if there is none.
func (b *Parts) Get(part Content) PartEntry { return b.entries[part] }

// Entries returns all records sorted by part.
func (b *Parts) Entries() []PartEntry {
	return slices.SortedFunc(maps.Values(b.entries), func(x, y PartEntry) int { return cmp.Compare(x.Part, y.Part) })
}

// TakeChanges returns the parts whose records have changed since the last call, in sorted order.
func (b *Parts) TakeChanges() []Content {
	list := slices.Sorted(maps.Keys(b.changed))
	clear(b.changed)
	return list
}

// RecordCrash counts a crash against the parts of a request and returns the records of those that have one. If the request ran in a trial of some of
// its parts, these are convicted.
//
// A part counts a request once, and only if it was sent after the last crash that was counted: a whole failure domain may end at
// once with sound requests at several endpoints.
func (b *Parts) RecordCrash(now core.Millis, c PartCrash) []PartEntry {
	var tried []Content
	for _, p := range c.Parts {
		if e, ok := b.entries[p]; ok && e.Trial != "" && e.Trial == c.Life.Endpoint {
			tried = append(tried, p)
		}
	}
	for _, p := range tried {
		b.store(b.entries[p].convict(now, slices.DeleteFunc(slices.Clone(tried), func(o Content) bool { return o == p })))
	}
	var list []PartEntry
	for _, p := range c.Parts {
		if len(tried) == 0 {
			b.count(now, p, c)
		}
		if e, ok := b.entries[p]; ok {
			list = append(list, e)
		}
	}
	return list
}

// count counts a crash against one part.
func (b *Parts) count(now core.Millis, part Content, c PartCrash) {
	e, ok := b.entries[part]
	if !ok {
		b.evict()
		e = PartEntry{Part: part, Standing: Noted, Since: now}
	}
	if ok && (c.SentAt < e.Last || slices.Contains(e.Requests, c.Request)) || e.StandingAt(now) == Convicted {
		return
	}
	e.Requests = append(slices.Clone(e.Requests), c.Request)
	if len(e.Requests) > maxCountedRequests {
		e.Requests = e.Requests[1:]
	}
	e.Crashes++
	e.Last = now
	if e.Standing == Noted && e.Crashes >= partCrashesToSuspect {
		e.Standing = Suspected
	}
	b.store(e)
}

// convict returns the record after a crash in a trial that also held the given other parts.
func (e PartEntry) convict(now core.Millis, with []Content) PartEntry {
	e.Standing, e.Trial, e.TrialTill, e.Last = Convicted, "", 0, now
	e.Crashes++
	e.With = with
	e.Till = convictedUntil(now, e.Sentences)
	e.Sentences++
	return e
}

// BeginTrial starts the trial of a request at an endpoint for the given parts of its prompt. The result is false if one of them is
// not suspected, nor convicted together with others, or if one of them or the endpoint is already in a trial.
func (b *Parts) BeginTrial(now core.Millis, parts []Content, endpoint core.EndpointID, limit core.Millis) bool {
	for _, p := range parts {
		e := b.entries[p]
		standing := e.StandingAt(now)
		if standing != Suspected && (standing != Convicted || len(e.With) == 0) || e.Trial != "" && now < e.TrialTill {
			return false
		}
	}
	for _, e := range b.entries {
		if e.Trial == endpoint && now < e.TrialTill {
			return false
		}
	}
	if limit <= 0 || limit > maxTrialTime {
		limit = maxTrialTime
	}
	for _, p := range parts {
		e := b.entries[p]
		e.Trial, e.TrialTill = endpoint, now+limit
		b.store(e)
	}
	return true
}

// EndTrial ends a trial at an endpoint that has shown nothing about the parts.
func (b *Parts) EndTrial(parts []Content, endpoint core.EndpointID) {
	for _, p := range parts {
		if e, ok := b.entries[p]; ok && e.Trial == endpoint {
			e.Trial, e.TrialTill = "", 0
			b.store(e)
		}
	}
}

// Clear removes the records of parts on which an endpoint has begun an answer, and reports whether there was one. Parts that were
// convicted together with them are then to blame without them.
func (b *Parts) Clear(parts []Content) bool {
	cleared := false
	isCleared := func(c Content) bool { return slices.Contains(parts, c) }
	for p, e := range b.entries {
		switch {
		case isCleared(p):
			b.remove(p)
			cleared = true
		case slices.ContainsFunc(e.With, isCleared):
			e.With = slices.DeleteFunc(slices.Clone(e.With), isCleared)
			b.store(e)
		}
	}
	return cleared
}

// Purge removes records whose last crash or conviction is past its retention.
func (b *Parts) Purge(now core.Millis) {
	for p, e := range b.entries {
		ttl := suspicionTTL
		if e.Standing == Noted {
			ttl = notedTTL
		}
		if e.StandingAt(now) != Convicted && now >= e.TrialTill && now-max(e.Last, e.Till) > ttl {
			b.remove(p)
		}
	}
}

func (b *Parts) store(e PartEntry) {
	b.entries[e.Part] = e
	b.changed[e.Part] = true
}

func (b *Parts) remove(part Content) {
	delete(b.entries, part)
	b.changed[part] = true
}

// evict removes the least important records when the limit is reached: by standing, then the oldest ones.
func (b *Parts) evict() {
	if len(b.entries) < maxParts {
		return
	}
	list := b.Entries()
	slices.SortFunc(list, func(x, y PartEntry) int {
		return cmp.Or(cmp.Compare(evictionRank[x.Standing], evictionRank[y.Standing]), cmp.Compare(x.Last, y.Last), cmp.Compare(x.Part, y.Part))
	})
	for _, e := range list[:partEvictionBatch] {
		b.remove(e.Part)
	}
}
