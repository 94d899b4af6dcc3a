package order

import (
	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/origin"
	"cyclamenford/core/poison"
)

// Key identifies one attempt of a client: the entry host that received it, the incarnation of that host and a sequence
// number there.
type Key struct {
	Host core.HostID
	Life core.Incarnation
	Seq  uint64
}

// Part is a section of a prompt that may be shared with other requests.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the input that a generating endpoint must read before it produces the first token.
type Prompt struct {
	Parts []Part
	// Tokens is the length of the prompt, and Output the maximum number of tokens to generate.
	Tokens int
	Output int
}

// StageRequest describes the work that one stage must do for a request.
type StageRequest struct {
	Service string
	After   []int
	Pieces  int
	Bytes   int64
}

// PlacementRequest is the request of an entry host to place a client's request at an endpoint.
type PlacementRequest struct {
	Key     Key
	ID      core.RequestID
	Route   string
	Service string
	Class   conf.Class
	// Organisation is the organisation of the client. It is empty if the route accepts requests without a key.
	Organisation core.OrganisationID
	// Priority orders requests by urgency; 0 is the most urgent.
	Priority int
	// FailureDomain is the failure domain of the entry host.
	FailureDomain core.FailureDomain
	// Aim and Left are the times that remain until the latency target and until the deadline. Aim may be negative.
	Aim, Left core.Millis
	Prompt    Prompt
	Stages    []StageRequest
	// PieceKey is passed to the stages that need no results of other stages.
	PieceKey string
	// MaxAttempts is the number of endpoints to which the request may be sent, and Attempts the number to which it was
	// already sent.
	MaxAttempts, Attempts int
	// Former is the key of the request at an earlier scheduler. It is empty if there was none.
	Former Key
	// Content identifies the request when it is sent again.
	Content poison.Content
	Continuation
}

// Continuation tells which stream a request begins or continues. A stream may hold events from one software version only.
type Continuation struct {
	// Stream is the stream that the request may begin, 0 if it cannot be continued later.
	Stream origin.Stream
	// TakesUp means that the client continues a stream that it received from an earlier attempt, and Resumes is that stream, 0 if
	// the client has not named it.
	TakesUp bool
	Resumes origin.Stream
	// Bound means that only endpoints of Version may get the request.
	Bound   bool
	Version string
}

// Endpoint describes an endpoint as of its last announcement.
type Endpoint struct {
	ID            core.EndpointID
	Incarnation   core.Incarnation
	Address       string
	FailureDomain core.FailureDomain
	Service       string
	// Version is the version of the endpoint's software, empty if it announces none.
	Version string
	Slots   int
	// Cold is how much longer the endpoint is slow after its start.
	Cold core.Millis
}

// LoadReport is what an endpoint says of its load in an answer, as of the moment of the answer.
type LoadReport struct {
	// Stated is false if the answer says nothing, or nothing that can be read.
	Stated bool
	// Running and Waiting count the endpoint's requests, Slots those that it runs at the same time.
	Running, Waiting, Slots int
	// Slowness is how long work takes at this moment relative to usual, 1 for as usual, or 0 if the endpoint does not say.
	Slowness float64
}

// AttemptOutcome is the outcome of an attempt at an endpoint.
type AttemptOutcome string

// The outcomes of an attempt.
const (
	// Served means that the attempt returned a whole answer.
	Served AttemptOutcome = "Served"
	// Erred means that the endpoint answered in full with an error of its own.
	Erred AttemptOutcome = "Erred"
	// Rejected means that the endpoint refused to run the attempt.
	Rejected AttemptOutcome = "Rejected"
	// Unreachable means that the attempt did not reach the endpoint.
	Unreachable AttemptOutcome = "Unreachable"
	// Broken means that the attempt ended without a whole answer after it was sent.
	Broken AttemptOutcome = "Broken"
	// Garbled means that the endpoint sent bytes that are no part of an answer.
	Garbled AttemptOutcome = "Garbled"
	// Late means that there was no answer before the deadline.
	Late AttemptOutcome = "Late"
	// Abandoned means that the attempt was cancelled because the client disconnected.
	Abandoned AttemptOutcome = "Abandoned"
	// GoneInput means that the attempt was not run because a prepared input no longer existed.
	GoneInput AttemptOutcome = "GoneInput"
	// NotSent means that the attempt was not made because the endpoint had reported to the host that it is leaving or
	// pausing.
	NotSent AttemptOutcome = "NotSent"
	// OtherEndpoint means that another endpoint answered at the address.
	OtherEndpoint AttemptOutcome = "OtherEndpoint"
)

// Item is one piece in a call to a stage's endpoint.
type Item struct {
	Key Key
	ID  core.RequestID
	// Preparation is the preparation of the request's stages that the piece belongs to. Its number is unique at a scheduler.
	Preparation uint64
	Stage       int
	Piece       int
	// Left is the time that remains until the deadline of the request.
	Left core.Millis
	// PieceKey is set for stages that need no results of other stages, Inputs for all others.
	PieceKey string
	Inputs   []string
	// Bytes is the approximate size of the result.
	Bytes int64
}

// ItemResult is the outcome of one piece: the handle of its result, or the reason why there is none.
type ItemResult struct {
	Handle string
	Reason ItemReason
}

// ItemReason is the reason why a piece has no result.
type ItemReason string

// The reasons that a stage's endpoint reports.
const (
	ItemLate   ItemReason = "Late"
	ItemGone   ItemReason = "Gone"
	ItemNoRoom ItemReason = "NoRoom"
	ItemFailed ItemReason = "Failed"
)

