package assign

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/brittle"
	"cyclamenford/core/copies"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
	"cyclamenford/core/origin"
	"cyclamenford/core/poison"
	"cyclamenford/core/sched"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/guard"
	"cyclamenford/io/keeper"
	"cyclamenford/io/loop"
	"cyclamenford/io/meter"
	"cyclamenford/io/mute"
	"cyclamenford/io/peer"
	"cyclamenford/io/permit"
	"cyclamenford/io/pipe"
)

// freeGroup separates the connections for calls that free results from those for stage calls, whose answers have content.
const freeGroup = "free"

const (
	tickInterval = 20 * time.Millisecond
	// entryTime is the time after a pass over the scheduler's queues, for each entry of them, in which events are collected for the
	// next pass: several times what a pass takes. maxPassPause bounds it.
	entryTime    = 2 * time.Microsecond
	maxPassPause = 5 * time.Millisecond
	// maxSuspension is how long the scheduler of a leader whose lease has lapsed waits for the renewal: about as long as an
	// election takes. Hosts look for another leader by then.
	maxSuspension = 300 * core.Millis(1)
	// announceTimeout bounds the handling of an announcement. It is below the second for which the endpoint waits for
	// the answer.
	announceTimeout = 800 * time.Millisecond
	// maxMissedAnnouncements is how many announcements an endpoint may miss before it is removed. Announcements may arrive
	// seconds late.
	maxMissedAnnouncements = 5
	// callGrace is added to the longest expected duration of a stage call to get its timeout.
	callGrace = 4 * core.Second
	// freeTimeout bounds a call that asks an endpoint to free results.
	freeTimeout = time.Second
)

// Leader is the local keeper: its leadership, its copy of the replicated state and commits to that state.
type Leader interface {
	// Leading returns the current term, and whether this keeper leads in it.
	Leading() (term uint64, ok bool)
	Located() keeper.Located
	Image() state.Image
	Commit(ctx context.Context, c state.Command) (state.Reply, error)
	// InForce reports whether every host that holds a serving lease has applied a revision.
	InForce(revision uint64) bool
	// Versions returns the software versions of a service whose streams may still be continued.
	Versions(service string) []string
	// StreamVersion returns the software version at which a stream of a service began, or false if that is not known.
	StreamVersion(service string, s origin.Stream) (string, bool)
	// OtherVoters returns the addresses of the keepers that may lead next.
	OtherVoters() []string
	// TransferLeadership gives the leadership away, and reports whether it has.
	TransferLeadership(ctx context.Context) (bool, error)
}

// Options are the settings of an assigner.
type Options struct {
	// AnnounceEvery is the period at which endpoints announce themselves.
	AnnounceEvery core.Millis
	// Retries limits the retries of each service.
	Retries fleet.RetryLimits
	// FailureDomains are the known failure domains besides those of hosts and endpoints. The operator can evacuate known ones only.
	FailureDomains []core.FailureDomain
}

