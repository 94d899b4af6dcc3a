package drill

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/io/admin"
	"cyclamenford/io/caller"
)

// Answer is what a caller got for a pipeline request.
type Answer struct {
	Body   []byte
	Host   string
	Stream bool
	Reply  caller.Reply
	Err    error
}

// Call is a non-repeatable call with the replies to all its sendings.
type Call struct {
	Key     string
	Replies []caller.Reply
}

// Change is an operator's change of the raced subtree.
type Change struct {
	Version  uint64
	Doc      []byte
	Accepted bool
	Refused  bool
	Revision uint64
}

// Record is everything that callers, operators and endpoints have seen.
type Record struct {
	mu      sync.Mutex
	Answers []Answer
	Calls   []Call
	Changes []Change
	// History is the raced subtree's history at the end, and Versions the version that each host has in force.
	History  []admin.Subtree
	Versions []uint64
	// Effects counts the runs of each non-repeatable call, and Seen the runs of each request, over all endpoints.
	Effects map[string]int
	Seen    map[core.RequestID]int
	// Lost names the callers' listeners of the hosts that were killed.
	Lost    map[string]bool
	Crashes map[core.EndpointID]int
	// CrashTimes are the times of these crashes since the record began.
	CrashTimes []time.Duration
	began      time.Time
	// NewWork counts, for endpoints that have left, the runs begun after their mark.
	NewWork map[core.EndpointID]int64
	// Failures tells of hosts that did not end when asked to, or ended unasked.
	Failures []string
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		Effects: map[string]int{}, Seen: map[core.RequestID]int{}, Lost: map[string]bool{},
		Crashes: map[core.EndpointID]int{}, NewWork: map[core.EndpointID]int64{}, began: time.Now(),
	}
}

func (r *Record) answer(a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Answers = append(r.Answers, a)
}

func (r *Record) call(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls = append(r.Calls, c)
}

func (r *Record) change(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Changes = append(r.Changes, c)
}

func (r *Record) crash(id core.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Crashes[id]++
	r.CrashTimes = append(r.CrashTimes, time.Since(r.began).Round(time.Millisecond))
}

func (r *Record) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Failures = append(r.Failures, err.Error())
}

func (r *Record) lose(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Lost[host] = true
}

// Record returns a copy of what was seen until now, with the endpoints' counts.
func (x *Drill) Record() *Record {
	// The counts are read last, so that they hold every run that a reply tells of.
	r := x.record.copied()
	for _, s := range x.allStands() {
		for key, n := range s.Runs() {
			r.Effects[key] += n
		}
		for id, n := range s.Seen() {
			r.Seen[id] += n
		}
	}
	for id, before := range x.markedStarts() {
		if s, err := x.stand(string(id)); err == nil {
			r.NewWork[id] = s.Started() - before
		}
	}
	return r
}

func (r *Record) copied() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := NewRecord()
	c.Answers, c.Calls, c.Changes = slices.Clone(r.Answers), slices.Clone(r.Calls), slices.Clone(r.Changes)
	c.History, c.Versions = slices.Clone(r.History), slices.Clone(r.Versions)
	c.Lost, c.Crashes, c.CrashTimes = maps.Clone(r.Lost), maps.Clone(r.Crashes), slices.Clone(r.CrashTimes)
	c.began, c.Failures = r.began, slices.Clone(r.Failures)
	return c
}

func (x *Drill) markedStarts() map[core.EndpointID]int64 {
	x.record.mu.Lock()
	defer x.record.mu.Unlock()
	return maps.Clone(x.marks)
}

// Expected returns the text that the deployment's pipeline must give for a body.
func (x *Drill) Expected(body []byte) (string, error) {
	p := x.plan()
	return expect(x, body, p)
}
