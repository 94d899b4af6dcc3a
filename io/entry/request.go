package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
	relay "cyclamenford/io"
	"cyclamenford/io/assign"
	"cyclamenford/io/buffer"
	"cyclamenford/io/keeper"
	"cyclamenford/io/listen"
	"cyclamenford/io/peer"
)

const (
	// noLeaderRetryAfter is the retry delay while no keeper leads: about the duration of an election.
	noLeaderRetryAfter = core.Second
	// fullRetryAfter is the retry delay for a request whose endpoint turned out to be full.
	fullRetryAfter = 250 * core.Millis(1)
	// leaderTimeout is how long after its last answer a leader is considered lost: two held calls and a retransmission.
	leaderTimeout = core.Second
	// leaderWaitDivisor gives the part of the route's aim, or of the request's time if that is shorter, during which a
	// request may wait for a leader: a refusal within an eighth costs the client least.
	leaderWaitDivisor = 8
	// leaderPollInterval is the time between two checks for a new leader.
	leaderPollInterval = 30 * core.Millis(1)
	// placeCallGrace is how long a call to the scheduler may outlast the request's deadline, so that its answer can still
	// arrive.
	placeCallGrace = 300 * core.Millis(1)
	// defaultTimeout is the timeout of a request without a deadline of its own, unless its route has a longer one.
	defaultTimeout = 30 * core.Second
)

// errUnknownRequest means that the leader does not know the request, because an earlier leader placed it.
var errUnknownRequest = errors.New("placed with an earlier leader")

// request is a client's request while this host processes it.
type request struct {
	entry       *Entry
	incoming    relay.ClientRequest
	httpRequest *http.Request
	route       conf.Route
	// service is the service chosen by the route's traffic split, and generatesTokens means that it generates tokens.
	service         string
	generatesTokens bool
	// plain requests need neither batching nor a shared cache: this host chooses their endpoints without the scheduler.
	plain        bool
	organisation conf.Organisation
	body         []byte
	// content identifies what is requested, independently of the request's ID.
	content  poison.Content
	arrived  core.Millis
	deadline core.Millis
	// key identifies the request to the present scheduler, and former identified it to an earlier one. keyTaken means that a scheduler may
	// know the key.
	key, former order.Key
	keyTaken    bool
	attempts    int
	// tried holds the endpoints that this host has chosen. uncountedAttempts is the number of attempts at unreachable
	// endpoints that do not count as attempts, endpoints that the scheduler chose included.
	tried             []core.EndpointID
	uncountedAttempts int
	// mayHaveRun is the ending of the last attempt in which the request may have run; it is empty if the request has
	// certainly not run.
	mayHaveRun order.AttemptOutcome
	// parts identify the shared parts of the prompt. attemptBegan is when the present attempt was sent, and bodyBeganAt when
	// the first part of its answer's body has arrived, 0 before that.
	parts                     []poison.Content
	attemptBegan, bodyBeganAt core.Millis
	// errorAnswer is an error answer of an endpoint, which the client gets if no later attempt succeeds.
	errorAnswer *answer
	sending     sending
	// buffer holds what the client has not read of the answer, nil if nothing is buffered.
	buffer    *buffer.Answer
	record    attemptRecord
	heardLoad heardLoad
	// bound means that the client has received events of the stream, which may go on only at the software version version.
	bound   bool
	version string
}

// serve handles a client's request.
func (e *Entry) serve(w http.ResponseWriter, httpRequest *http.Request) {
	arrived := e.clock.Now()
	e.active.Add(1)
	defer e.active.Add(-1)
	incoming, err := e.dialect.ParseRequest(httpRequest)
	if err != nil {
		e.refuse(w, incoming.ID, core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonBadHeader, "%v", err))
		return
	}
	r := &request{entry: e, incoming: incoming, httpRequest: httpRequest, arrived: arrived}
	if p := r.prepare(); p != nil {
		e.refuse(w, incoming.ID, p)
		return
	}
	if p := r.readBody(w); p != nil {
		e.refuse(w, incoming.ID, p)
		return
	}
	ctx, cancel := r.untilEnd()
	defer cancel()
	restore := r.startBuffer(cancel)
	defer restore()
	r.run(ctx, w)
}

// prepare determines the route, the organisation, the service and the deadline of the request, or returns the reason for a
// refusal.
func (r *request) prepare() *core.Problem {
	e := r.entry
	table, serves := e.servingTable()
	if !serves {
		return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoServingLease,
			"this host cannot be sure of the newest configuration").WithRetryAfter(noLeaderRetryAfter)
	}
	route, ok := table.Route(r.httpRequest.Host, r.httpRequest.URL.EscapedPath())
	if !ok {
		return core.NewProblem(http.StatusNotFound, core.NotRun, core.ReasonUnknownPipeline, "no route for %s", r.httpRequest.Host)
	}
	r.route = route
	if table.NeedsKey(route) {
		if r.organisation, ok = table.Organisation(r.incoming.Bearer); !ok {
			return core.NewProblem(http.StatusUnauthorized, core.NotRun, core.ReasonUnauthenticated, "unknown key")
		}
	}
	first := r.incoming.ID
	if r.takesUp() && r.incoming.Resumes != "" {
		// The stream goes on at the service that began it.
		first = r.incoming.Resumes
	}
	r.service = route.PickService(first)
	service, _ := table.Service(r.service)
	r.generatesTokens = service.Engine != nil
	// Only the scheduler knows at which software version a stream may go on.
	r.plain = service.Plain() && !r.resumable() && !slices.ContainsFunc(r.incoming.Pieces, func(n int) bool { return n > 0 })
	left := r.incoming.Left
	if left <= 0 {
		left = max(defaultTimeout, route.Timeout)
	}
	r.deadline = r.arrived + min(left, route.Timeout)
	return r.checkShutdown()
}