// Assigner connects the scheduler of one keeper to the network and the clock. The scheduler decides only while the keeper
// leads; otherwise the assigner copies the leader's endpoints and results so that it can take over.
type Assigner struct {
	*loop.Loop
	options Options
	leader  Leader
	caller  Caller
	dialect io.Dialect
	pipe    *pipe.Client
	guard   *guard.Guard
	clock   core.Clock
	meter   *meter.Meter
	log     *slog.Logger

	mu sync.Mutex
	// term is the term in which this keeper leads, 0 if it does not lead.
	term uint64
	// suspendedAt is when the lease of this keeper was found lapsed, 0 while it holds. resumed is closed when that ends.
	suspendedAt core.Millis
	resumed     chan struct{}
	sched       *sched.Scheduler
	roster      *roster
	// waiters holds the placement calls that wait for a grant or a refusal.
	waiters map[order.Key]waiter
	// beginnings holds the grants that wait until it is recorded at which version their streams begin, and recording is set while
	// such records are committed.
	beginnings []beginning
	recording  bool
	versions   versionWatch
	// versionMu is held while a version is added. It is taken before mu.
	versionMu sync.Mutex
	// configVersion is the version of the configuration that the scheduler uses.
	configVersion uint64
	// revision is the revision of the replicated state whose hosts the scheduler was last given.
	revision uint64
	// ended holds the revisions of the ended evacuations that the scheduler has been told of, and startedAt is when the scheduler
	// was started.
	ended     map[core.FailureDomain]uint64
	startedAt core.Millis
	// suspectsUpdatedAt is when the scheduler was last given the suspected requests.
	suspectsUpdatedAt core.Millis
	// pendingCuts are broken connections to endpoints that wait for an announcement that shows whether the endpoint
	// has ended.
	pendingCuts *poison.Cuts
	standby     standby
	// permits issues the permits for requests to endpoints that name a limit. publishedLimits is the version of the limits
	// in the roll.
	permits         *permit.Issuer
	publishedLimits uint64
	// heldEvents records the latest events about held results and requests at engines, for keepers that copy them.
	heldEvents eventLog
	// inheritedAt is when the scheduler was given the requests of the former one, and settledLogged means that it was logged that all are
	// known.
	inheritedAt   core.Millis
	settledLogged bool
	// publisher publishes the roll to entry hosts.
	publisher publisher
	activity  activity
	pace      paceLog
	// nextPass is when the scheduler may pass over its queues again, and passPending is set while events wait for that.
	nextPass    time.Time
	passPending bool
	// stopping means that no further decisions are taken, and stopped that the scheduler is discarded. handedOver is closed when a
	// stopping leader has been replaced by the keeper at the address next, or by none that it knows of.
	stopping, stopped bool
	handedOver        chan struct{}
	next              string
	// stageCalls counts the stage calls in progress.
	stageCalls loop.WorkCounter
	// answers knows the latest answers to stage calls, since not all name their call.
	answers *copies.Filter
	// headerWarnings bounds the log lines about unreadable headers.
	headerWarnings *mute.Muter
	// brittle counts the refusals of brittle endpoints in this term.
	brittle *brittle.Guard
}

// New returns an assigner that is not running yet.
func New(o Options, l Leader, c Caller, d io.Dialect, p *pipe.Client, g *guard.Guard, permits *permit.Issuer, clock core.Clock, m *meter.Meter, log *slog.Logger) *Assigner {
	a := &Assigner{
		options: o, leader: l, caller: c, dialect: d, pipe: p, guard: g, clock: clock, meter: m, log: log, permits: permits, answers: copies.New(),
		handedOver: make(chan struct{}), headerWarnings: mute.New(headerWarnPeriod),
	}
	a.Loop = loop.New(tickInterval, a.tick)
	a.reset()
	return a
}

// MaxSilence returns how long an endpoint may go without an announcement before it is removed, given the period of
// announcements.
func MaxSilence(announceEvery core.Millis) core.Millis { return announceEvery * maxMissedAnnouncements }

// Register registers the assigner's RPC methods on the server under Service.
func (a *Assigner) Register(s *peer.Server) error {
	return s.Register(Service, &calls{a})
}

// reset replaces the scheduler and everything known about endpoints by empty ones, and ends the waiting placement calls.
func (a *Assigner) reset() {
	a.sched = sched.New(a.options.Retries)
	a.activity = activity{}
	a.permits.RemoveBounds()
	a.sched.SetLimits(a.permits)
	a.sched.SetAnnounceEvery(a.options.AnnounceEvery)
	a.roster = newRoster(MaxSilence(a.options.AnnounceEvery))
	for _, w := range a.waiters {
		close(w.decision)
	}
	a.waiters, a.beginnings, a.versions = map[order.Key]waiter{}, nil, versionWatch{}
	a.configVersion, a.revision, a.ended = 0, 0, nil
	a.startedAt = a.clock.Now()
	a.pendingCuts = poison.NewCuts(a.options.AnnounceEvery)
	// Event numbers continue, so that a keeper that copies events within one term misses none.
	a.heldEvents = eventLog{nextNumber: a.heldEvents.nextNumber}
	a.brittle = brittle.New()
	a.publisher.reset(a.term, a.permits.Limited, a.permits.Bounded)
}

