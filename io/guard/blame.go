package guard

import (
	"context"
	"slices"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
	"cyclamenford/io/loop"
)

const (
	// crashBatchDelay is how long the requests cut by one crash are collected into one report: their connections end
	// together.
	crashBatchDelay = 5 * time.Millisecond
	// probeTimeout limits the probe of whether an endpoint has ended; it allows for many round trips.
	probeTimeout = time.Second
	// reportWait is the longest that a request waits for its crash report before it may be retried: time for the probe and
	// a commit.
	reportWait = 150 * time.Millisecond
	// forwardTimeout limits how long this host tries to forward a cut connection whose cause it cannot determine. It covers several
	// elections; an endpoint that has ended announces itself again within seconds.
	forwardTimeout = 10 * time.Second
	// applyTimeout limits the wait until this host has applied its own report.
	applyTimeout = time.Second
)

// crashReport collects the requests that one endpoint incarnation was running when their connections were cut.
type crashReport struct {
	suspects []poison.Suspect
	// at is when the first of the connections broke.
	at   core.Millis
	done chan struct{}
}

// ReportCut starts a report of a cut connection in the background. If the endpoint's incarnation has ended, the crash
// counts against the request that it was running. A cut connection to an endpoint that is still alive does not count, and
// neither does the end of an endpoint that had announced that it is leaving. In every case the report also ends the
// request's trial on the endpoint, if there is one.
//
// The returned channel is closed once this host has applied the recorded crash, or once it is settled that this host
// records none now.
func (g *Guard) ReportCut(s poison.Suspect, target core.Target) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	report, ok := g.reports[target.Life]
	if !ok {
		report = &crashReport{at: g.clock.Now(), done: make(chan struct{})}
		g.reports[target.Life] = report
		g.recorder.Go(func(ctx context.Context) { g.settle(ctx, target, report) })
	}
	report.suspects = append(report.suspects, s)
	return report.done
}

// ReportAndWait reports a cut connection for each of the given requests, waits for the result up to reportWait, and
// returns the standing of the first request.
func (g *Guard) ReportAndWait(ctx context.Context, target core.Target, suspects ...poison.Suspect) poison.Standing {
	var done <-chan struct{}
	for _, s := range suspects {
		done = g.ReportCut(s, target)
	}
	wait := time.NewTimer(reportWait)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	case <-ctx.Done():
	}
	return g.Standing(suspects[0].Identity())
}

// settle probes whether an endpoint has ended and, if so, commits the crash against all requests of the report.
func (g *Guard) settle(ctx context.Context, target core.Target, report *crashReport) {
	loop.Sleep(ctx, crashBatchDelay)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	ended, err := g.probe(probeCtx, target)
	cancel()
	leaving := g.isLeaving(target.Life)
	g.mu.Lock()
	delete(g.reports, target.Life)
	suspects := report.suspects
	g.mu.Unlock()
	for _, s := range suspects {
		g.log.Info("endpoint broke off", "request", s.Request, "endpoint", target.Endpoint, "content", s.Content.String(),
			"ended", ended, "leaving", leaving, "alone", s.Alone, "began", s.Began, "parts", contentNames(s.Parts), "err", err)
	}
	if ended && !leaving {
		g.recordCrash(ctx, target.Life, suspects, report.at)
		close(report.done)
		return
	}
	// No crash is recorded now, so a retry need not wait any longer.
	close(report.done)
	if leaving {
		g.EndTrials(target.Life, suspects)
		return
	}
	elapsed := g.clock.Now() - report.at
	for i := range suspects {
		suspects[i].Age += elapsed
	}
	g.forwardUnclear(ctx, target, suspects)
}

// contentNames returns the names of contents as used in log lines.
func contentNames(list []poison.Content) []string {
	names := make([]string, 0, len(list))
	for _, c := range list {
		names = append(names, c.String())
	}
	return names
}

