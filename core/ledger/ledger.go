package ledger

import (
	"cmp"
	"slices"

	"cyclamenford/core"
)

const (
	// Retention is how long a key is kept after the time of issue that it carries. Older keys are rejected.
	Retention = 24 * 60 * 60 * core.Second
	// maxSkew is the maximum by which a key's time of issue may lie ahead of the system's time.
	maxSkew = 5 * 60 * core.Second
)

// Key identifies one non-repeatable call of one organisation; Text is the idempotency key.
type Key struct {
	Organisation core.OrganisationID
	Text         string
}

// Phase is the state of a call.
type Phase uint8

// The phases of a call.
const (
	// Reserved means that a host may be running the call.
	Reserved Phase = iota + 1
	// Done means that the answer is known.
	Done
	// Lost means that the host ended while it may have been running the call, so that the outcome is unknown.
	Lost
)

// Holder identifies the attempt that has reserved a call, and the incarnation of its host.
type Holder struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Attempt     core.AttemptID
}

// Entry is the recorded state of a call.
type Entry struct {
	Phase    Phase
	Holder   Holder
	BodyHash uint64
	IssuedAt core.Millis
	Answer   Answer
}

// Answer is the recorded result of a call.
type Answer struct {
	Outcome  core.Outcome
	Reason   core.Reason
	Status   int
	Endpoint core.EndpointID
	Body     []byte
}

// Verdict is the result of a reservation.
type Verdict uint8

// The possible results of a reservation.
const (
	// Granted means that the holder may run the call.
	Granted Verdict = iota + 1
	// Pending means that another attempt has reserved the call and may be running it.
	Pending
	// Answered means that the call has ended and the entry holds its answer.
	Answered
	// KeyReused means that the key was used before with a different body.
	KeyReused
	// Expired means that the key is older than the retention.
	Expired
	// IssuedInFuture means that the key's time of issue lies too far in the future.
	IssuedInFuture
)

// Ledger holds the non-repeatable calls of all organisations.
type Ledger struct {
	entries map[Key]Entry
	// reservedByHost indexes the calls in phase Reserved by host.
	reservedByHost map[core.HostID]map[Key]struct{}
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: map[Key]Entry{}, reservedByHost: map[core.HostID]map[Key]struct{}{}}
}

// put stores an entry and updates the index of reserved calls.
func (l *Ledger) put(k Key, e Entry) {
	l.entries[k] = e
	host := e.Holder.Host
	if e.Phase != Reserved {
		delete(l.reservedByHost[host], k)
		return
	}
	if l.reservedByHost[host] == nil {
		l.reservedByHost[host] = map[Key]struct{}{}
	}
	l.reservedByHost[host][k] = struct{}{}
}

func (l *Ledger) remove(k Key) {
	delete(l.reservedByHost[l.entries[k].Holder.Host], k)
	delete(l.entries, k)
}

// Len returns the number of calls in the ledger.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Get returns the entry of a call.
func (l *Ledger) Get(k Key) (Entry, bool) {
	e, ok := l.entries[k]
	return e, ok
}

// Reserve reserves a call for a holder at the Unix time now. The verdict says whether the holder may run it.
func (l *Ledger) Reserve(now core.Millis, k Key, issuedAt core.Millis, bodyHash uint64, h Holder) (Verdict, Entry) {
	if e, ok := l.entries[k]; ok {
		return verdictOnKnownKey(e, bodyHash, h)
	}
	if issuedAt < now-Retention {
		return Expired, Entry{}
	}
	if issuedAt > now+maxSkew {
		return IssuedInFuture, Entry{}
	}
	e := Entry{Phase: Reserved, Holder: h, BodyHash: bodyHash, IssuedAt: issuedAt}
	l.put(k, e)
	return Granted, e
}

// verdictOnKnownKey returns the verdict on a key that already has an entry. A repeated reservation of the same attempt is
// granted again.
func verdictOnKnownKey(e Entry, bodyHash uint64, h Holder) (Verdict, Entry) {
	if e.BodyHash != bodyHash {
		return KeyReused, Entry{}
	}
	if e.Phase == Reserved && e.Holder == h {
		return Granted, e
	}
	if e.Phase == Reserved {
		return Pending, e
	}
	return Answered, e
}

// Finish records the answer of a call and reports whether it did. It requires that the holder has reserved the call; the
// call may since have been marked as lost.
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

// Release removes the reservation of a call that its holder has provably not sent, and reports whether it did. The call
// may since have been marked as lost.
func (l *Ledger) Release(k Key, h Holder) bool {
	e, ok := l.entries[k]
	if !ok || e.Phase == Done || e.Holder != h {
		return false
	}
	l.remove(k)
	return true
}

// Resolve replaces an unknown outcome by the answer that the endpoint has reported for the call, and reports whether it
// did.
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

// MarkHostLost marks every call reserved by incarnations of the host up to the given one as lost, with an unknown outcome,
// and returns their number.
func (l *Ledger) MarkHostLost(host core.HostID, upTo core.Incarnation) int {
	n := 0
	for k := range l.reservedByHost[host] {
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

// Purge removes the calls whose keys a reservation would reject as expired.
func (l *Ledger) Purge(now core.Millis) {
	for k, e := range l.entries {
		if e.IssuedAt < now-Retention {
			l.remove(k)
		}
	}
}

// Record is an entry with its key, as stored in snapshots.
type Record struct {
	Key   Key
	Entry Entry
}

// Records returns all entries, sorted by key.
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

// Restore returns a ledger with the given records.
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