// checkLeadership reports whether this keeper leads. It starts a new scheduler at the start of each term, discards it when
// leadership is lost, and otherwise applies changes of the replicated state. The caller holds mu.
func (a *Assigner) checkLeadership() bool {
	if a.stopped {
		return false
	}
	term, ok := a.leader.Leading()
	if !ok {
		a.suspendOrStop(term)
		return false
	}
	if term != a.term {
		a.endSuspension()
		a.term = term
		a.reset()
		a.log.Info("assigner started: this keeper leads", "term", term)
		a.applyConfig()
		a.updateHosts()
		a.takeOver(a.clock.Now())
		return true
	}
	if a.suspendedAt > 0 {
		a.log.Warn("assigner resumed: the lease was renewed late", "term", term, "lapsed_ms", a.clock.Now()-a.suspendedAt)
		a.endSuspension()
	}
	a.applyConfig()
	a.updateHosts()
	return true
}

// suspendOrStop handles that this keeper does not lead now. A lease that is renewed in the same term proves that nobody else has led
// meanwhile, so the scheduler stays for a short time and goes on from there. It takes no decision before the renewal.
func (a *Assigner) suspendOrStop(term uint64) {
	now := a.clock.Now()
	switch {
	case a.term == 0 || a.stopping:
		return
	case term == a.term && a.suspendedAt == 0:
		a.suspendedAt, a.resumed = now, make(chan struct{})
		a.meter.Count("assign_lapses_total", 1)
		return
	case term == a.term && now-a.suspendedAt < maxSuspension:
		return
	}
	a.log.Info("assigner stopped: this keeper no longer leads", "term", a.term)
	// The lease may still be renewed in the same term. The assigner then continues from the endpoints and results that it knew itself.
	a.standby.endpoints, a.standby.copiedAt = a.roster.list(now), now
	a.addObservations(now, a.standby.endpoints)
	a.standby.speeds, a.standby.serviceSpeeds = a.sched.Speeds(now)
	a.standby.results = resultsCopy{}
	known := HeldReply{Term: a.term, Next: a.heldEvents.nextNumber, Events: a.heldEvents.events, Now: now}
	known.Unsettled = !a.sched.FormerStatus(now).Settled
	a.setWhole(&known)
	a.standby.results.apply(now, known)
	a.term = 0
	a.endSuspension()
	a.reset()
}

// endSuspension wakes the calls that wait for the renewal of the lease.
func (a *Assigner) endSuspension() {
	if a.suspendedAt > 0 {
		close(a.resumed)
		a.suspendedAt = 0
	}
}

// awaitLeadership locks mu and reports whether this keeper leads. It waits first while the lease has just lapsed, and while this keeper hands
// its leadership over.
func (a *Assigner) awaitLeadership() bool {
	for {
		a.mu.Lock()
		changed := a.handedOver
		if !a.stopping || a.stopped {
			if a.checkLeadership() {
				return true
			}
			if a.suspendedAt == 0 {
				return false
			}
			changed = a.resumed
		}
		a.mu.Unlock()
		<-changed
	}
}

// updateHosts reports to the scheduler the hosts' current incarnations and the hosts whose serving lease has expired.
func (a *Assigner) updateHosts() {
	image := a.leader.Image()
	if image.Revision == a.revision {
		return
	}
	a.revision = image.Revision
	now := a.clock.Now()
	for _, id := range slices.Sorted(maps.Keys(image.Hosts)) {
		host := image.Hosts[id]
		a.sched.HostStarted(now, id, host.Incarnation)
		if host.Expired {
			a.sched.HostLost(now, id)
		}
	}
	a.updateEvacuations(now, image)
	a.updateSuspects()
}

