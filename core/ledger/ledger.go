package ledger

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

const (
	// Retention is how long a key is remembered after its issue; an older key is refused.
	Retention = 24 * 60 * 60 * core.Second
	// maxSkew is how far ahead of the system's time a key may have been issued.
	maxSkew = 5 * 60 * core.Second
)

// Key names one non-repeatable call of one organisation.
type Key struct {
	Organisation core.OrganisationID
	Text         string
}

// Phase says how far a call has come.
type Phase uint8

// The phases of a call.
const (
	// Reserved means that a host may be running the call.
	Reserved Phase = iota + 1
	// Done means that the answer is known.
	Done
	// Lost means that the call may have run and its host is gone.
	Lost
)

// Holder is one attempt of a host's life that has reserved a call.
type Holder struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Attempt     core.AttemptID
}

// Entry is what the ledger knows of a call.
type Entry struct {
	Phase    Phase
	Holder   Holder
	BodyHash uint64
	IssuedAt core.Millis
	Answer   Answer
}

// Answer is the kept result of a call.
type Answer struct {
	Outcome  core.Outcome
	Reason   core.Reason
	Status   int
	Endpoint core.EndpointID
	Body     []byte
}

// Verdict says what a reservation was told.
type Verdict uint8

// The answers to a reservation.
const (
	// Granted means that the holder may run the call.
	Granted Verdict = iota + 1
	// Pending means that another attempt of the same call is under way.
	Pending
	// Known means that the entry holds the final answer.
	Known
	// Reused means that the key was used for another body.
	Reused
	// Expired means that the key is older than the retention.
	Expired
	// Ahead means that the key was issued in the future.
	Ahead
)

// Ledger holds the calls of all organisations.
type Ledger struct {
	entries map[Key]Entry
	// reserved lists the calls that each host may be running.
	reserved map[core.HostID]map[Key]struct{}
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: map[Key]Entry{}, reserved: map[core.HostID]map[Key]struct{}{}}
}

// put stores an entry and keeps the list of reserved calls.
func (l *Ledger) put(k Key, e Entry) {
	l.entries[k] = e
	host := e.Holder.Host
	if e.Phase != Reserved {
		delete(l.reserved[host], k)
		return
	}
	if l.reserved[host] == nil {
		l.reserved[host] = map[Key]struct{}{}
	}
	l.reserved[host][k] = struct{}{}
}

func (l *Ledger) remove(k Key) {
	delete(l.reserved[l.entries[k].Holder.Host], k)
	delete(l.entries, k)
}

// Len returns the number of remembered calls.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Get returns what is known of a call.
func (l *Ledger) Get(k Key) (Entry, bool) {
	e, ok := l.entries[k]
	return e, ok
}

// Reserve asks for the right to run a call at the given Unix time.
func (l *Ledger) Reserve(now core.Millis, k Key, issuedAt core.Millis, bodyHash uint64, h Holder) (Verdict, Entry) {
	if e, ok := l.entries[k]; ok {
		return again(e, bodyHash, h)
	}
	if issuedAt < now-Retention {
		return Expired, Entry{}
	}
	if issuedAt > now+maxSkew {
		return Ahead, Entry{}
	}
	e := Entry{Phase: Reserved, Holder: h, BodyHash: bodyHash, IssuedAt: issuedAt}
	l.put(k, e)
	return Granted, e
}

// again answers a reservation whose key is known; the same attempt that asks twice keeps its right.
func again(e Entry, bodyHash uint64, h Holder) (Verdict, Entry) {
	if e.BodyHash != bodyHash {
		return Reused, Entry{}
	}
	if e.Phase == Reserved && e.Holder == h {
		return Granted, e
	}
	if e.Phase == Reserved {
		return Pending, e
	}
	return Known, e
}

// Finish keeps the answer of a call if the holder has reserved it or lost it, and reports whether it did.
func (l *Ledger) Finish(k Key, h Holder, a Answer) bool {
	e, ok := l.entries[k]
	if !ok || e.Phase == Done || e.Holder != h {
		return false
	}
	e.Phase = Done
	e.Answer = a
	l.put(k, e)
	return true
}

// Release forgets a reservation whose holder has proof that nothing was sent, and reports whether it did.
func (l *Ledger) Release(k Key, h Holder) bool {
	e, ok := l.entries[k]
	if !ok || e.Phase == Done || e.Holder != h {
		return false
	}
	l.remove(k)
	return true
}

// Resolve replaces an unknown outcome by what the endpoint has said about the call, and reports whether it did.
func (l *Ledger) Resolve(k Key, a Answer) bool {
	e, ok := l.entries[k]
	if !ok || e.Phase == Reserved || e.Answer.Outcome != core.Unknown {
		return false
	}
	e.Phase = Done
	e.Answer = a
	l.put(k, e)
	return true
}

// LoseHost marks every call reserved by the host's lives up to the given one as lost and returns their number.
func (l *Ledger) LoseHost(host core.HostID, upTo core.Incarnation) int {
	n := 0
	for k := range l.reserved[host] {
		e := l.entries[k]
		if e.Holder.Incarnation > upTo {
			continue
		}
		e.Phase = Lost
		e.Answer = Answer{Outcome: core.Unknown, Reason: core.ReasonConnectionLost}
		l.put(k, e)
		n++
	}
	return n
}

// Purge forgets the calls whose keys would be refused as expired.
func (l *Ledger) Purge(now core.Millis) {
	for k, e := range l.entries {
		if e.IssuedAt < now-Retention {
			l.remove(k)
		}
	}
}

// Record is an entry with its key, for snapshots.
type Record struct {
	Key   Key
	Entry Entry
}

// Records returns every entry in a fixed order.
func (l *Ledger) Records() []Record {
	list := make([]Record, 0, len(l.entries))
	for k, e := range l.entries {
		list = append(list, Record{Key: k, Entry: e})
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Key.Organisation, b.Key.Organisation), cmp.Compare(a.Key.Text, b.Key.Text))
	})
	return list
}

// Restore returns a ledger with the given entries.
func Restore(list []Record) *Ledger {
	l := New()
	for _, r := range list {
		l.put(r.Key, r.Entry)
	}
	return l
}

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"None", "Reserved", "Done", "Lost"}[min(p, Lost)]
}
