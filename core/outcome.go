package core

import "fmt"

// Outcome is the final result of a request, as reported to the caller.
type Outcome string

// The outcomes of a request.
const (
	// NotRun means that certainly no endpoint has run the request.
	NotRun Outcome = "NotRun"
	// Failed means that the request ran and failed.
	Failed Outcome = "Failed"
	// Unknown means that a non-repeatable request may have run. The system doesn't run it again.
	Unknown Outcome = "Unknown"
	// Completed means that the whole answer was received.
	Completed Outcome = "Completed"
)

// Reason is a machine-readable reason for a decision or an error.
type Reason string

// The reasons used in problem documents, traces and metrics.
const (
	ReasonMalformedBody      Reason = "MalformedBody"
	ReasonBodyTooLarge       Reason = "BodyTooLarge"
	ReasonBadHeader          Reason = "BadHeader"
	ReasonUnauthenticated    Reason = "Unauthenticated"
	ReasonForbidden          Reason = "Forbidden"
	ReasonUnknownPipeline    Reason = "UnknownPipeline"
	ReasonUnknownService     Reason = "UnknownService"
	ReasonDeadlineInfeasible Reason = "DeadlineInfeasible"
	ReasonDeadlineExceeded   Reason = "DeadlineExceeded"
	ReasonQueueFull          Reason = "QueueFull"
	ReasonLimitExceeded      Reason = "LimitExceeded"
	ReasonNoEndpoint         Reason = "NoEndpoint"
	ReasonHostLeaving        Reason = "HostLeaving"
	ReasonNoServingLease     Reason = "NoServingLease"
	ReasonEndpointFailed     Reason = "EndpointFailed"
	// ReasonHostLost means that the host which received the request has ended or its lease has expired.
	ReasonHostLost Reason = "HostLost"
	// ReasonInputsLost means that prepared inputs expired or were lost before the request could use them.
	ReasonInputsLost      Reason = "InputsLost"
	ReasonEndpointRefused Reason = "EndpointRefused"
	ReasonConnectionLost  Reason = "ConnectionLost"
	ReasonQuarantined     Reason = "Quarantined"
	// ReasonEndpointsPause means that all endpoints of the service have requested a pause from this host.
	ReasonEndpointsPause Reason = "EndpointsPause"
	// ReasonEndpointsLimited means that all endpoints of the service name a limit, and that it does not allow another
	// request in time.
	ReasonEndpointsLimited Reason = "EndpointsLimited"
	// ReasonEvacuated means that the service has endpoints only in failure domains that the operator has evacuated.
	ReasonEvacuated Reason = "Evacuated"
	// ReasonHostStopping means that the host stops before it could answer.
	ReasonHostStopping Reason = "HostStopping"
	// ReasonVersionGone means that no endpoint has the software version at which the stream began.
	ReasonVersionGone Reason = "VersionGone"
	// ReasonVersionUnknown means that it is not known at which software version the stream began.
	ReasonVersionUnknown Reason = "VersionUnknown"
	// ReasonInTrial means that the same request runs elsewhere as a trial, isolated from others, since endpoints that
	// ran it have crashed.
	ReasonInTrial       Reason = "InTrial"
	ReasonCallerGone    Reason = "CallerGone"
	ReasonKeyReused     Reason = "IdempotencyKeyReused"
	ReasonKeyExpired    Reason = "IdempotencyKeyExpired"
	ReasonKeyMissing    Reason = "IdempotencyKeyMissing"
	ReasonNoQuorum      Reason = "NoQuorum"
	ReasonRetryBudget   Reason = "RetryBudgetSpent"
	ReasonUnknownStream Reason = "UnknownStream"
	ReasonBadAnswer     Reason = "BadAnswer"
)

// Problem is an error that is sent to callers as an RFC 9457 problem document.
type Problem struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	Status     int
	RetryAfter Millis
}

// Error returns the outcome, the reason and the detail on one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s", p.Outcome, p.Reason, p.Detail)
}

// NewProblem returns a problem with the given HTTP status and a formatted detail.
func NewProblem(status int, outcome Outcome, reason Reason, format string, args ...any) *Problem {
	return &Problem{Outcome: outcome, Reason: reason, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy with the time after which the caller should retry.
func (p *Problem) WithRetryAfter(after Millis) *Problem {
	c := *p
	c.RetryAfter = after
	return &c
}