// applyConfig gives the scheduler and the roll the services of the stored configuration if its version has changed.
func (a *Assigner) applyConfig() {
	stored := a.leader.Image().Config
	if stored.Version == a.configVersion {
		return
	}
	config, err := a.dialect.ParseConfig(stored.Doc)
	if err != nil {
		a.log.Error("cannot decode stored configuration", "version", stored.Version, "err", err)
		return
	}
	a.configVersion = stored.Version
	a.sched.Configure(a.clock.Now(), config.Services)
	a.publisher.setServices(config.Services, a.roster)
	a.log.Info("configuration in force", "version", stored.Version, "services", len(config.Services))
}

// tick runs one period of the assigner: timeouts and decisions on the leader, copying from the leader on other keepers.
func (a *Assigner) tick(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return
	}
	if !a.checkLeadership() {
		if a.suspendedAt == 0 {
			a.copyEndpoints(ctx)
			a.copyHeldResults(ctx)
		}
		return
	}
	now := a.clock.Now()
	a.activity.recordTick(now)
	for _, id := range a.roster.removeSilent(now) {
		a.log.Warn("endpoint forgotten: silent for too long", "endpoint", id, "silence_ms", a.roster.maxSilence)
		a.sched.RemoveEndpoint(now, id)
		a.publisher.remove(id)
	}
	if now-a.suspectsUpdatedAt >= suspectsInterval {
		a.updateSuspects()
		a.dropExpiredCuts(now)
	}
	a.publishLimits()
	a.settleVersions(now)
	a.logSettled(now)
	a.sched.Tick(now)
	a.executeActions()
	a.logActivity(now)
	a.logPace(now)
}

// executeActions lets the scheduler decide and carries out its decisions, now or once the former pass has had its time, unless the
// lease has lapsed. The caller holds mu.
func (a *Assigner) executeActions() {
	if a.suspendedAt > 0 || a.passPending || a.stopping {
		return
	}
	if wait := time.Until(a.nextPass); wait > 0 {
		a.passPending = true
		time.AfterFunc(wait, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.passPending = false
			if a.checkLeadership() {
				a.executeActions()
			}
		})
		return
	}
	before := a.sched.Totals().Examined
	a.executeList(a.sched.TakeActions())
	examined := time.Duration(a.sched.Totals().Examined - before)
	a.nextPass = time.Now().Add(min(maxPassPause, examined*entryTime))
}

