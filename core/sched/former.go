package sched

import (
	"maps"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/order"
)

const (
	// hostListTimeout is how long after a takeover the lists of hosts are waited for. Within the time of an election every host that is in
	// contact with the keepers finds the new leader.
	hostListTimeout = 1500 * core.Millis(1)
	// missedPerSecond is the part of an engine's memory that grants which the copy missed may take up, for each second of the copy's age. In
	// bursts an engine gets about 7 requests of a twentieth of its memory per second.
	missedPerSecond = 0.35
	// missedRequests is how many of the largest known requests the copy may have missed at one engine at least.
	missedRequests = 2
	// endedTime is for how long the end of a request is remembered that an earlier scheduler granted: longer than a list may be on its way.
	endedTime = 2 * core.Second
	// unevenFactor is how much more of what the copy missed may belong to a host than its share.
	unevenFactor = 3
)

// Takeover describes what a new scheduler is told of the requests that an earlier one granted.
type Takeover struct {
	// Requests are the requests that a copy of the earlier scheduler's events holds.
	Requests []order.RunningRequest
	// Copied means that there is a copy, made by a scheduler that knew its own engines' requests, and Age is its age.
	Copied bool
	Age    core.Millis
	// Hosts are the hosts with a serving lease, which will list their requests.
	Hosts []core.HostID
}

// FormerStatus counts what a scheduler knows of the requests that an earlier one granted.
type FormerStatus struct {
	// Requests is the number of those that are still counted at their engines.
	Requests int
	// Heard and Missing are the numbers of hosts that have listed their requests and that have not.
	Heard, Missing int
	// Settled means that nothing unknown is counted any more.
	Settled bool
}

// formerRequests are the requests that an earlier scheduler granted and whose end is not known yet.
type formerRequests struct {
	requests map[order.Key]*formerRequest
	// unattached is the number of requests whose engine is not known yet.
	unattached int
	// hosts is the number of hosts whose lists are or were awaited, missing holds those that have sent none, and until is when the wait
	// ends.
	hosts   int
	missing map[core.HostID]bool
	until   core.Millis
	// copied means that the requests come from a copy of the age copyAge, so that only recent ones may be missing.
	copied  bool
	copyAge core.Millis
	// largest is the largest number of tokens that a known request holds.
	largest int
	// ended holds when hosts have reported the ends of requests. A list that was made before may arrive after that.
	ended map[order.Key]core.Millis
}

// formerRequest is a request that an earlier scheduler granted.
type formerRequest struct {
	order.RunningRequest
	// endpoint is nil until the engine is known.
	endpoint *fleet.Endpoint
	load     fleet.Load
}

func newFormerRequests() formerRequests {
	return formerRequests{requests: map[order.Key]*formerRequest{}, missing: map[core.HostID]bool{}, ended: map[order.Key]core.Millis{}}
}

// InheritRunning takes over the requests that an earlier scheduler granted. Until all hosts have listed their requests, or
// hostListTimeout has passed, engines get only new work that fits beside what may not be known.
func (s *Scheduler) InheritRunning(now core.Millis, t Takeover) {
	s.now = now
	f := &s.former
	f.copied, f.copyAge, f.until = t.Copied, t.Age, now+hostListTimeout
	for _, host := range t.Hosts {
		f.missing[host] = true
	}
	f.hosts = len(f.missing)
	for _, r := range t.Requests {
		if r.Key.Life >= s.incarnations[r.Key.Host] {
			s.addFormer(r)
		}
	}
}

// HostRunning takes in a host's list of the requests that it has in progress at engines and that an earlier scheduler granted. Requests of
// the host that it does not list have ended. A host that has lost its lease lists requests of an earlier life that it still has.
func (s *Scheduler) HostRunning(now core.Millis, host core.HostID, life core.Incarnation, list []order.RunningRequest) {
	s.now = now
	s.recordIncarnation(host, life)
	if s.incarnations[host] != life {
		return
	}
	listed := make(map[order.Key]bool, len(list))
	for _, r := range list {
		listed[r.Key] = true
	}
	s.endFormers(func(r *formerRequest) bool { return r.Key.Host == host && !listed[r.Key] })
	for _, r := range list {
		if r.Key.Host != host || r.Key.Life > life {
			continue
		}
		known, ok := s.former.requests[r.Key]
		switch {
		case !ok:
		case known.Endpoint != r.Endpoint || known.Life != r.Life:
			s.endFormer(r.Key)
		default:
			if r.Began {
				s.beginFormer(r.Key)
			}
			continue
		}
		s.addFormer(r)
	}
	s.stopAwaiting(host)
}

