package order

import "cyclamenford/core"

// Reset reports that all stages of a request are prepared again.
type Reset struct {
	ID    core.RequestID
	Cause ResetCause
	// Call, Stage and Piece identify the outcome of a stage call that caused the reset. Call is 0 if no call did.
	Call         uint64
	Stage, Piece int
	// Preparation is the one that begins.
	Preparation uint64
	// Overdue means that the pieces of the call were also started at another endpoint.
	Overdue bool
	// Endpoint is the endpoint that the request was granted when its stages were reset, if it had one.
	Endpoint core.EndpointID
	// Rebuilds is how often inputs of the request were lost so far.
	Rebuilds int
}

// ResetCause is the reason why the stages of a request are prepared again.
type ResetCause string

// The causes of a reset.
const (
	// ResetExpired means that a result expired before it was used.
	ResetExpired ResetCause = "Expired"
	// ResetGone means that a stage call found an input gone, and ResetUnserved that the endpoint of an attempt did.
	ResetGone     ResetCause = "Gone"
	ResetUnserved ResetCause = "Unserved"
	// ResetWithheld means that an order was withheld because its inputs were not complete.
	ResetWithheld ResetCause = "Withheld"
	// ResetFreed means that a piece must run again whose inputs were freed, and ResetRetried that the request must.
	ResetFreed   ResetCause = "Freed"
	ResetRetried ResetCause = "Retried"
)

// Withheld reports that a stage call or a grant was not ordered, since its inputs are not complete. That is a fault of the scheduler.
type Withheld struct {
	ID core.RequestID
	// Call is set for a stage call with pieces of Stage, and not set for a grant.
	Call  bool
	Stage int
	// Preparation is that of the request's stages, and Inputs are the stages whose results are needed.
	Preparation uint64
	Inputs      []int
}

// Ignored reports that failures of a request's pieces in a stage call change nothing.
type Ignored struct {
	ID   core.RequestID
	Call uint64
	// Stage is the stage of the pieces, and Pieces their number.
	Stage, Pieces int
	// Reason is that of the first piece, empty if the whole call failed.
	Reason ItemReason
	Why    IgnoreCause
}

// IgnoreCause is the reason why the failure of a piece changes nothing.
type IgnoreCause string

// The causes.
const (
	// IgnoredMade means that another call has made the result of the piece.
	IgnoredMade IgnoreCause = "Made"
	// IgnoredEarlier means that the call was sent for an earlier preparation of the request's stages.
	IgnoredEarlier IgnoreCause = "Earlier"
	// IgnoredOverdue means that the call is overdue, so that the pieces wait for another endpoint or run there already.
	IgnoredOverdue IgnoreCause = "Overdue"
)