// executeList carries out decisions of the scheduler. The caller holds mu.
func (a *Assigner) executeList(actions []order.Action) {
	for _, action := range actions {
		a.heldEvents.addAction(action)
		switch {
		case action.Grant != nil:
			slowdown, reportAge := a.sched.AssumedSpeed(a.clock.Now(), action.Grant.Endpoint)
			a.log.Info("granted", "request", action.Grant.ID, "endpoint", action.Grant.Endpoint, "version", action.Grant.Version, "attempt", action.Grant.Attempt,
				"waited_ms", action.Grant.Waited, "expected_ms", action.Grant.Expected, "cached_tokens", action.Grant.Cached, "config", a.configVersion,
				"slowdown", slowdown, "report_age_ms", reportAge)
			a.meter.Observe("assign_wait_ms", int64(action.Grant.Waited))
			if !a.recordBeginning(action) {
				a.deliver(action.Grant.Key, action)
			}
		case action.Refuse != nil:
			a.log.Info("refused", "request", action.Refuse.ID, "reason", action.Refuse.Reason, "expected_ms", action.Refuse.Expected,
				"left_ms", action.Refuse.Left, "retry_after_ms", action.Refuse.RetryAfter, "config", a.configVersion,
				"queue", action.Refuse.Queue.Service, "pieces_before", action.Refuse.Queue.Pieces, "wait_ms", action.Refuse.Queue.Wait)
			a.meter.Count("assign_refused_total", 1, "reason", string(action.Refuse.Reason))
			a.deliver(action.Refuse.Key, action)
		case action.Reset != nil:
			x := action.Reset
			a.log.Info("inputs prepared again", "request", x.ID, "cause", x.Cause, "call", x.Call, "stage", x.Stage, "piece", x.Piece,
				"overdue", x.Overdue, "endpoint", x.Endpoint, "rebuilds", x.Rebuilds, "preparation", x.Preparation)
			a.meter.Count("assign_resets_total", 1, "cause", string(x.Cause))
		case action.Withheld != nil:
			x := action.Withheld
			a.log.Error("order withheld: its inputs are not complete", "request", x.ID, "stage_call", x.Call, "stage", x.Stage, "inputs", x.Inputs, "preparation", x.Preparation)
			a.meter.Count("assign_withheld_total", 1)
		case action.Ignored != nil:
			x := action.Ignored
			a.log.Info("failed pieces ignored", "request", x.ID, "why", x.Why, "call", x.Call, "stage", x.Stage, "pieces", x.Pieces, "reason", x.Reason)
			a.meter.Count("assign_pieces_ignored_total", int64(x.Pieces), "why", string(x.Why))
		case action.Call != nil:
			a.meter.Observe("stage_call_items", int64(len(action.Call.Items)), "service", action.Call.Service)
			call := *action.Call
			s := a.sched
			a.stageCalls.Add(1)
			a.Go(func() {
				defer a.stageCalls.Add(-1)
				a.callStage(s, call)
			})
		case action.Free != nil && action.Free.Lost:
			a.log.Debug("results not released: they no longer exist", "endpoint", action.Free.Life.Endpoint, "results", len(action.Free.Handles))
		case action.Free != nil:
			free := *action.Free
			s := a.sched
			a.Go(func() {
				a.freeResults(free)
				a.mu.Lock()
				defer a.mu.Unlock()
				a.checkLeadership()
				if a.sched == s {
					s.ResultsFreed(a.clock.Now(), free.Number)
					a.executeActions()
				}
			})
		}
	}
}

// waiter is a placement call that waits for a decision. Its channel is closed if none will come.
type waiter struct {
	decision chan order.Action
	// term is the term in which the call waits.
	term    uint64
	service string
	order.Continuation
}

// deliver passes a grant or refusal to the placement call that waits for it, if there is one.
func (a *Assigner) deliver(key order.Key, action order.Action) {
	if w, ok := a.waiters[key]; ok {
		delete(a.waiters, key)
		w.decision <- action
	}
}

// endWait ends a placement call without a decision.
func (a *Assigner) endWait(key order.Key) {
	if w, ok := a.waiters[key]; ok {
		delete(a.waiters, key)
		close(w.decision)
	}
}

// callStage runs one stage call and reports its results to the scheduler s that ordered it. If s has been replaced
// meanwhile, the results are freed instead: each scheduler numbers its calls from the start, so a result could be attributed
// to another call with the same number.
func (a *Assigner) callStage(s *sched.Scheduler, c order.Call) {
	var results []order.ItemResult
	var err error
	outcome := order.Rejected
	decidedAt := a.clock.Now()
	if a.beginTrial(c) {
		results, outcome, err = a.sendStageCall(c, decidedAt)
		a.reportOutcome(c, outcome)
	}
	ids := make([]core.RequestID, 0, len(c.Items))
	for _, item := range c.Items {
		if !slices.Contains(ids, item.ID) {
			ids = append(ids, item.ID)
		}
	}
	noRoom := 0
	for _, r := range results {
		if r.Reason == order.ItemNoRoom {
			noRoom++
		}
	}
	a.log.Info("stage call ended", "service", c.Service, "endpoint", c.Endpoint, "call", c.Number, "how", outcome,
		"pieces", len(c.Items), "expected_ms", c.Expected, "bytes", c.Bytes, "room", c.Room, "no_room", noRoom, "requests", ids, "apart", c.Alone, "err", err)
	a.meter.Count("stage_calls_total", 1, "service", c.Service, "how", string(outcome))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkLeadership()
	if a.sched != s || a.stopping {
		a.freeUnclaimed(c, results)
		return
	}
	s.CallDone(a.clock.Now(), c.Number, results, outcome)
	a.executeActions()
}