// readBody reads the body within the configured limit and refuses a request that is in quarantine.
func (r *request) readBody(w http.ResponseWriter) *core.Problem {
	limit := int64(defaultMaxBodyBytes)
	if configured := r.entry.table.Load().Config().Limits.MaxBodyBytes; configured > 0 {
		limit = configured
	}
	body, err := io.ReadAll(listen.MaxBytesReader(w, r.httpRequest.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return core.NewProblem(http.StatusRequestEntityTooLarge, core.NotRun, core.ReasonBodyTooLarge, "more than %d bytes", limit)
	case err != nil:
		return core.NewProblem(http.StatusBadRequest, core.NotRun, core.ReasonMalformedBody, "read body: %v", err)
	}
	r.body = body
	r.computeContent()
	return r.entry.guard.CheckQuarantine(r.identity())
}

// newAsk returns the description of the request for the scheduler.
func (r *request) newAsk() order.PlacementRequest {
	now := r.entry.clock.Now()
	a := order.PlacementRequest{
		Key: r.key, ID: r.incoming.ID, Route: r.route.Name, Service: r.service, Class: r.route.Class,
		Priority: r.priority(), FailureDomain: r.entry.options.FailureDomain,
		Aim: r.arrived + r.route.Aim - now, Left: r.end() - now,
		Prompt: r.incoming.Prompt, PieceKey: r.incoming.PieceKey, MaxAttempts: max(1, r.route.MaxAttempts),
		Attempts: r.attempts, Former: r.former, Organisation: r.organisation.Name, Content: r.content,
		Continuation: r.continuation(),
	}
	for i, s := range r.route.Stages {
		pieces := 0
		if i < len(r.incoming.Pieces) {
			pieces = r.incoming.Pieces[i]
		}
		a.Stages = append(a.Stages, order.StageRequest{Service: s.Service, After: s.After, Pieces: pieces, Bytes: s.Bytes})
	}
	return a
}

// place obtains an endpoint for the request: from the roll for a plain request, and from the scheduler otherwise. If the
// leader is lost meanwhile, it asks the next one, as long as there is time.
func (r *request) place(ctx context.Context) (*order.Grant, *core.Problem) {
	e := r.entry
	if r.plain {
		return r.choose(false)
	}
	for {
		leader := e.control.LeaderAddress()
		if e.clock.Now()-e.control.LastLeaderContact() > leaderTimeout {
			return nil, r.noLeaderProblem(keeper.ErrNoLeader)
		}
		grant, problem := r.callScheduler(ctx, assign.Service+".Place", r.newPlaceArgs)
		if problem == nil || problem.Reason != core.ReasonNoQuorum || !r.waitForLeader(ctx, leader) {
			return grant, problem
		}
		e.log.Info("request placed anew", "request", r.incoming.ID, "former_leader", leader, "why", problem.Detail)
	}
}

// newPlaceArgs returns the arguments of a placement call, under a key of its own. The former key is the latest one that a scheduler may know:
// results of the request's stages stand under it.
func (r *request) newPlaceArgs() any {
	if r.keyTaken {
		r.former, r.keyTaken = r.key, false
	}
	e := r.entry
	r.sending.placedAt = e.clock.Now()
	r.key = order.Key{Host: e.options.Host, Life: e.control.Holder().Incarnation, Seq: e.seq.Add(1)}
	return assign.PlaceArgs{Ask: r.newAsk()}
}

// waitForLeader pauses if the failed leader has not been replaced yet, and reports whether to try again. It reports false
// when so much time has passed that a refusal, after which the client retries, is better.
func (r *request) waitForLeader(ctx context.Context, failed string) bool {
	e := r.entry
	if ctx.Err() != nil {
		return false
	}
	if e.control.LeaderAddress() != failed {
		return true
	}
	if e.clock.Now()-r.arrived > min(r.route.Aim, r.deadline-r.arrived)/leaderWaitDivisor {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(leaderPollInterval.Duration()):
		return true
	}
}

// placeAgain obtains another endpoint after an attempt ended. A leader that does not know the request, because an earlier
// one placed it, gets it as a new request.
func (r *request) placeAgain(ctx context.Context, former *order.Grant, ending order.AttemptOutcome) (*order.Grant, *core.Problem) {
	defer func() { r.sending.grantedAt = r.entry.clock.Now() }()
	if r.plain {
		return r.choose(r.attempts > 0)
	}
	r.entry.events.running.remove(r.key)
	loadNotice := r.loadNotice()
	grant, problem := r.callScheduler(ctx, assign.Service+".Again", func() any {
		if ending == order.NotSent {
			return r.replacementArgs(former)
		}
		return assign.AgainArgs{Key: r.key, How: ending, Service: r.service, Continuation: r.continuation(), Notice: loadNotice}
	})
	if problem != nil && problem.Reason == core.ReasonNoQuorum && ctx.Err() == nil {
		r.entry.log.Info("attempt placed anew", "request", r.incoming.ID, "why", problem.Detail)
		return r.place(ctx)
	}
	return grant, problem
}

// callScheduler calls a method of the scheduler at the leader and returns its grant or refusal. If the called keeper does
// not lead and names another one, it calls that one, once.
func (r *request) callScheduler(ctx context.Context, method string, args func() any) (*order.Grant, *core.Problem) {
	e := r.entry
	address := e.control.LeaderAddress()
	for range 2 {
		left := r.end() - e.clock.Now() + placeCallGrace
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left.Duration())
		stop := context.AfterFunc(ctx, func() {
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				cancel()
			}
		})
		remove := e.calls.add(address, cancel)
		reply := new(assign.PlaceReply)
		err := e.peers.Call(callCtx, address, method, args(), reply)
		r.keyTaken = r.keyTaken || !errors.Is(err, peer.ErrNotSent) && !reply.NotTaken
		remove()
		stop()
		cancel()
		switch {
		case err != nil:
			return nil, r.noLeaderProblem(err)
		case reply.Grant != nil:
			r.recordGrant(reply.Grant, reply.Term, address)
			return reply.Grant, nil
		case reply.Refuse != nil:
			return nil, r.refusedProblem(*reply.Refuse)
		case reply.Unknown:
			return nil, r.noLeaderProblem(errUnknownRequest)
		case reply.LeaderAddress == "" || reply.LeaderAddress == address:
			return nil, r.noLeaderProblem(keeper.ErrNoLeader)
		}
		e.control.LeaderNamed(address, reply.LeaderAddress)
		address = reply.LeaderAddress
	}
	return nil, r.noLeaderProblem(keeper.ErrNoLeader)
}

