package sched

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
)

// Suspicion is the quarantine state of the pieces of one stage of a request.
type Suspicion struct {
	Standing poison.Standing
	// RetryAfter is when a client whose request is convicted should try again.
	RetryAfter core.Millis
}

// SetSuspects replaces the list of pieces that are suspected or convicted of crashing endpoints. Convicted pieces are
// refused. Suspected pieces run alone in their calls, one call at a time.
func (s *Scheduler) SetSuspects(now core.Millis, suspects map[poison.Content]Suspicion) {
	s.now = now
	s.suspects = suspects
	if len(suspects) == 0 {
		return
	}
	for _, r := range s.sortedRequests() {
		if suspicion, convicted := s.convictedStage(r); convicted && r.endpoint == nil {
			s.refuseConvicted(r, suspicion)
			s.drop(r)
		}
	}
	s.passDue = true
}

// convictedStage returns the suspicion against a stage that a request still needs, if that stage is convicted.
func (s *Scheduler) convictedStage(r *request) (Suspicion, bool) {
	if len(s.suspects) == 0 {
		return Suspicion{}, false
	}
	for i := range r.stages {
		if x := s.suspects[r.stages[i].content]; x.Standing == poison.Convicted && r.stages[i].missing > 0 {
			return x, true
		}
	}
	return Suspicion{}, false
}

func (s *Scheduler) refuseConvicted(r *request, suspicion Suspicion) {
	s.actions = append(s.actions, order.Action{Refuse: &order.Refusal{
		Key: r.Key, ID: r.ID, Reason: core.ReasonQuarantined, RetryAfter: suspicion.RetryAfter, Left: r.deadlineAt - s.now,
	}})
}

// runsAlone reports whether a group is suspected and must run alone in its calls.
func (s *Scheduler) runsAlone(g *group) bool {
	return len(s.suspects) > 0 && s.suspects[g.content()].Standing == poison.Suspected
}

// inTrial reports whether a call is in progress in which the same pieces run alone. The group must wait for its end.
func (s *Scheduler) inTrial(g *group) bool {
	if len(s.trials) == 0 {
		return false
	}
	_, running := s.trials[g.content()]
	return running
}

func (g *group) content() poison.Content { return g.request.stages[g.stage].content }

// owners returns the requests whose pieces are in a call, without duplicates.
func (s *Scheduler) owners(items []order.Item) []order.Owner {
	var list []order.Owner
	seen := map[poison.Content]bool{}
	for _, i := range items {
		r := s.requests[i.Key]
		if content := r.stages[i.Stage].content; !seen[content] {
			seen[content] = true
			list = append(list, order.Owner{ID: i.ID, Organisation: r.Organisation, Content: content})
		}
	}
	return list
}
