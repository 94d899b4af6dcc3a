package retry

import "cyclamenford/core"

const (
	// MaxAttempts is the largest number of attempts of one stage of a request.
	MaxAttempts = 3
	// urgentHedgeFactor and otherHedgeFactor multiply the 95th percentile of a stage's run time to get the delay before a
	// hedge.
	urgentHedgeFactor = 1.5
	otherHedgeFactor  = 4.0
	minHedgeDelay     = 50 * core.Millis(1)
	// defaultHedgeDelay is the delay before a hedge while too few runs of the stage were measured.
	defaultHedgeDelay = core.Second
)

// Step says what to do after an attempt has failed.
type Step uint8

// The steps that can follow a failed attempt.
const (
	// Fail means that the failure is final for the stage.
	Fail Step = iota
	// Retry means that another attempt is to start after a backoff.
	Retry
	// AwaitOther means that another attempt still runs and may succeed.
	AwaitOther
)

// Attempts counts the attempts of one stage of a request and decides on retries and hedges.
type Attempts struct {
	started int
	running int
}

// Started returns the number of attempts that were started.
func (a *Attempts) Started() int {
	return a.started
}

// Start counts an attempt that starts.
func (a *Attempts) Start() {
	a.started++
	a.running++
}

// RecordFailure counts a failed attempt and returns the next step. Repeatable means that another attempt is allowed
// and may succeed; spend takes a retry from the budget and reports whether one was left.
func (a *Attempts) RecordFailure(repeatable bool, spend func() bool) Step {
	a.running--
	switch {
	case a.running > 0:
		return AwaitOther
	case repeatable && a.started < MaxAttempts && spend():
		return Retry
	}
	return Fail
}

// Hedge reports whether to start a second attempt in parallel to a slow one, and takes a retry from the budget for it.
func (a *Attempts) Hedge(spend func() bool) bool {
	return a.running == 1 && a.started < MaxAttempts && spend()
}

// HedgeDelay returns how long a first attempt may run before a hedge, from the 95th percentile of the stage's run time.
func HedgeDelay(p core.Priority, tail core.Millis) core.Millis {
	if tail == 0 {
		return defaultHedgeDelay
	}
	factor := otherHedgeFactor
	if p == core.Urgent {
		factor = urgentHedgeFactor
	}
	return max(minHedgeDelay, core.Millis(float64(tail)*factor))
}
