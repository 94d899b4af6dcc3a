package spool

import (
	"math"

	"cyclamenford/core"
)

const (
	// rateWindow is the time over which the rate of a client is averaged, with exponentially falling weights.
	rateWindow    = 2 * core.Second
	windowSeconds = float64(rateWindow) / float64(core.Second)
	// priorRate is the assumed rate, in bytes per second, of a client that has just begun to read slowly: about 100 events per second.
	// Without it such a client would count as one that has stopped reading.
	priorRate = 16 << 10
	// slowestRate limits the rate from below, so that clients that do not read are ordered by what is held for them.
	slowestRate = 1
)

// ID identifies an answer on its host.
type ID uint64

// Verdict says what becomes of bytes that an answer would hold.
type Verdict string

const (
	// Hold means that the bytes are accounted for and may be held.
	Hold Verdict = "Hold"
	// Wait means that the bytes may not be held: the endpoint is not read until the client has taken what is held for it.
	Wait Verdict = "Wait"
	// End means that an answer must end first. The caller reports with Release what that frees, and asks again.
	End Verdict = "End"
)

// Decision is the verdict about an answer's bytes.
type Decision struct {
	Verdict Verdict
	// Ends is the answer that ends, with the bytes that are held for it, the rate of its client in bytes per second, and the time since
	// the client last read, if the verdict is End.
	Ends      ID
	Held      int64
	Rate      float64
	SinceRead core.Millis
}

// answer is an answer that holds bytes.
type answer struct {
	id        ID
	resumable bool
	held      int64
	// level is the sum of the bytes that the client has read, weighted by their age at the time at.
	level float64
	at    core.Millis
	// readAt is when the client last read, or when the answer first held bytes.
	readAt core.Millis
	// paused means that the answer holds no further bytes until none are held, and ended that it was chosen to end.
	paused, ended bool
}

// Spool accounts for the bytes that the answers of a host hold. It is not safe for concurrent use.
type Spool struct {
	budget int64
	// fixed is the number of bytes that cannot be given up, such as request bodies.
	fixed, held, most int64
	ended             int64
	answers           map[ID]*answer
}

// New returns a spool with a budget in bytes.
func New(budget int64) *Spool {
	return &Spool{budget: budget, answers: map[ID]*answer{}}
}

// Add decides whether an answer may hold n more bytes. Answers without bytes need not be known before.
func (s *Spool) Add(now core.Millis, id ID, resumable bool, n int64) Decision {
	self, known := s.answers[id]
	switch {
	case known && (self.paused || self.ended):
		return Decision{Verdict: Wait}
	case n > s.budget-s.fixed:
		// Ending all other answers would not help.
		return Decision{Verdict: Wait}
	case !known:
		self = &answer{id: id, resumable: resumable, level: priorRate * windowSeconds, at: now, readAt: now}
	}
	if s.Fits(n) {
		s.answers[id] = self
		self.held += n
		s.held += n
		s.most = max(s.most, s.Held())
		return Decision{Verdict: Hold}
	}
	return s.choose(now, self, n)
}

// AddFixed accounts for n bytes that are held whatever the decision, and cannot be given up. It returns a decision to end an answer as
// long as the budget is exceeded and that would help.
func (s *Spool) AddFixed(now core.Millis, n int64) Decision {
	s.fixed += n
	s.most = max(s.most, s.Held())
	return s.Shrink(now)
}

// Fits reports whether n more bytes are within the budget.
func (s *Spool) Fits(n int64) bool { return s.Held()+n <= s.budget }

// Force accounts for n bytes that an answer holds whatever the decision, to complete an event of which its client has a part.
func (s *Spool) Force(now core.Millis, id ID, resumable bool, n int64) {
	a, known := s.answers[id]
	if !known {
		a = &answer{id: id, resumable: resumable, ended: true, at: now, readAt: now}
		s.answers[id] = a
	}
	a.held += n
	s.held += n
	s.most = max(s.most, s.Held())
}

// ReleaseFixed gives back n bytes of AddFixed.
func (s *Spool) ReleaseFixed(n int64) { s.fixed -= n }

// Shrink returns a decision to end an answer if the budget is exceeded and there is one that may end.
func (s *Spool) Shrink(now core.Millis) Decision {
	if s.Fits(0) {
		return Decision{Verdict: Hold}
	}
	return s.choose(now, nil, 0)
}

// choose returns which answer ends so that self may hold n more bytes: the one whose client needs longest to read what is held for it.
// Those that cannot be resumed are paused instead, and the next one is taken.
func (s *Spool) choose(now core.Millis, self *answer, n int64) Decision {
	for {
		worst, most := (*answer)(nil), 0.0
		consider := func(a *answer, held int64) {
			// Pausing an answer again frees nothing, and would make a decision cost the square of the number of paused answers.
			if a.ended || a.paused {
				return
			}
			t := float64(held) / a.rate(now)
			if worst == nil || t > most || t == most && a.id < worst.id {
				worst, most = a, t
			}
		}
		for id, a := range s.answers {
			if self == nil || id != self.id {
				consider(a, a.held)
			}
		}
		if self != nil {
			consider(self, self.held+n)
		}
		switch {
		case worst == nil:
			return Decision{Verdict: Wait}
		case worst.resumable:
			worst.ended = true
			s.ended++
			return Decision{
				Verdict: End, Ends: worst.id, Held: worst.held, Rate: worst.rate(now), SinceRead: now - worst.readAt,
			}
		case worst == self:
			self.paused = self.held > 0
			return Decision{Verdict: Wait}
		}
		worst.paused = true
	}
}

// Read records that the client of an answer has read n bytes.
func (s *Spool) Read(now core.Millis, id ID, n int64) {
	if a, ok := s.answers[id]; ok && n > 0 {
		a.level, a.at, a.readAt = a.weighted(now)+float64(n), now, now
	}
}

// Release gives back n bytes of an answer. An answer that holds none is forgotten.
func (s *Spool) Release(id ID, n int64) {
	a, ok := s.answers[id]
	if !ok {
		return
	}
	n = min(n, a.held)
	a.held -= n
	s.held -= n
	if a.held == 0 {
		delete(s.answers, id)
	}
}

// Held returns the number of bytes that are held.
func (s *Spool) Held() int64 { return s.held + s.fixed }

// Most returns the largest number of bytes that were held so far.
func (s *Spool) Most() int64 { return s.most }

// Budget returns the number of bytes that may be held.
func (s *Spool) Budget() int64 { return s.budget }

// Ended returns how many answers were chosen to end.
func (s *Spool) Ended() int64 { return s.ended }

// Answers returns the number of answers that hold bytes.
func (s *Spool) Answers() int { return len(s.answers) }

// weighted returns the level of an answer at a time.
func (a *answer) weighted(now core.Millis) float64 {
	return a.level * math.Exp(-float64(max(0, now-a.at))/float64(rateWindow))
}

// rate returns the rate of an answer's client in bytes per second.
func (a *answer) rate(now core.Millis) float64 {
	return max(slowestRate, a.weighted(now)/windowSeconds)
}