// HasInherited reports whether the scheduler counts a request that an earlier one granted.
func (s *Scheduler) HasInherited(key order.Key) bool {
	_, ok := s.former.requests[key]
	return ok
}

// stopAwaiting records that no list of a host is awaited any more.
func (s *Scheduler) stopAwaiting(host core.HostID) {
	if s.former.missing[host] {
		delete(s.former.missing, host)
		s.passDue = true
	}
}

// FormerStatus returns the counts of the requests that an earlier scheduler granted.
func (s *Scheduler) FormerStatus(now core.Millis) FormerStatus {
	f := &s.former
	return FormerStatus{
		Requests: len(f.requests), Heard: f.hosts - len(f.missing), Missing: len(f.missing), Settled: !f.isUnknown(now),
	}
}

// isUnknown reports whether hosts may have requests at engines that this scheduler does not know.
func (f *formerRequests) isUnknown(now core.Millis) bool { return len(f.missing) > 0 && now < f.until }

// fitsKnown reports whether an engine has room for a prompt beside its load and the requests that may not be known.
func (s *Scheduler) fitsKnown(e *fleet.Endpoint, p order.Prompt) bool {
	if !s.former.isUnknown(s.now) || !e.IsEngine() {
		return true
	}
	return e.FitsBeside(p, s.former.unknownTokens(e))
}

// unknownTokens returns the number of tokens at an engine that requests of an earlier scheduler may take up which this one does not know:
// less, the more hosts have listed theirs, but at least missedRequests. Without a copy it is all that the earlier scheduler planned for.
func (f *formerRequests) unknownTokens(e *fleet.Endpoint) int {
	most := e.PlannedMemory()
	if !f.copied {
		return most
	}
	missed := int(missedPerSecond * f.copyAge.Duration().Seconds() * float64(e.Memory()))
	requests := missedRequests * f.largest
	most = min(most, max(missed, requests))
	return min(most, max(unevenFactor*most*len(f.missing)/max(1, f.hosts), requests))
}

// addFormer counts a request of an earlier scheduler at its engine, unless this scheduler has the request itself or it has ended.
func (s *Scheduler) addFormer(r order.RunningRequest) {
	_, own := s.requests[r.Key]
	_, known := s.former.requests[r.Key]
	_, ended := s.former.ended[r.Key]
	if own || known || ended || s.now >= r.Till || r.HeldTokens < 0 {
		return
	}
	x := &formerRequest{RunningRequest: r}
	x.load = fleet.Load{UnreadTokens: min(max(0, r.UnreadTokens), r.HeldTokens), HeldTokens: r.HeldTokens}
	if r.Began {
		x.load.UnreadTokens = 0
	}
	s.former.requests[r.Key] = x
	s.former.largest = max(s.former.largest, r.HeldTokens)
	s.former.unattached++
	s.attach(x)
	s.actions = append(s.actions, order.Action{RequestRuns: &r})
}

// attach counts a request at its engine if that is known.
func (s *Scheduler) attach(x *formerRequest) {
	e, ok := s.fleet.Engine(x.Endpoint, x.Life)
	if !ok {
		return
	}
	s.former.unattached--
	x.endpoint = e
	e.AddInherited(x.load, fleet.NewPrefixChain(x.Parts))
}

// attachFormer counts the requests at their engines whose engines have become known.
func (s *Scheduler) attachFormer() {
	if s.former.unattached == 0 {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.former.requests), compareKeys) {
		if x := s.former.requests[key]; x.endpoint == nil {
			s.attach(x)
		}
	}
}

// detachFormer notes that an engine has been removed. It may be announced again.
func (s *Scheduler) detachFormer(id core.EndpointID) {
	for _, x := range s.former.requests {
		if x.Endpoint == id && x.endpoint != nil {
			x.endpoint = nil
			s.former.unattached++
		}
	}
}

// beginFormer records the first byte of a request that an earlier scheduler granted.
func (s *Scheduler) beginFormer(key order.Key) {
	x, ok := s.former.requests[key]
	if !ok || x.Began {
		return
	}
	if x.endpoint != nil {
		x.endpoint.BeginInherited(x.load)
	}
	x.load.UnreadTokens = 0
	x.Began = true
	s.actions = append(s.actions, order.Action{RequestBegan: &key})
	s.passDue = true
}

