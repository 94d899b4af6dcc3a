package retry

import "cyclamenford/core"

const (
	// MaxAttempts bounds the attempts of one stage.
	MaxAttempts = 3
	// urgentFactor and otherFactor scale a stage's 95th percentile to the time after which a second attempt starts beside the first.
	urgentFactor = 1.5
	otherFactor  = 4.0
	minPatience  = 50 * core.Millis(1)
	// unknownPatience is the patience with a stage of which too little is known.
	unknownPatience = core.Second
)

// Next says what to do after an attempt has failed.
type Next uint8

// The things that can be done after an attempt has failed.
const (
	// GiveUp means that the failure is the stage's answer.
	GiveUp Next = iota
	// Launch means that another attempt starts after a backoff.
	Launch
	// Await means that an attempt still runs which may do better.
	Await
)

// Attempts decides about the attempts of one stage of one request.
type Attempts struct {
	started int
	open    int
}

// Started returns the number of attempts so far.
func (a *Attempts) Started() int {
	return a.started
}

// Start counts an attempt that begins.
func (a *Attempts) Start() {
	a.started++
	a.open++
}

// Failed counts an attempt that has failed; repeatable tells whether another may do better, and spend takes a retry of the budget.
func (a *Attempts) Failed(repeatable bool, spend func() bool) Next {
	a.open--
	switch {
	case a.open > 0:
		return Await
	case repeatable && a.started < MaxAttempts && spend():
		return Launch
	}
	return GiveUp
}

// Hedge reports whether a second attempt starts beside a slow first one.
func (a *Attempts) Hedge(spend func() bool) bool {
	return a.open == 1 && a.started < MaxAttempts && spend()
}

// Patience returns how long a first attempt may take before a second one starts beside it.
func Patience(p core.Priority, tail core.Millis) core.Millis {
	if tail == 0 {
		return unknownPatience
	}
	factor := otherFactor
	if p == core.Urgent {
		factor = urgentFactor
	}
	return max(minPatience, core.Millis(float64(tail)*factor))
}
