package order

import (
	"cmp"

	"cyclamenford/core"
)

// RunningRequest describes a request that was granted an engine and whose end is not known yet. It lets a later scheduler count what the
// engine holds.
type RunningRequest struct {
	Key      Key
	Endpoint core.EndpointID
	// Life is the incarnation of the endpoint. A later incarnation does not run the request.
	Life core.Incarnation
	// HeldTokens is the length of the prompt and its output, and UnreadTokens the number of prompt tokens still to be read.
	HeldTokens, UnreadTokens int
	// Began is set once the first byte of the answer has arrived.
	Began bool
	// Till is when the request is dropped if its end was not reported.
	Till core.Millis
	// Parts are the parts of the prompt, which the engine holds in its cache. They are empty in the lists of hosts.
	Parts []Part
}

// Compare orders keys by host, incarnation and sequence number.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Host, other.Host), cmp.Compare(k.Life, other.Life), cmp.Compare(k.Seq, other.Seq))
}

// Observation is what a scheduler has observed of an endpoint.
type Observation struct {
	// Slowdown is the ratio of observed to expected call time, 0 if the observation is not stated.
	Slowdown float64
	// FailureRate is the share of failed attempts, from 0 to 1.
	FailureRate float64
	// Backoff is the length of the latest backoff, which grows with each failure in a row, and BackoffLeft the rest of it.
	Backoff, BackoffLeft core.Millis
	// Age is the time since the observation was current.
	Age core.Millis
}
