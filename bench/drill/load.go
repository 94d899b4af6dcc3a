package drill

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"cyclamenford/bench/site"
	"cyclamenford/bench/stand"
	"cyclamenford/bench/watch"
	"cyclamenford/core"
	"cyclamenford/core/tree"
	"cyclamenford/io/caller"
	"cyclamenford/io/oper"
)

const (
	// sharedStarts makes the shared start of prompts longer than what hosts take for the prefix of a prompt.
	sharedStarts = 30
	requestLimit = 8 * time.Second
	// resendLimit is how often a non-repeatable call is sent until its outcome is known.
	resendLimit = 12
	// doubleEvery is the number of calls of which one is sent to two hosts at once.
	doubleEvery = 3
	pauseMax    = 60
	changePause = 50 * time.Millisecond
	changeLimit = 6 * time.Second
)

// plan names what the load of a deployment asks for.
type plan struct {
	pipeline, service string
	tokens            int
	team              core.TeamID
}

func (x *Drill) plan() plan {
	if x.deployment.Name == "Flueshare" {
		return plan{pipeline: "quote", service: "bookings/charge-deposit", tokens: 40, team: "anura"}
	}
	return plan{pipeline: "layout", service: "orders/place", tokens: 30, team: "clinics"}
}

// Run plays the script: the load in the background, the steps at their times, then the final state.
func (x *Drill) Run(ctx context.Context) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	x.startWorkers(loadCtx, &wg)
	began := time.Now()
	for _, s := range x.script.Steps {
		time.Sleep(time.Until(began.Add(s.AtMs.Duration())))
		if err := x.do(ctx, s); err != nil {
			stop()
			wg.Wait()
			return err
		}
	}
	time.Sleep(time.Until(began.Add(x.script.RunMs.Duration())))
	stop()
	wg.Wait()
	return x.settle(ctx)
}

func (x *Drill) startWorkers(ctx context.Context, wg *sync.WaitGroup) {
	l := x.script.Load
	start := func(count int, work func(context.Context, int)) {
		for i := range count {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					work(ctx, i*1_000_000+n)
					time.Sleep(time.Duration(rand.IntN(pauseMax)) * time.Millisecond)
				}
			})
		}
	}
	start(l.Streams, func(_ context.Context, n int) { x.ask(n, true, "Normal", requestLimit) })
	start(l.Wholes, func(_ context.Context, n int) { x.ask(n, false, "Urgent", requestLimit) })
	start(l.Bulk, func(_ context.Context, n int) { x.ask(n, false, "Bulk", time.Second) })
	start(l.Urgent, func(_ context.Context, n int) { x.ask(n, false, "Urgent", time.Second) })
	start(l.Poison, func(_ context.Context, n int) { x.sendPoison(n, stand.CrashMarker) })
	start(l.PoisonPrefix, func(_ context.Context, n int) {
		x.sendPoison(n, stand.CrashMarker+strings.Repeat("a shared start ", sharedStarts)+fmt.Sprintf("%x", rand.Uint64()))
	})
	start(l.Calls, func(_ context.Context, n int) { x.callOnce(n) })
	start(l.Changes, func(ctx context.Context, n int) { x.changeSettings(ctx, n) })
}

// ask sends one pipeline request and records the reply; requests in flight at the end of the load may end.
func (x *Drill) ask(n int, stream bool, priority string, limit time.Duration) {
	p := x.plan()
	body := fmt.Appendf(nil, `{"Prompt":"request %s %d %d"}`, priority, n, rand.Uint64())
	q := caller.Request{
		Path: "/v1/pipelines/" + p.pipeline, Key: x.deployment.Keys[p.team], Body: body,
		Priority: priority, Stream: stream, DeadlineMs: core.Millis(limit.Milliseconds()),
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit+2*time.Second)
	defer cancel()
	hosts := x.callerHosts(rand.IntN(len(x.settings)))
	r, err := x.callers.Do(ctx, hosts, q)
	x.record.Answered(watch.Answer{Body: body, Host: hosts[0], Stream: stream, Reply: r, Err: err})
}

