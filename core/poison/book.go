package poison

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
)

const (
	// suspicionTTL is how long a suspicion is remembered after the last crash, or after the end of the last conviction.
	suspicionTTL = 60 * 60 * core.Second
	// notedTTL is how long crashes that do not yet make a suspicion are remembered. It exceeds the time for which
	// clients keep retrying a request.
	notedTTL = 10 * 60 * core.Second
	// maxTrialTime is the longest time a trial may take. After that its endpoint and its suspect are free for another
	// trial.
	maxTrialTime = 2 * 60 * core.Second
	// firstConviction is how long a first conviction lasts. It is short because a harmless request may be convicted if
	// the endpoint of its trial crashes for another reason. Each further conviction lasts convictionGrowth times as
	// long.
	firstConviction  = 60 * core.Second
	convictionGrowth = 10
	// maxTimedConvictions is how many convictions of a request expire by themselves. A later one lasts until an
	// operator releases the request.
	maxTimedConvictions = 3
	// minRetryAfter and maxRetryAfter limit the retry time that the client of a convicted request is given: clocks
	// differ, and an operator may release the request before its conviction expires.
	minRetryAfter = core.Second
	maxRetryAfter = firstConviction
	// maxSuspects limits the requests that are remembered.
	maxSuspects = 10_000
	// evictionBatch is the number of entries that are evicted at once, so that not every new entry has to sort them
	// all.
	evictionBatch = maxSuspects / 16
	// maxRecordedCrashes limits the crashed incarnations that are remembered for one request in order to count each
	// crash once.
	maxRecordedCrashes = 8
)

// Standing is the quarantine state of a request.
type Standing uint8

// The quarantine states of a request.
const (
	// Clear means that no crash is on record.
	Clear Standing = iota
	// Suspected means that the request was running on endpoints that crashed and may now run only in a trial.
	Suspected
	// Convicted means that the request crashed an endpoint while no other suspect was running there. It is rejected.
	Convicted
	// Noted means that the request was running on endpoints that crashed, but on too few of them for a suspicion.
	Noted
)

// String returns the name of the state as used in log lines.
func (s Standing) String() string {
	return [...]string{"Clear", "Suspected", "Convicted", "Noted"}[s]
}

// Crash is the crash of an endpoint's incarnation that was running a request.
type Crash struct {
	Content      Content
	Organisation core.OrganisationID
	Life         core.Life
	// SuspectAfter is the number of crashes after which the request is suspected; 0 means 1.
	SuspectAfter int
	// Alone means that the endpoint ran no other suspect. The crash then convicts a suspected request even if no trial
	// is on record.
	Alone bool
}

// Entry is the crash record of one request.
type Entry struct {
	Content      Content
	Organisation core.OrganisationID
	Standing     Standing
	Crashes      int
	// Since and Last are when the first and the last crash were counted.
	Since, Last core.Millis
	// Lives are the last incarnations whose crash was counted.
	Lives []core.Life
	// Sentences is the number of convictions. Till is when the current one expires; 0 if only an operator can end it.
	Sentences int
	Till      core.Millis
	// Trial is the endpoint on which the suspect runs in a trial; empty if it is in none.
	Trial                 core.EndpointID
	TrialBegan, TrialTill core.Millis
}

// StandingAt returns the state at a time of day. An expired conviction counts as a suspicion.
func (e Entry) StandingAt(unix core.Millis) Standing {
	if e.Standing == Convicted && e.Till > 0 && unix >= e.Till {
		return Suspected
	}
	return e.Standing
}

// RetryAfter returns how long the client of a convicted request should wait before it retries.
func (e Entry) RetryAfter(unix core.Millis) core.Millis {
	if e.Till == 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, e.Till-unix))
}

// Published reports whether the entry is distributed to all hosts.
func (e Entry) Published() bool { return e.Standing == Suspected || e.Standing == Convicted }

// Quarantine holds the crash records and the running trials of the whole deployment.
type Quarantine struct {
	entries map[Content]Entry
	trials  map[core.EndpointID]Content
	changed map[Content]bool
}

// New returns a quarantine without entries.
func New() *Quarantine {
	return &Quarantine{entries: map[Content]Entry{}, trials: map[core.EndpointID]Content{}, changed: map[Content]bool{}}
}

// Get returns the entry of a request; its Standing is Clear if there is none.
func (b *Quarantine) Get(c Content) Entry {
	return b.entries[c]
}

// TakeChanges returns the requests whose entries have changed since the last call, in sorted order.
func (b *Quarantine) TakeChanges() []Content {
	list := slices.Sorted(maps.Keys(b.changed))
	clear(b.changed)
	return list
}

