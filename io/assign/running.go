package assign

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/sched"
	"cyclamenford/core/state"
	"cyclamenford/io/keeper"
)

// maxHostRequests bounds the list of one host. A host whose requests all run at engines has far fewer connections.
const maxHostRequests = 20_000

// HostRequest is a request that a host has in progress at an engine, or whose grant it has received and not used yet.
type HostRequest struct {
	Key      order.Key
	Endpoint core.EndpointID
	// Life is the incarnation of the endpoint.
	Life core.Incarnation
	// HeldTokens is the length of the prompt and its output, and UnreadTokens that of the prompt if no first byte has arrived.
	HeldTokens, UnreadTokens int
	// Began is set once the first byte of the answer has arrived.
	Began bool
	// Left is the time until the deadline of the request.
	Left core.Millis
	// Term is the term of the leader that granted the endpoint, 0 if its release does not state it.
	Term uint64
}

// RunningArgs lists all requests that an incarnation of a host has in progress at engines.
type RunningArgs struct {
	Host     core.HostID
	Life     core.Incarnation
	Requests []HostRequest
}

// RunningReply tells whether the answering keeper leads, and in which term.
type RunningReply struct {
	keeper.Located
	Term uint64
}

// Running takes in a host's list of its requests at engines. A host sends it once to each leader and term.
func (c *calls) Running(args RunningArgs, reply *RunningReply) error {
	a := c.assigner
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Located = a.leader.Located()
	// The list states facts, which are taken in also while the lease has lapsed.
	if reply.Leading = a.checkLeadership() || a.suspendedAt > 0; !reply.Leading {
		return nil
	}
	reply.Term = a.term
	if len(args.Requests) > maxHostRequests {
		a.log.Warn("list of running requests ignored: it is too long", "host", args.Host, "requests", len(args.Requests))
		return nil
	}
	now := a.clock.Now()
	list := make([]order.RunningRequest, 0, len(args.Requests))
	for _, r := range args.Requests {
		// The scheduler knows its own grants, some of which may have ended since the list was made. After a long lapse of the lease,
		// those of the former scheduler are of the same term.
		if r.Term == a.term && !a.sched.HasInherited(r.Key) {
			continue
		}
		list = append(list, order.RunningRequest{
			Key: r.Key, Endpoint: r.Endpoint, Life: r.Life, HeldTokens: r.HeldTokens, UnreadTokens: r.UnreadTokens, Began: r.Began,
			Till: now + r.Left + sched.HostReportGrace,
		})
	}
	a.sched.HostRunning(now, args.Host, args.Life, list)
	a.meter.Count("assign_host_lists_total", 1)
	a.meter.Count("assign_host_requests_total", int64(len(list)))
	a.log.Debug("host has listed its running requests", "host", args.Host, "requests", len(list))
	a.logSettled(now)
	a.executeActions()
	return nil
}

// inheritRunning gives a new scheduler the requests at engines that this keeper has copied from the former leader, and returns how many
// there are.
func (a *Assigner) inheritRunning(now core.Millis) int {
	copied := &a.standby.results
	requests := copied.runningRequests()
	a.inheritedAt, a.settledLogged = now, false
	a.sched.InheritRunning(now, sched.Takeover{
		Requests: requests, Copied: copied.whole && !copied.unsettled, Age: now - copied.copiedAt,
		Hosts: listingHosts(a.leader.Image(), requests),
	})
	a.meter.Count("assign_inherited_requests_total", int64(len(requests)))
	return len(requests)
}

// listingHosts returns the hosts with a serving lease that list their requests: those without a disk, which take clients' requests, and
// the keepers that have requests at engines.
func listingHosts(image state.Image, requests []order.RunningRequest) []core.HostID {
	var hosts []core.HostID
	for _, id := range slices.Sorted(maps.Keys(image.Hosts)) {
		host := image.Hosts[id]
		takes := host.Keeper == "" || slices.ContainsFunc(requests, func(r order.RunningRequest) bool { return r.Key.Host == id })
		if !host.Expired && takes {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// logSettled logs once in a term that the requests at engines are known, or that the wait for the lists of hosts has ended.
func (a *Assigner) logSettled(now core.Millis) {
	if a.settledLogged || a.term == 0 {
		return
	}
	status := a.sched.FormerStatus(now)
	if !status.Settled {
		return
	}
	a.settledLogged = true
	a.log.Info("running requests known", "inherited_requests", status.Requests, "hosts_heard", status.Heard, "hosts_missing", status.Missing,
		"took_ms", now-a.inheritedAt)
	a.meter.Observe("assign_lists_ms", int64(now-a.inheritedAt))
	a.meter.Count("assign_host_lists_missing_total", int64(status.Missing))
}

// setWhole adds to a reply all requests at engines, for a keeper that has not copied the events before.
func (a *Assigner) setWhole(reply *HeldReply) {
	reply.Whole, reply.Running = true, a.sched.Running()
}

// applyRunning updates the copy of the requests at engines. Times of the leader's clock are converted by shift.
func (c *resultsCopy) applyRunning(now core.Millis, reply HeldReply) {
	shift := now - reply.Now
	for _, e := range reply.Events {
		switch {
		case e.Runs != nil:
			c.addRunning(*e.Runs, shift)
		case e.FirstByte != nil:
			if r, ok := c.running[*e.FirstByte]; ok {
				r.Began = true
				c.running[*e.FirstByte] = r
			}
		case e.Left != nil:
			delete(c.running, *e.Left)
		}
	}
	if reply.Whole {
		clear(c.running)
		for _, r := range reply.Running {
			c.addRunning(r, shift)
		}
	}
	c.whole = c.whole || reply.Whole
	c.unsettled, c.copiedAt = reply.Unsettled, now
	maps.DeleteFunc(c.running, func(_ order.Key, r order.RunningRequest) bool { return r.Till < now })
}

func (c *resultsCopy) addRunning(r order.RunningRequest, shift core.Millis) {
	r.Till += shift
	c.running[r.Key] = r
}

// runningRequests returns the requests at engines, ordered by key.
func (c *resultsCopy) runningRequests() []order.RunningRequest {
	return slices.SortedFunc(maps.Values(c.running), func(a, b order.RunningRequest) int { return a.Key.Compare(b.Key) })
}

// addRunning records a scheduler action about requests at engines, and reports whether it was one.
func (l *eventLog) addRunning(action order.Action) bool {
	switch {
	case action.RequestRuns != nil:
		l.add(ResultEvent{Runs: action.RequestRuns})
	case action.RequestBegan != nil:
		l.add(ResultEvent{FirstByte: action.RequestBegan})
	case action.RequestEnded != nil:
		l.add(ResultEvent{Left: action.RequestEnded})
	default:
		return false
	}
	return true
}

// has reports whether all events from a number on are kept.
func (l *eventLog) has(from uint64) bool { return from >= l.nextNumber-uint64(len(l.events)) }

// addObservations adds to the endpoints what the scheduler has observed of them.
func (a *Assigner) addObservations(now core.Millis, list []KnownEndpoint) {
	for i := range list {
		e := list[i].Announcement.Endpoint
		list[i].Observed, _ = a.sched.Observed(now, core.Life{Endpoint: e.ID, Incarnation: e.Incarnation})
	}
}
