package keeper

import (
	"sync"
	"time"
)

// followerCost is the processor time that the leader may spend on one follower for each change of the image, several times what it takes. Changes
// that follow each other sooner than all followers can be told are told together.
const followerCost = 300 * time.Microsecond

// changeSignal wakes the calls that wait for a change of the image. Its pace falls with the number of followers, so that a series of
// changes leaves processor time for the heartbeats that keep the leader's lease.
type changeSignal struct {
	mu      sync.Mutex
	changed chan struct{}
	// sentAt is when the waiting calls were woken last, and pending is set while a later change waits for its turn.
	sentAt  time.Time
	pending bool
}

func newChangeSignal() *changeSignal { return &changeSignal{changed: make(chan struct{})} }

// next returns a channel that is closed at the next signal, and whether a change waits for it.
func (s *changeSignal) next() (changed <-chan struct{}, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, s.pending
}

// notify signals a change to the given number of followers, now or when the former signal has had its time.
func (s *changeSignal) notify(followers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := time.Until(s.sentAt.Add(time.Duration(followers) * followerCost))
	switch {
	case s.pending:
	case wait <= 0:
		s.send()
	default:
		s.pending = true
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pending = false
			s.send()
		})
	}
}

// send wakes the waiting calls. The caller holds mu.
func (s *changeSignal) send() {
	close(s.changed)
	s.changed, s.sentAt = make(chan struct{}), time.Now()
}