// sendPoison sends a request whose prompt crashes every generator that runs it.
func (x *Drill) sendPoison(n int, prompt string) {
	p := x.plan()
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	q := caller.Request{
		Path: "/v1/pipelines/" + p.pipeline, Key: x.deployment.Keys[p.team], DeadlineMs: 3000,
		Body: []byte(`{"Prompt":"` + prompt + `"}`),
	}
	_, _ = x.callers.Do(ctx, x.callerHosts(n), q)
}

// callOnce sends a non-repeatable call to one host after the other until its outcome is final.
func (x *Drill) callOnce(n int) {
	p := x.plan()
	key := caller.NewIdempotencyKey(core.Millis(time.Now().UnixMilli()), fmt.Sprintf("%d-%x", n, rand.Uint64()))
	q := caller.Request{
		Path: "/v1/services/" + p.service, Key: x.deployment.Keys[p.team], Body: fmt.Appendf(nil, `{"Order":%d}`, n),
		IdempotencyKey: key, DeadlineMs: 3000,
	}
	c := watch.Call{Key: key}
	if n%doubleEvery == 0 {
		c.Replies = append(c.Replies, x.sendDoubled(q)...)
	}
	for range resendLimit {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		r, err := x.callers.Do(ctx, x.callerHosts(rand.IntN(len(x.settings))), q)
		cancel()
		c.Replies = append(c.Replies, r)
		if err == nil && r.Outcome == core.Completed {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	x.record.Called(c)
}

// sendDoubled sends one call to two hosts at the same time, as a caller does whose first connect seemed lost.
func (x *Drill) sendDoubled(q caller.Request) []caller.Reply {
	replies := make([]caller.Reply, 2)
	first := rand.IntN(len(x.settings))
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			replies[i], _ = x.callers.Do(ctx, x.callerHosts(first+i), q)
		})
	}
	wg.Wait()
	return replies
}

// changeSettings sets a team's limit at the version that it has read, racing the other workers.
func (x *Drill) changeSettings(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	p := x.plan()
	path := tree.TeamPath(p.team)
	version, err := x.operators.SettingsVersion(ctx, path)
	if err != nil {
		return
	}
	team := x.deployment.Tree.Teams[p.team]
	team.Limits.Concurrency = 1000 + n%1_000_000
	doc, err := json.Marshal(team)
	if err != nil {
		return
	}
	a, err := x.operators.SetSettings(ctx, path, version, doc, oper.NewOpID())
	c := watch.Change{Version: version, Doc: doc, Accepted: err == nil, Revision: a.Revision}
	c.Refused = errors.Is(err, oper.ErrConflict)
	x.record.Changed(c)
	time.Sleep(changePause)
}

// settle lets everything heal and reads the final state.
func (x *Drill) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	for _, err := range x.group.AwaitRestarts() {
		x.record.HostFailed(err)
	}
	if err := x.awaitReady(ctx); err != nil {
		return err
	}
	path := tree.TeamPath(x.plan().team)
	if err := x.operators.Get(ctx, "/v1/history/"+path, &x.record.History); err != nil {
		return fmt.Errorf("read final settings: %w", err)
	}
	return x.readRevisions(ctx)
}

// readRevisions waits until the last accepted revision is in force and asks every running host for its settings.
func (x *Drill) readRevisions(ctx context.Context) error {
	last := uint64(0)
	for _, h := range x.record.History {
		last = max(last, h.Revision)
	}
	if err := x.operators.WaitForRevision(ctx, last); err != nil {
		return err
	}
	path := tree.TeamPath(x.plan().team)
	for n, h := range x.group.Hosts {
		if !h.Running() {
			continue
		}
		var s struct{ Version uint64 }
		c := oper.New([]string{x.settings[n].Listeners.Operators}, site.OperatorKey, nil)
		if err := c.Get(ctx, "/v1/settings/"+path, &s); err != nil {
			return err
		}
		x.record.Versions = append(x.record.Versions, s.Version)
	}
	return nil
}
