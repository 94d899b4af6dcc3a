package trial

import (
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/tree"
)

// Scenario is what one trial plays; times are milliseconds from its start.
type Scenario struct {
	Name       string
	Deployment string
	Seed       uint64
	EndMs      core.Millis
	// WarmMs is the time before which nothing is counted.
	WarmMs core.Millis
	// Load is the offered work as a part of the generators' capacity.
	Load float64
	// Mix is each priority's part of the load; they sum to 1.
	Mix [core.PriorityCount]float64
	// DeadlineMs is each priority's deadline.
	DeadlineMs [core.PriorityCount]core.Millis
	// Flood multiplies one priority's arrivals.
	Flood Flood
	// LargeFactor multiplies the arrivals of the first organisation.
	LargeFactor float64
	// Only keeps the arrivals of one priority or all organisations but the first.
	OnlyPriority *core.Priority
	WithoutLarge bool
	// CallersRetry lets callers come back after each refusal, when they are told to.
	CallersRetry bool
	Skew         bool
	Limits       tree.Limits
	// Prefixes is the number of prompt prefixes in use; 0 means none.
	Prefixes int
	Faults   []Fault
	Baseline bool
	// AllKnowing routes by the endpoints' true caches and loads.
	AllKnowing bool
}

// Flood is a surge of one priority.
type Flood struct {
	Priority core.Priority
	Factor   float64
}

// Fault is something that goes wrong for a while.
type Fault struct {
	// Kind is Slow, Dead, Host, Domain, LateReports, LostCacheEvents or Leave.
	Kind  string
	AtMs  core.Millis
	EndMs core.Millis
	// Stage is the kind of endpoint meant, Part the part of them, and Factor how much slower they are.
	Stage  core.StageKind
	Part   float64
	Factor float64
}

// countUntil returns the end of the arrivals that are counted, so that each of them ends within the trial.
func (s Scenario) countUntil() core.Millis {
	return s.EndMs - slices.Max(s.DeadlineMs[:])
}