// forwardUnclear forwards a cut connection for others to decide, because the probe failed or the endpoint's address still
// accepts connections. Without a way to forward it, the endpoint is assumed to be alive.
func (g *Guard) forwardUnclear(ctx context.Context, target core.Target, suspects []poison.Suspect) {
	if g.options.ForwardCut == nil {
		g.EndTrials(target.Life, suspects)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := g.options.ForwardCut(ctx, target, suspects); err != nil {
		g.log.Warn("cut connection not forwarded", "endpoint", target.Endpoint, "suspects", len(suspects), "err", err)
		g.EndTrials(target.Life, suspects)
	}
}

// RecordCrash records in the background that an endpoint incarnation crashed, at the given time, while it was running the given
// requests.
func (g *Guard) RecordCrash(life core.Life, suspects []poison.Suspect, at core.Millis) {
	g.recorder.Go(func(ctx context.Context) { g.recordCrash(ctx, life, suspects, at) })
}

// EndTrials ends the trials of requests whose endpoint has not crashed, without clearing the suspects.
func (g *Guard) EndTrials(life core.Life, suspects []poison.Suspect) {
	for _, s := range suspects {
		if s.Alone {
			g.EndTrial(s.Identity(), life.Endpoint, false)
		}
	}
}

// recordCrash commits a crash. Until the commit is done the crash counts in uncommitted, so that this host already treats
// the requests as suspects.
func (g *Guard) recordCrash(ctx context.Context, life core.Life, suspects []poison.Suspect, at core.Millis) {
	g.meter.Count("endpoints_ended_total", 1)
	g.mu.Lock()
	for _, s := range suspects {
		if !slices.Contains(g.uncommitted[s.Content], life) {
			g.uncommitted[s.Content] = append(g.uncommitted[s.Content], life)
		}
	}
	g.mu.Unlock()
	var committed sync.WaitGroup
	committed.Go(func() { g.commitPartCrashes(ctx, life, suspects, at) })
	for _, alone := range []bool{false, true} {
		g.commitSuspects(ctx, life, suspects, alone)
	}
	committed.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range suspects {
		remaining := slices.DeleteFunc(g.uncommitted[s.Content], func(l core.Life) bool { return l == life })
		if len(remaining) == 0 {
			delete(g.uncommitted, s.Content)
			continue
		}
		g.uncommitted[s.Content] = remaining
	}
}

// isLeaving reports whether an endpoint incarnation has announced that it is leaving.
func (g *Guard) isLeaving(life core.Life) bool {
	ended, ok := g.control.Image().Retired[life.Endpoint]
	return ok && ended.Incarnation >= life.Incarnation
}

// commitSuspects records a crash, either against the suspects that ran alone or against the others, and waits until this
// host has applied it.
func (g *Guard) commitSuspects(ctx context.Context, life core.Life, suspects []poison.Suspect, alone bool) {
	command := &state.Suspect{Endpoint: life.Endpoint, Incarnation: life.Incarnation, Patience: g.options.CrashThreshold, Alone: alone}
	for _, s := range suspects {
		if s.Alone == alone {
			command.Contents = append(command.Contents, s.Content)
			command.Organisation = append(command.Organisation, s.Organisation)
		}
	}
	if len(command.Contents) == 0 {
		return
	}
	reply, err := g.recorder.Commit(state.Command{OpID: internalOpID(), Suspect: command})
	if err != nil {
		g.log.Warn("crash not recorded", "endpoint", life.Endpoint, "suspects", len(command.Contents), "err", err)
		return
	}
	for _, e := range reply.Suspect {
		if e.Published() {
			g.log.Warn("request under suspicion", "content", e.Content.String(), "organisation", e.Organisation,
				"standing", e.Standing.String(), "crashes", e.Crashes, "till_unix_ms", e.Till, "endpoint", life.Endpoint)
			g.meter.Count("suspects_total", 1, "standing", e.Standing.String())
		}
	}
	g.log.Info("crash recorded", "endpoint", life.Endpoint, "suspects", len(command.Contents), "revision", reply.Revision)
	g.awaitRevision(ctx, reply.Revision)
}

// awaitRevision waits until this host's image has reached the revision, so that the next attempt sees the recorded crash.
func (g *Guard) awaitRevision(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		changed := g.control.Changed()
		if g.control.Image().Revision >= revision {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