// RecordCrash counts a crash against a request and returns its entry. A crash in a trial convicts the request.
//
// Several hosts may report the same crash, which counts once.
func (b *Quarantine) RecordCrash(now core.Millis, c Crash) Entry {
	e, ok := b.entries[c.Content]
	if !ok {
		b.evict()
		e = Entry{Content: c.Content, Organisation: c.Organisation, Since: now, Standing: Noted}
	}
	convicts := e.StandingAt(now) == Suspected && (c.Alone || e.Trial != "" && e.Trial == c.Life.Endpoint)
	if !slices.Contains(e.Lives, c.Life) {
		e.Lives = append(slices.Clone(e.Lives), c.Life)
		if len(e.Lives) > maxRecordedCrashes {
			e.Lives = e.Lives[1:]
		}
		e.Crashes++
		e.Last = now
	} else if !convicts {
		return e
	}
	switch {
	case convicts:
		b.clearTrial(&e)
		e = e.convict(now)
	case e.Standing == Noted && e.Crashes >= c.SuspectAfter:
		e.Standing = Suspected
	}
	b.store(e)
	return e
}

// convict returns the entry of a suspect after a crash in its trial.
func (e Entry) convict(now core.Millis) Entry {
	e.Standing, e.Till = Convicted, convictedUntil(now, e.Sentences)
	e.Sentences++
	return e
}

// convictedUntil returns when a conviction after the given number of earlier ones expires, 0 if only an operator can end it. Each
// conviction lasts longer than the one before.
func convictedUntil(now core.Millis, earlier int) core.Millis {
	if earlier >= maxTimedConvictions {
		return 0
	}
	duration := firstConviction
	for range earlier {
		duration *= convictionGrowth
	}
	return now + duration
}

// BeginTrial starts a trial of a suspect on an endpoint. A limit that is zero, negative or above maxTrialTime counts as
// maxTrialTime. The result is false if the request is not suspected, or if the request or the endpoint is already in a
// trial.
func (b *Quarantine) BeginTrial(now core.Millis, c Content, endpoint core.EndpointID, limit core.Millis) bool {
	e, ok := b.entries[c]
	if !ok || e.StandingAt(now) != Suspected {
		return false
	}
	if e.Trial != "" && now < e.TrialTill {
		return false
	}
	if occupant, busy := b.trials[endpoint]; busy && now < b.entries[occupant].TrialTill {
		return false
	}
	b.clearTrial(&e)
	if limit <= 0 || limit > maxTrialTime {
		limit = maxTrialTime
	}
	e.Standing, e.Till = Suspected, 0
	e.Trial, e.TrialBegan, e.TrialTill = endpoint, now, now+limit
	b.trials[endpoint] = c
	b.store(e)
	return true
}

// EndTrial ends a trial. A suspect that passed is cleared.
func (b *Quarantine) EndTrial(c Content, endpoint core.EndpointID, passed bool) {
	e, ok := b.entries[c]
	if !ok || e.Trial != endpoint {
		return
	}
	b.clearTrial(&e)
	b.store(e)
	if passed {
		delete(b.entries, c)
	}
}

// Release removes the entry of a request and reports whether there was one.
func (b *Quarantine) Release(c Content) bool {
	e, ok := b.entries[c]
	if !ok {
		return false
	}
	b.clearTrial(&e)
	b.store(e)
	delete(b.entries, c)
	return true
}

// Purge removes expired crash records and suspicions. An expired conviction counts as a suspicion.
func (b *Quarantine) Purge(now core.Millis) {
	for c, e := range b.entries {
		ttl := suspicionTTL
		if e.Standing == Noted {
			ttl = notedTTL
		}
		if e.StandingAt(now) != Convicted && now >= e.TrialTill && now-max(e.Last, e.Since, e.Till) > ttl {
			b.Release(c)
		}
	}
}

// Entries returns all entries sorted by content.
func (b *Quarantine) Entries() []Entry {
	list := make([]Entry, 0, len(b.entries))
	for _, e := range b.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(x, y Entry) int { return cmp.Compare(x.Content, y.Content) })
	return list
}

// Restore returns a quarantine with the given entries.
func Restore(list []Entry) *Quarantine {
	b := New()
	for _, e := range list {
		b.entries[e.Content] = e
		if e.Trial != "" {
			b.trials[e.Trial] = e.Content
		}
	}
	return b
}

func (b *Quarantine) store(e Entry) {
	b.entries[e.Content] = e
	b.changed[e.Content] = true
}

func (b *Quarantine) clearTrial(e *Entry) {
	if e.Trial != "" && b.trials[e.Trial] == e.Content {
		delete(b.trials, e.Trial)
	}
	e.Trial, e.TrialBegan, e.TrialTill = "", 0, 0
}

// evict removes the least important entries when the limit is reached: the oldest noted ones first, then the oldest
// suspicions, then the oldest convictions.
func (b *Quarantine) evict() {
	if len(b.entries) < maxSuspects {
		return
	}
	list := b.Entries()
	slices.SortFunc(list, compareEviction)
	for _, e := range list[:evictionBatch] {
		b.Release(e.Content)
	}
}

// evictionRank orders the states by importance. Entries with the lowest rank are evicted first.
var evictionRank = map[Standing]int{Noted: 0, Suspected: 1, Convicted: 2}

func compareEviction(a, b Entry) int {
	return cmp.Or(cmp.Compare(evictionRank[a.Standing], evictionRank[b.Standing]), cmp.Compare(a.Last, b.Last), cmp.Compare(a.Content, b.Content))
}