// noLeaderProblem returns the refusal of a request for which no scheduler could be reached.
func (r *request) noLeaderProblem(err error) *core.Problem {
	return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoQuorum, "no scheduler: %v", err).
		WithRetryAfter(noLeaderRetryAfter)
}

// refusedProblem returns the problem for the client when the scheduler has refused the request.
func (r *request) refusedProblem(f order.Refusal) *core.Problem {
	return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, f.Reason,
		"expected %d ms, left %d ms", f.Expected, f.Left).WithRetryAfter(f.RetryAfter)
}

// recheck verifies just before sending that the host still holds its serving lease and that the client's key is still
// valid.
func (r *request) recheck() *core.Problem {
	e := r.entry
	table, serves := e.servingTable()
	if !serves {
		return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonNoServingLease,
			"the serving lease has run out").WithRetryAfter(noLeaderRetryAfter)
	}
	if table.NeedsKey(r.route) {
		if o, ok := table.Organisation(r.incoming.Bearer); !ok || o.Name != r.organisation.Name {
			return core.NewProblem(http.StatusUnauthorized, core.NotRun, core.ReasonUnauthenticated, "the key was taken away")
		}
	}
	return nil
}

// recheckWaited repeats the checks that a request has passed before it waited for a trial or a permit. It reports false if the request
// must not be sent to the endpoint, or returns its refusal.
func (r *request) recheckWaited(ctx context.Context, g *order.Grant) (bool, *core.Problem) {
	r.sending.checkedAt = r.entry.clock.Now()
	problem := r.checkShutdown()
	if problem == nil && ctx.Err() != nil {
		problem = r.failureProblem(order.Unreachable)
	}
	if problem == nil {
		problem = r.recheck()
	}
	return problem == nil && !r.isUnusable(g), problem
}

// repeatable reports whether the request may be sent again after an attempt in which it may have run.
func (r *request) repeatable() bool {
	return r.route.Class == conf.Repeatable || r.route.Class == conf.Stream && r.route.Resumable
}

// notRun reports whether an ending proves that the endpoint has not run the request.
func notRun(ending order.AttemptOutcome) bool {
	switch ending {
	case order.Rejected, order.Unreachable, order.GoneInput, order.OtherEndpoint, order.NotSent:
		return true
	}
	return false
}

// mayRetry reports whether another attempt may follow one with the given ending.
func (r *request) mayRetry(ending order.AttemptOutcome) bool {
	if r.attempts >= max(1, r.route.MaxAttempts) || r.entry.clock.Now() >= r.end() {
		return false
	}
	return notRun(ending) || r.repeatable() && ending != order.Abandoned && ending != order.Late
}