// freeUnclaimed frees the results of a call whose scheduler no longer exists.
func (a *Assigner) freeUnclaimed(c order.Call, results []order.ItemResult) {
	free := order.Free{Life: core.Life{Endpoint: c.Endpoint, Incarnation: c.Life}, Address: c.Address, FailureDomain: c.FailureDomain, Bounded: c.Bounded}
	for _, r := range results {
		if r.Handle != "" {
			free.Handles = append(free.Handles, r.Handle)
		}
	}
	if len(free.Handles) > 0 {
		a.Go(func() { a.freeResults(free) })
	}
}

// maxCallTime returns the timeout of a stage call: its longest expected duration, three times the usual one, plus
// callGrace.
func maxCallTime(c order.Call) core.Millis { return c.Expected*3 + callGrace }

// freeResults asks an endpoint to free results. Failures are only logged. Any success is due, and its body says nothing.
func (a *Assigner) freeResults(f order.Free) {
	call, err := a.dialect.FreeResults(f.Life.Endpoint, newCallID(), f.Handles)
	if err != nil {
		a.log.Error("cannot encode the call that frees results", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	sentAt := a.clock.Now()
	if !a.mayCall(f.Life, f.FailureDomain, f.Permitted, f.Bounded, 1, "release") {
		// The endpoint drops the results by itself a few seconds later.
		return
	}
	request := a.newPipeRequest(f.Address, freeGroup, call)
	request.SendBy = sentAt + io.CheckedTime
	if f.Bounded {
		request.SendBy = sentAt + permit.BoundSendLimit
	}
	resp, err := a.pipe.Do(ctx, request)
	if err != nil {
		// The endpoint drops the results by itself a few seconds later.
		a.log.Debug("call to free results failed", "address", f.Address, "err", err)
		return
	}
	defer resp.Close()
	verdict := a.dialect.ParseResponse(resp.Status, resp.Header)
	if verdict.OtherEndpoint {
		resp.EndConnection()
		a.log.Info("results not released: another endpoint has the address", "endpoint", f.Life.Endpoint, "address", f.Address, "results", len(f.Handles))
		return
	}
	a.applyStageNotice(f.Life, verdict)
	a.recordStageLimit(f.Life, verdict.Limit, sentAt)
	if _, err := resp.ReadAll(maxStageResponse); err != nil {
		a.log.Debug("cannot read the answer to a call that frees results", "address", f.Address, "err", err)
	}
}

// newCallID returns an ID that no other call has, so that a late answer to an earlier call is not taken for that to a later one.
func newCallID() core.RequestID { return core.RequestID(fmt.Sprintf("%016x", rand.Uint64())) }

func (a *Assigner) newPipeRequest(address, group string, c io.EndpointCall) pipe.Request {
	return pipe.Request{
		Address: address, Group: group, Method: c.Method, Target: c.Path, Host: address, Header: c.Header, Body: c.Body,
		IsAnswer: func(resp *http.Response) bool {
			return a.dialect.ParseResponse(resp.StatusCode, resp.Header).ID == c.ID
		},
		NamesNone: func(resp *http.Response) bool { return a.dialect.ParseResponse(resp.StatusCode, resp.Header).ID == "" },
	}
}

// outcomeOfSendError returns Unreachable if the request was never sent, and Broken if it may have reached the endpoint.
func outcomeOfSendError(err error) order.AttemptOutcome {
	if pipe.NotSent(err) {
		return order.Unreachable
	}
	return order.Broken
}