// HeldResults describes the results of one stage of a request that one endpoint holds.
type HeldResults struct {
	Key   Key
	Stage int
	// Pieces are the numbers of the pieces, and Handles the handles of their results, in the same order.
	Pieces   []int
	Handles  []string
	Endpoint core.EndpointID
	// Life is the incarnation of the endpoint. A later incarnation holds none of these results.
	Life core.Incarnation
	// Bytes is the approximate size of each result.
	Bytes int64
	// Till is when the results expire at the endpoint.
	Till core.Millis
}

// Action is one decision that the caller of the scheduler must carry out. Exactly one field is set.
type Action struct {
	Grant  *Grant
	Refuse *Refusal
	Call   *Call
	Free   *Free
	// The following fields are recorded so that another scheduler can take over from this one: results that are in use,
	// a call that has started, and the number of a call that has ended.
	ResultsMade *HeldResults
	CallBegan   *RunningCall
	CallEnded   uint64
	// RequestRuns is a request that was granted an engine, RequestBegan the key of one whose first byte has arrived, and RequestEnded
	// that of one that has left its engine.
	RequestRuns  *RunningRequest
	RequestBegan *Key
	RequestEnded *Key
	// Reset, Ignored and Withheld report decisions and order nothing.
	Reset    *Reset
	Ignored  *Ignored
	Withheld *Withheld
}

// StageKey identifies a stage of a request.
type StageKey struct {
	Key   Key
	Stage int
}

// RunningCall describes a stage call in progress.
type RunningCall struct {
	Number   uint64
	Endpoint core.EndpointID
	// Life is the incarnation of the endpoint.
	Life core.Incarnation
	// Bytes is the room that the results of the call need. EndsAt is when the call is expected to end, and Till when
	// its results expire.
	Bytes        int64
	EndsAt, Till core.Millis
}

// Grant permits an entry host to send a request to an endpoint.
type Grant struct {
	Key      Key
	ID       core.RequestID
	Endpoint core.EndpointID
	// Life is the incarnation of the endpoint.
	Life core.Incarnation
	// Version is the version of the endpoint's software.
	Version string
	Address string
	// FailureDomain is that of the endpoint; it is empty from a scheduler of an earlier release.
	FailureDomain core.FailureDomain
	Inputs        []string
	// Attempt is the number of endpoints that the request was granted so far, this one included.
	Attempt int
	// Waited is the time since the request arrived, and Expected the predicted time to the first byte.
	Waited, Expected core.Millis
	// Cached is the number of prompt tokens that the endpoint is assumed to have cached.
	Cached int
	// Permitted means that the endpoint names a limit or has a bound and that the grant contains a permit to send one request.
	Permitted bool
	// Bounded means that the endpoint has a bound: nothing may be sent without a permit, which is valid for a short time only.
	Bounded bool
}

// Refusal rejects a request.
type Refusal struct {
	Key    Key
	ID     core.RequestID
	Reason core.Reason
	// RetryAfter is the time after which a new attempt is expected to be served.
	RetryAfter core.Millis
	// Expected and Left are the predicted and the remaining time on which the decision was based.
	Expected, Left core.Millis
	// Queue is the longest queue in the prediction.
	Queue Queue
}

// Queue describes the work at one service that is ahead of a request.
type Queue struct {
	Service string
	// Pieces is the number of pieces ahead of the request, and Wait the predicted time until they are done.
	Pieces int
	Wait   core.Millis
}

// Call orders a stage's endpoint to run pieces.
type Call struct {
	Number   uint64
	Endpoint core.EndpointID
	Address  string
	// FailureDomain is that of the endpoint.
	FailureDomain core.FailureDomain
	Service       string
	Items         []Item
	// Expected is the predicted duration of the call.
	Expected core.Millis
	// Bytes is the room that the results of the call need, and Room the room that the endpoint is assumed to have.
	Bytes, Room int64
	// Life is the incarnation of the endpoint.
	Life core.Incarnation
	// Owners are the requests whose pieces are in the call.
	Owners []Owner
	// Alone is set if the call runs the pieces of one suspected request alone.
	Alone bool
	// Permitted means that the endpoint names a limit and that the order contains a permit to send one request, or that it has
	// a bound and that the order contains one for each item.
	Permitted bool
	// Bounded means that the endpoint has a bound: nothing may be sent without a permit, which is valid for a short time only.
	Bounded bool
}

// Owner identifies a request that has pieces of one stage in a call.
type Owner struct {
	ID           core.RequestID
	Organisation core.OrganisationID
	// Content identifies the pieces when the request is sent again.
	Content poison.Content
}

// Free orders an endpoint to free results that are no longer needed, or reports that they no longer exist.
type Free struct {
	// Number identifies the release in its acknowledgement.
	Number uint64
	// Made lists the stages for which results were made, if their requests were known.
	Made []StageKey
	// Life identifies the incarnation of the endpoint that holds the results.
	Life    core.Life
	Address string
	// FailureDomain is that of the endpoint.
	FailureDomain core.FailureDomain
	Handles       []string
	// Permitted means that the endpoint names a limit or has a bound and that the order contains a permit to send one request.
	Permitted bool
	// Bounded means that the endpoint has or had a bound: nothing may be sent without a permit.
	Bounded bool
	// Lost means that the results no longer exist: their endpoint is gone, or has dropped them by itself. Nothing is sent, and the release
	// has no acknowledgement.
	Lost bool
}