// recordFormerEnding records how an attempt ended that an earlier scheduler granted, and frees its room.
func (s *Scheduler) recordFormerEnding(key order.Key, ending order.AttemptOutcome) {
	if x, ok := s.former.requests[key]; ok && x.endpoint != nil {
		// When the request was sent is not known; it was before any change of the window here.
		s.recordEnding(x.endpoint, 0, ending, x.endpoint.Running())
		x.endpoint.RecordEnding(s.now, ending)
	}
	s.endReported(key)
}

// endReported frees the room of a request that an earlier scheduler granted and whose end its host has reported.
func (s *Scheduler) endReported(key order.Key) {
	if key != (order.Key{}) {
		s.former.ended[key] = s.now
	}
	s.endFormer(key)
}

// endFormer frees the room of a request that an earlier scheduler granted, if there is one.
func (s *Scheduler) endFormer(key order.Key) {
	x, ok := s.former.requests[key]
	if !ok {
		return
	}
	delete(s.former.requests, key)
	if x.endpoint == nil {
		s.former.unattached--
	} else {
		x.endpoint.RemoveInherited(x.load, x.Began)
	}
	s.actions = append(s.actions, order.Action{RequestEnded: &key})
	s.passDue = true
}

// endFormers frees the room of the requests for which ended returns true.
func (s *Scheduler) endFormers(ended func(*formerRequest) bool) {
	var keys []order.Key
	for key, x := range s.former.requests {
		if ended(x) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	for _, key := range keys {
		s.endFormer(key)
	}
}

// endFormerLives frees the room of the requests of a host's earlier incarnations.
func (s *Scheduler) endFormerLives(host core.HostID, life core.Incarnation) {
	s.endFormers(func(r *formerRequest) bool { return r.Key.Host == host && r.Key.Life < life })
}

// expireFormer frees the room of the requests whose deadlines have passed without a report.
func (s *Scheduler) expireFormer() {
	s.endFormers(func(r *formerRequest) bool { return s.now >= r.Till })
	maps.DeleteFunc(s.former.ended, func(_ order.Key, at core.Millis) bool { return s.now-at >= endedTime })
}

// recordRuns reports that a request was granted an engine, so that a later scheduler can count it there.
func (s *Scheduler) recordRuns(r *request) {
	if x, ok := r.running(); ok {
		s.actions = append(s.actions, order.Action{RequestRuns: &x})
	}
}

// running describes a request at its engine, or returns false if it has none.
func (r *request) running() (order.RunningRequest, bool) {
	if r.endpoint == nil || !r.endpoint.IsEngine() {
		return order.RunningRequest{}, false
	}
	return order.RunningRequest{
		Key: r.Key, Endpoint: r.endpoint.ID, Life: r.endpoint.Incarnation, HeldTokens: r.load.HeldTokens, UnreadTokens: r.load.UnreadTokens,
		Began: r.firstByteSeen, Till: r.deadlineAt + HostReportGrace, Parts: r.Prompt.Parts,
	}, true
}

// recordBegan reports that the first byte of a request at an engine has arrived.
func (s *Scheduler) recordBegan(r *request) {
	if r.endpoint.IsEngine() {
		s.actions = append(s.actions, order.Action{RequestBegan: &r.Key})
	}
}

// recordLeft reports that a request leaves its engine, if it has one.
func (s *Scheduler) recordLeft(r *request) {
	if r.endpoint != nil && r.endpoint.IsEngine() {
		s.actions = append(s.actions, order.Action{RequestEnded: &r.Key})
	}
}

// Running returns the requests at engines, those that an earlier scheduler granted included, ordered by key.
func (s *Scheduler) Running() []order.RunningRequest {
	var list []order.RunningRequest
	for _, r := range s.requests {
		if x, ok := r.running(); ok {
			list = append(list, x)
		}
	}
	for _, x := range s.former.requests {
		list = append(list, x.RunningRequest)
	}
	slices.SortFunc(list, func(a, b order.RunningRequest) int { return compareKeys(a.Key, b.Key) })
	return list
}

// Observed returns what is observed of an endpoint's incarnation, or false if it is not known.
func (s *Scheduler) Observed(now core.Millis, life core.Life) (order.Observation, bool) {
	return s.fleet.Observed(now, life)
}

// InheritObservation takes over what an earlier scheduler observed of an endpoint's incarnation.
func (s *Scheduler) InheritObservation(now core.Millis, life core.Life, o order.Observation) {
	s.now = now
	s.fleet.ApplyObservation(now, life, o)
}
