package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/ledger"
)

// callsTried is the number of non-repeatable calls over all crash points.
const callsTried = 100_000

// crashPoint is the step after which the host that runs a call ends.
type crashPoint int

const (
	never crashPoint = iota
	beforeReserve
	afterReserve
	beforeDispatch
	afterDispatch
	afterAnswer
	beforeFinish
	finishLost
	crashPoints
)

// effectWorld has one endpoint that counts effects, and a caller who resends at other hosts until it knows.
type effectWorld struct {
	machine *Machine
	rng     *rand.Rand
	index   uint64
	unix    core.Millis
	lives   map[core.HostID]core.Incarnation
	effects map[string]int
	late    []Command
}

func (w *effectWorld) apply(c Command) Reply {
	w.index++
	w.unix += 7
	c.Unix = w.unix
	return w.machine.Apply(w.index, c)
}

func (w *effectWorld) boot(h core.HostID) {
	w.lives[h]++
	w.apply(Command{JoinHost: &JoinHost{Host: Host{ID: h, Incarnation: w.lives[h], FailureDomain: "a"}}})
}

// try runs one sending of a call at a host that ends at the given point; it returns what the caller learns.
func (w *effectWorld) try(h core.HostID, key ledger.Key, issued core.Millis, at crashPoint, attempt int) core.Outcome {
	holder := ledger.Holder{Host: h, Incarnation: w.lives[h], Attempt: core.AttemptID(fmt.Sprint(attempt))}
	die := func(p crashPoint) bool {
		if at == p {
			w.endHost(h)
			return true
		}
		return false
	}
	if die(beforeReserve) {
		return ""
	}
	reserve := Command{Reserve: &Reserve{Key: key, IssuedAt: issued, BodyHash: 1, Holder: holder}}
	reply := w.apply(reserve)
	if w.rng.IntN(4) == 0 {
		reply = w.apply(reserve)
	}
	if die(afterReserve) || reply.Result != Accepted {
		return ""
	}
	switch reply.Verdict {
	case ledger.Known:
		return reply.Entry.Answer.Outcome
	case ledger.Granted:
	default:
		return ""
	}
	if die(beforeDispatch) {
		return ""
	}
	w.effects[key.Text]++
	if die(afterDispatch) || die(afterAnswer) {
		return ""
	}
	finish := Command{Finish: &Finish{Key: key, Holder: holder, Answer: ledger.Answer{Outcome: core.Completed}}}
	if die(beforeFinish) {
		return core.Completed
	}
	if at == finishLost {
		w.late = append(w.late, finish)
		w.endHost(h)
		return core.Completed
	}
	w.apply(finish)
	return core.Completed
}

// endHost ends a host's life: by a restart, or by its lease running out first.
func (w *effectWorld) endHost(h core.HostID) {
	if w.rng.IntN(2) == 0 {
		w.apply(Command{ExpireHost: &ExpireHost{Holder: ledger.Holder{Host: h, Incarnation: w.lives[h]}}})
	}
	if len(w.late) > 0 && w.rng.IntN(2) == 0 {
		w.apply(w.late[0])
		w.late = w.late[1:]
	}
	w.boot(h)
}

func TestNonRepeatableCallsRunOnceWithCrashesAtEveryStep(t *testing.T) {
	w := &effectWorld{
		machine: New(), rng: rand.New(rand.NewPCG(1, 1)), unix: 1_700_000_000_000,
		lives: map[core.HostID]core.Incarnation{}, effects: map[string]int{},
	}
	hosts := []core.HostID{"h1", "h2", "h3"}
	for _, h := range hosts {
		w.boot(h)
	}
	completed, unknown := 0, 0
	for n := range callsTried {
		key := ledger.Key{Organisation: "o", Text: fmt.Sprint(n)}
		issued, at := w.unix, crashPoint(n)%crashPoints
		outcome := w.try(hosts[n%3], key, issued, at, n*10)
		for resend := 1; outcome == "" && resend < 5; resend++ {
			outcome = w.try(hosts[(n+resend)%3], key, issued, never, n*10+resend)
		}
		ran := w.effects[key.Text]
		must.LessEq(t, 1, ran, must.Sprintf("call %d, crash point %d", n, at))
		if outcome == core.Completed {
			completed++
			must.Eq(t, 1, ran, must.Sprintf("call %d is completed and ran %d times", n, ran))
		}
		if outcome == core.Unknown {
			unknown++
		}
		delete(w.effects, key.Text)
		if n%10_000 == 0 {
			w.unix += ledger.Retention
			w.apply(Command{PurgeExpired: &PurgeExpired{}})
		}
	}
	must.Positive(t, completed)
	must.Positive(t, unknown)
	t.Logf("%d calls: %d completed, %d unknown, none doubled", callsTried, completed, unknown)
}

func TestKeysOlderThanTheRetentionAreRefusedAndNeverRunAgain(t *testing.T) {
	l := ledger.New()
	k := ledger.Key{Organisation: "o", Text: "k"}
	h := ledger.Holder{Host: "h", Incarnation: 1, Attempt: "a"}
	verdict, _ := l.Reserve(1000, k, 1000, 1, h)
	must.Eq(t, ledger.Granted, verdict)
	must.True(t, l.Finish(k, h, ledger.Answer{Outcome: core.Completed}))
	l.Purge(1000 + ledger.Retention + 1)
	must.Eq(t, 0, l.Len())
	verdict, _ = l.Reserve(1000+ledger.Retention+1, k, 1000, 1, h)
	must.Eq(t, ledger.Expired, verdict)
}

func TestSnapshotsRestoreTheSameState(t *testing.T) {
	m := New()
	m.Apply(1, Command{Unix: 5, JoinHost: &JoinHost{Host: Host{ID: "h", Incarnation: 1}}})
	m.Apply(2, Command{Unix: 6, OpID: "x", SetSettings: &SetSettings{Path: "Teams/t", Doc: []byte(`{"Organisation":"o"}`)}})
	m.Apply(3, Command{Unix: 7, Drain: &Drain{Endpoint: "e", On: true}})
	m.Apply(4, Command{Unix: 8, PlaceOrder: &PlaceOrder{Endpoint: "e", Kind: LoadModel}})
	m.Apply(5, Command{Unix: 9, Reserve: &Reserve{Key: ledger.Key{Organisation: "o", Text: "k"}, IssuedAt: 9, Holder: ledger.Holder{Host: "h", Incarnation: 1}}})
	first, err := m.Snapshot()
	must.NoError(t, err)
	again, err := Restore(first)
	must.NoError(t, err)
	second, err := again.Snapshot()
	must.NoError(t, err)
	must.Eq(t, first, second)
	must.Eq(t, m.Image().Revision, again.Image().Revision)
	resent := again.Apply(6, Command{OpID: "x", SetSettings: &SetSettings{Path: "Teams/t", Doc: []byte(`{"Organisation":"other"}`)}})
	must.Eq(t, uint64(1), resent.Version)
}

func FuzzDecodeCommand(f *testing.F) {
	raw, err := Command{Drain: &Drain{Endpoint: "e", On: true}}.Encode()
	must.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			return
		}
		New().Apply(1, c)
	})
}

func FuzzRestore(f *testing.F) {
	raw, err := New().Snapshot()
	must.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Restore(data)
	})
}
