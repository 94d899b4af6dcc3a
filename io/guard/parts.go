package guard

import (
	"context"
	"math/rand/v2"
	"sync"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
	"cyclamenford/io/loop"
)

const (
	// clearSpread is the time, for each host, within which hosts wait before they report that an answer has begun on a part with
	// crashes on record. Many see one at the same time, and the first report is enough.
	clearSpread    = 2 * core.Millis(1)
	maxClearSpread = 500 * core.Millis(1)
	// begunTTL is how long a host remembers on which parts it has seen answers begin: longer than a request waits for its first event.
	begunTTL = 10 * core.Second
	// maxBegun limits the parts that it remembers.
	maxBegun = 8192
)

// begunParts remembers on which parts of prompts this host has seen answers begin.
type begunParts struct {
	mu sync.Mutex
	at map[poison.Content]core.Millis
	// cleared holds the number of crashes on record for a part when an answer on it began, until the record is removed.
	cleared map[poison.Content]int
}

func newBegunParts() *begunParts {
	return &begunParts{at: map[poison.Content]core.Millis{}, cleared: map[poison.Content]int{}}
}

// note records that an answer on the parts has begun.
func (b *begunParts) note(now core.Millis, parts []poison.Content) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.at) >= maxBegun {
		for p, at := range b.at {
			if now-at > begunTTL {
				delete(b.at, p)
			}
		}
		if len(b.at) >= maxBegun {
			clear(b.at)
		}
	}
	for _, p := range parts {
		b.at[p] = now
	}
}

// withoutBegun returns the parts on which no answer has begun since the given time.
func (b *begunParts) withoutBegun(since core.Millis, parts []poison.Content) []poison.Content {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []poison.Content
	for _, p := range parts {
		if at, ok := b.at[p]; !ok || at < since {
			list = append(list, p)
		}
	}
	return list
}

// markCleared records that a part is cleared of the crashes on record, and reports whether it was not before.
func (b *begunParts) markCleared(e poison.PartEntry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cleared[e.Part] == e.Crashes {
		return false
	}
	b.cleared[e.Part] = e.Crashes
	return true
}

// isCleared reports whether a part is cleared of the crashes on record.
func (b *begunParts) isCleared(e poison.PartEntry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cleared[e.Part] == e.Crashes
}

func (b *begunParts) forget(parts []poison.Content) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range parts {
		delete(b.cleared, p)
	}
}

// judge returns what follows for a request from the parts of its prompt.
func (g *Guard) judge(i poison.Identity) poison.Verdict {
	entries := g.control.Image().Parts
	if len(entries) == 0 || len(i.Parts) == 0 {
		return poison.Verdict{}
	}
	known := map[poison.Content]poison.PartEntry{}
	for _, p := range i.Parts {
		if e, ok := entries[p]; ok && !g.begun.isCleared(e) {
			known[p] = e
		}
	}
	return poison.Judge(known, g.clock.Unix(), i.Parts)
}

// partProblem counts a refusal and returns the problem for a client whose request holds a part that crashes endpoints.
func (g *Guard) partProblem(e poison.PartEntry) *core.Problem {
	g.meter.Count("quarantine_refused_total", 1)
	return core.NewProblem(g.options.QuarantineStatus, core.NotRun, core.ReasonQuarantined,
		"%d endpoints have crashed that began to answer requests with part %s of this prompt", e.Crashes, e.Part).WithRetryAfter(e.RetryAfter(g.clock.Unix()))
}

// Begun must be called when the answer to a request has begun at its endpoint. It clears the parts of the request's prompt of the
// crashes on record: a part that crashes endpoints does so before an answer begins.
func (g *Guard) Begun(i poison.Identity) {
	if len(i.Parts) == 0 {
		return
	}
	g.begun.note(g.clock.Now(), i.Parts)
	entries := g.control.Image().Parts
	if len(entries) == 0 {
		return
	}
	var parts []poison.Content
	for _, p := range i.Parts {
		if e, ok := entries[p]; ok && g.begun.markCleared(e) {
			parts = append(parts, p)
		}
	}
	if len(parts) > 0 {
		g.recorder.Go(func(ctx context.Context) { g.clearParts(ctx, parts) })
	}
}

// clearParts commits that parts are cleared, unless another host is faster.
func (g *Guard) clearParts(ctx context.Context, parts []poison.Content) {
	defer g.begun.forget(parts)
	spread := min(maxClearSpread, clearSpread*core.Millis(len(g.control.Image().Hosts)))
	loop.Sleep(ctx, core.Millis(rand.Int64N(int64(spread)+1)).Duration())
	entries := g.control.Image().Parts
	var left []poison.Content
	for _, p := range parts {
		if _, ok := entries[p]; ok {
			left = append(left, p)
		}
	}
	if len(left) == 0 {
		return
	}
	reply, err := g.recorder.Commit(state.Command{OpID: internalOpID(), ClearParts: &state.ClearParts{Parts: left}})
	g.log.Info("parts of prompts cleared", "parts", contentNames(left), "result", reply.Result, "err", err)
	if err == nil {
		g.awaitRevision(ctx, reply.Revision)
	}
}

// inTrialAt returns the parts that are in a trial at an endpoint.
func (g *Guard) inTrialAt(parts []poison.Content, endpoint core.EndpointID) []poison.Content {
	entries := g.control.Image().Parts
	var list []poison.Content
	for _, p := range parts {
		if e, ok := entries[p]; ok && e.Trial == endpoint {
			list = append(list, p)
		}
	}
	return list
}

// commitPartCrashes counts a crash against the parts of the prompts of those requests whose answers had not begun. Parts on which
// this host has seen an answer begin since the request was sent are not counted. at is when the connections broke.
func (g *Guard) commitPartCrashes(ctx context.Context, life core.Life, suspects []poison.Suspect, at core.Millis) {
	now := g.clock.Now()
	command := &state.PartCrashes{Life: life}
	for _, s := range suspects {
		age := now - at + s.Age
		parts := g.begun.withoutBegun(now-age, s.Parts)
		if !s.Began && len(parts) > 0 {
			command.Requests = append(command.Requests, state.PartCrash{Request: s.Content, Parts: parts, Age: age})
		}
	}
	if len(command.Requests) == 0 {
		return
	}
	reply, err := g.recorder.Commit(state.Command{OpID: internalOpID(), PartCrashes: command})
	if err != nil {
		g.log.Warn("crash not recorded for parts of prompts", "endpoint", life.Endpoint, "requests", len(command.Requests), "err", err)
		return
	}
	for _, e := range reply.Parts {
		g.log.Info("part of prompts noted", "part", e.Part.String(), "standing", e.Standing.String(), "crashes", e.Crashes,
			"with", contentNames(e.With), "till_unix_ms", e.Till, "endpoint", life.Endpoint)
		g.meter.Count("suspect_parts_total", 1, "standing", e.Standing.String())
	}
	g.awaitRevision(ctx, reply.Revision)
}
