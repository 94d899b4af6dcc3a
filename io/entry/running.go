package entry

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"sync"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/io/assign"
)

// runningList tracks the granted requests at engines, so that a new leader can be told about all of them. Its methods may be called
// concurrently.
type runningList struct {
	mu       sync.Mutex
	requests map[order.Key]*runningRequest
	// toldLeader and toldTerm are the leader that was told last and its term, and newestTerm is the highest term heard of.
	toldLeader           string
	toldTerm, newestTerm uint64
	// toldLife is the incarnation of this host in the last list. A leader drops the requests of earlier ones when it hears of a new one.
	toldLife core.Incarnation
	// outdated means that a grant of another leader has arrived since the last list was made.
	outdated bool
}

// runningRequest is a granted request until its attempt has ended.
type runningRequest struct {
	assign.HostRequest
	// end is the deadline of the request.
	end core.Millis
}

func newRunningList() *runningList {
	return &runningList{requests: map[order.Key]*runningRequest{}}
}

// add adds a request that the leader at an address has granted.
func (l *runningList) add(x assign.HostRequest, end core.Millis, leader string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[x.Key] = &runningRequest{HostRequest: x, end: end}
	l.newestTerm = max(l.newestTerm, x.Term)
	l.outdated = l.outdated || leader != l.toldLeader
}

// begin records that the answer to a request has begun.
func (l *runningList) begin(key order.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x, ok := l.requests[key]; ok {
		x.Began, x.UnreadTokens = true, 0
	}
}

// remove removes a request whose attempt has ended.
func (l *runningList) remove(key order.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requests, key)
}

// noteTerm records a term in which a keeper has led.
func (l *runningList) noteTerm(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestTerm = max(l.newestTerm, term)
}

// makeList returns the requests in progress ordered by key if the leader at an address has not been told by this incarnation of the host,
// and the newest term at that moment.
func (l *runningList) makeList(now core.Millis, leader string, life core.Incarnation) (list []assign.HostRequest, term uint64, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if leader == "" || leader == l.toldLeader && life == l.toldLife && l.newestTerm <= l.toldTerm && !l.outdated {
		return nil, 0, false
	}
	l.outdated, l.toldLife = false, life
	for _, x := range l.requests {
		x.Left = x.end - now
		list = append(list, x.HostRequest)
	}
	slices.SortFunc(list, func(a, b assign.HostRequest) int { return a.Key.Compare(b.Key) })
	return list, l.newestTerm, true
}

// setTold records that the leader at an address has the list of a term.
func (l *runningList) setTold(leader string, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toldLeader, l.toldTerm = leader, term
	l.newestTerm = max(l.newestTerm, term)
}

// setUntold records that a list was not received.
func (l *runningList) setUntold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toldLeader = ""
}

// tellRunning lists the requests in progress at engines to a leader that has not been told in its term. It reports false if the leader has
// not received them.
func (e *eventQueue) tellRunning(ctx context.Context) bool {
	leader := e.control.LeaderAddress()
	life := e.control.Holder().Incarnation
	list, term, due := e.running.makeList(e.clock.Now(), leader, life)
	if !due {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	args := assign.RunningArgs{Host: e.host, Life: life, Requests: list}
	var reply assign.RunningReply
	err := e.peers.Call(ctx, leader, assign.Service+".Running", args, &reply)
	var refused rpc.ServerError
	switch {
	case errors.As(err, &refused):
		// A keeper of an earlier release has no such call.
		e.log.Warn("running requests not taken by the leader", "leader", leader, "requests", len(list), "err", err)
	case err != nil:
		e.log.Debug("running requests not told", "leader", leader, "requests", len(list), "err", err)
		e.running.setUntold()
		return false
	case !reply.Leading:
		e.running.setUntold()
		return false
	default:
		e.log.Info("running requests told", "leader", leader, "term", reply.Term, "requests", len(list))
	}
	e.running.setTold(leader, max(term, reply.Term))
	return true
}

// recordGrant adds a grant of the scheduler at an address to the running requests if it is at an engine.
func (r *request) recordGrant(g *order.Grant, term uint64, leader string) {
	if !r.generatesTokens {
		return
	}
	prompt := r.incoming.Prompt
	r.entry.events.running.add(assign.HostRequest{
		Key: g.Key, Endpoint: g.Endpoint, Life: g.Life, HeldTokens: prompt.Tokens + prompt.Output, UnreadTokens: prompt.Tokens, Term: term,
	}, r.end(), leader)
}
