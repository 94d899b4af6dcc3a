package sched

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
)

// maxRebuilds is how often the lost inputs of a request are prepared again. It covers the loss of one endpoint and of
// one more.
const maxRebuilds = 2

// stageState is the progress of one stage of a request.
type stageState struct {
	order.StageRequest
	// content identifies the pieces of the stage when the request is sent again.
	content poison.Content
	// service is the service that prepares the stage, or nil if it is not configured.
	service *service
	started bool
	missing int
	handles []string
	// held counts the results of the stage that endpoints hold, and heldIn counts them by failure domain.
	held   int
	heldIn map[core.FailureDomain]int
	// running counts the pieces of the present preparation in calls that are not overdue.
	running  int
	failures int
	// fetched marks the pieces whose calls have fetched their inputs. freed is set when the results were freed before
	// the stages that need them were done.
	fetched []bool
	freed   bool
	// expiresAt is when the first result of the stage expires.
	expiresAt core.Millis
}

func newStage(a order.StageRequest, svc *service) stageState {
	return stageState{StageRequest: a, service: svc, missing: a.Pieces, handles: make([]string, a.Pieces), fetched: make([]bool, a.Pieces)}
}

// queued returns the number of pieces that are in no call.
func (st *stageState) queued() int { return max(0, st.missing-st.running) }

func (r *request) inputsReady(after []int) bool {
	for _, i := range after {
		if r.stages[i].missing > 0 {
			return false
		}
	}
	return true
}

// holdsInputs reports whether endpoints hold a result of each piece of the given stages.
func (r *request) holdsInputs(stages []int) bool {
	return !slices.ContainsFunc(stages, func(i int) bool {
		st := &r.stages[i]
		return st.missing > 0 || st.held != st.Pieces || slices.Contains(st.handles, "")
	})
}

// withhold reports an order that would name incomplete inputs, and prepares them again.
func (s *Scheduler) withhold(r *request, x order.Withheld) {
	x.ID, x.Preparation = r.ID, r.preparation
	s.actions = append(s.actions, order.Action{Withheld: &x})
	s.rebuildOrRefuse(r, order.Reset{Cause: order.ResetWithheld, Stage: x.Stage})
	s.passDue = true
}

// inputHandles returns the handles of all pieces of the given stages.
func (r *request) inputHandles(stages []int) []string {
	var list []string
	for _, i := range stages {
		list = append(list, r.stages[i].handles...)
	}
	return list
}

// finalStages returns the stages whose results no other stage uses.
func (r *request) finalStages() []int {
	if r.final != nil {
		return r.final
	}
	used := map[int]bool{}
	for _, st := range r.stages {
		for _, a := range st.After {
			used[a] = true
		}
	}
	r.final = []int{}
	for i := range r.stages {
		if !used[i] {
			r.final = append(r.final, i)
		}
	}
	return r.final
}

// inputsExpired reports whether a result has expired that a waiting request still needs.
func (r *request) inputsExpired(now core.Millis) bool {
	for i := range r.stages {
		st := &r.stages[i]
		if st.expiresAt > 0 && now > st.expiresAt && r.needsResults(i) {
			return true
		}
	}
	return false
}

// needsResults reports whether the results of a stage are still to be used.
func (r *request) needsResults(stage int) bool {
	if slices.Contains(r.finalStages(), stage) {
		return true
	}
	for i := range r.stages {
		if r.stages[i].missing > 0 && slices.Contains(r.stages[i].After, stage) {
			return true
		}
	}
	return false
}

// rebuildOrRefuse prepares the inputs of a request again, or refuses the request if it was rebuilt too often or if that
// would delay other requests.
func (s *Scheduler) rebuildOrRefuse(r *request, reset order.Reset) {
	if r.rebuilds >= maxRebuilds || !s.hasSpareCapacity(r) {
		s.refuse(r, core.ReasonInputsLost, s.expectedTime(r))
		s.drop(r)
		return
	}
	r.rebuilds++
	s.rebuildInputs(r, reset)
}

// rebuildInputs prepares all inputs of a request again. reset tells why.
func (s *Scheduler) rebuildInputs(r *request, reset order.Reset) {
	reset.ID, reset.Rebuilds = r.ID, r.rebuilds
	if r.endpoint != nil {
		reset.Endpoint = r.endpoint.ID
	}
	s.freeAllResults(r)
	r.freed = false
	s.dequeue(r)
	r.addWork(-1)
	s.resetStages(r)
	r.addWork(1)
	reset.Preparation = r.preparation
	s.actions = append(s.actions, order.Action{Reset: &reset})
	if suspicion, convicted := s.convictedStage(r); convicted {
		s.refuseConvicted(r, suspicion)
		s.drop(r)
		return
	}
	s.advance(r)
}

// resetStages begins a preparation of a request's stages, none of which has a result.
func (s *Scheduler) resetStages(r *request) {
	s.lastPreparation++
	r.preparation, r.unfinished = s.lastPreparation, 0
	r.stages = make([]stageState, len(r.Stages))
	for i, ask := range r.Stages {
		r.stages[i] = newStage(ask, s.services[ask.Service])
		r.stages[i].content = r.Content.ForStage(i)
		if ask.Pieces > 0 {
			r.unfinished++
		}
	}
}
