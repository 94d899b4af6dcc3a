package permit

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/limit"
	"cyclamenford/io/keeper"
	"cyclamenford/io/meter"
)

// fakeLeader is a keeper whose leadership the test sets.
type fakeLeader struct {
	mu    sync.Mutex
	term  uint64
	leads bool
}

func (l *fakeLeader) Leading() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.leads
}

func (l *fakeLeader) Located() keeper.Located {
	_, leads := l.Leading()
	return keeper.Located{Leading: leads}
}

func (l *fakeLeader) set(term uint64, leads bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.leads = term, leads
}

var limitedLife = core.Life{Endpoint: "e", Incarnation: 1}

func newTestIssuer() (*Issuer, *fakeLeader, *clock.Manual) {
	l, now := &fakeLeader{term: 1, leads: true}, clock.New(1)
	return NewIssuer(l, now, meter.New(), slog.New(slog.NewTextHandler(io.Discard, nil))), l, now
}

// ask asks for a permit in the background and returns the channel of its reply.
func ask(i *Issuer, rate float64, left core.Millis) chan TakeReply {
	replies := make(chan TakeReply, 1)
	go func() {
		var reply TakeReply
		args := TakeArgs{Report: limit.Report{Life: limitedLife, Statement: limit.Named(rate)}, Left: left, Wait: left > 0}
		_ = (&calls{i}).Take(args, &reply)
		replies <- reply
	}()
	return replies
}

// awaitAsk waits until an ask is in the queue.
func awaitAsk(t *testing.T, i *Issuer) {
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		i.mu.Lock()
		n := len(i.waiters)
		i.mu.Unlock()
		if n > 0 {
			return
		}
		must.True(t, time.Now().Before(deadline))
	}
}

func TestAskThatWaitsGetsTheNextPermit(t *testing.T) {
	i, _, now := newTestIssuer()
	replies := ask(i, 2, 5000)
	awaitAsk(t, i)
	now.Advance(500)
	i.tick(context.Background())
	reply := <-replies
	must.True(t, reply.Leading && reply.Permitted && reply.Limited)
	must.Eq(t, limitedLife, reply.Life)
}

func TestAskThatWaitsEndsWithTheLeadership(t *testing.T) {
	i, leader, now := newTestIssuer()
	replies := ask(i, 2, 5000)
	awaitAsk(t, i)
	leader.set(2, false)
	now.Advance(500)
	i.tick(context.Background())
	reply := <-replies
	must.False(t, reply.Leading || reply.Permitted)
}

func TestNewTermIssuesNoPermitThatWasSavedBefore(t *testing.T) {
	i, leader, now := newTestIssuer()
	must.False(t, (<-ask(i, 2, 0)).Permitted)
	now.Advance(5000)
	leader.set(2, true)
	reply := <-ask(i, 2, 0)
	must.True(t, reply.Leading && reply.Limited)
	must.False(t, reply.Permitted)
	must.Eq(t, 500, reply.RetryAfter)
}

func TestKeeperThatDoesNotLeadIssuesNothing(t *testing.T) {
	i, leader, now := newTestIssuer()
	i.Merge([]limit.Report{{Life: limitedLife, Statement: limit.Named(2)}})
	leader.set(1, false)
	now.Advance(5000)
	must.False(t, (<-ask(i, 2, 0)).Leading)
	must.False(t, i.Take(now.Now(), limitedLife))
	free, perSecond, limited := i.Budget(now.Now(), limitedLife)
	must.Zero(t, free)
	must.Eq(t, 2, perSecond)
	must.True(t, limited)
}

// TestAStoppedIssuerTakesNoAsk guards against calls that wait for an issuer which has stopped, while its keeper still leads.
func TestAStoppedIssuerTakesNoAsk(t *testing.T) {
	i, _, now := newTestIssuer()
	must.NoError(t, i.Start(context.Background()))
	must.NoError(t, i.Stop(context.Background()))
	const asks = 3
	replies := make([]chan TakeReply, asks)
	for n := range replies {
		replies[n] = ask(i, 2, 5000)
	}
	now.Advance(400)
	for _, reply := range replies {
		select {
		case r := <-reply:
			must.False(t, r.Leading)
		case <-time.After(2 * time.Second):
			t.Fatal("an ask waits at a stopped issuer")
		}
	}
}

// TestIssuerThatLacksABoundGivesNoPermit guards against requests without a permit in the first moments of a term, when hosts
// know of a bound and the new leader's scheduler has not set it yet, and against permits saved up under the former leader.
func TestIssuerThatLacksABoundGivesNoPermit(t *testing.T) {
	i, leader, now := newTestIssuer()
	take := func() (reply TakeReply) {
		must.NoError(t, (&calls{i}).Take(TakeArgs{Report: limit.Report{Life: limitedLife}, Bounded: true}, &reply))
		return reply
	}
	reply := take()
	must.True(t, reply.Leading && reply.Limited)
	must.False(t, reply.Permitted)
	other := core.Life{Endpoint: "other", Incarnation: 1}
	i.SetBound(now.Now(), limitedLife, limit.WarmBound(10))
	now.Advance(100)
	// An endpoint whose bound is not known yet is not taken for one that needs no permit.
	must.NoError(t, (&calls{i}).Take(TakeArgs{Report: limit.Report{Life: other}, Others: []core.Life{limitedLife}, Bounded: true}, &reply))
	must.Eq(t, limitedLife, reply.Life)
	must.True(t, reply.Permitted && reply.Bounded)
	now.Advance(5000)
	leader.set(2, true)
	must.False(t, take().Permitted)
	now.Advance(100)
	must.True(t, take().Permitted)
	must.False(t, i.TakeMany(now.Now(), limitedLife, 2))
	leader.set(2, false)
	now.Advance(5000)
	must.False(t, i.TakeMany(now.Now(), limitedLife, 2))
	leader.set(2, true)
	i.RemoveBounds()
	must.False(t, take().Permitted)
}
