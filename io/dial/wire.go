package dial

import (
	"encoding/json"

	"cyclamenford/core"
)

// Run is the body of POST /v1/run.
type Run struct {
	RequestID core.RequestID
	AttemptID core.AttemptID
	Kind      core.StageKind
	Model     string
	// Call names the operation of a plain service.
	Call string `json:",omitempty"`
	// Input is the caller's body, and Context the outputs of earlier stages by stage name.
	Input   json.RawMessage            `json:",omitempty"`
	Context map[string]json.RawMessage `json:",omitempty"`
	// MaxTokens bounds a generation.
	MaxTokens int `json:",omitempty"`
	// DeadlineMs is the time that remains.
	DeadlineMs core.Millis
	Priority   core.Priority
	Stream     bool `json:",omitempty"`
	// ResumeGraceMs is how long the engine keeps a stream that nobody reads.
	ResumeGraceMs core.Millis `json:",omitempty"`
	// Prior is the text that an earlier attempt has sent, and From the number of its events.
	Prior string `json:",omitempty"`
	From  uint64 `json:",omitempty"`
	// Prefix identifies the start of the prompt in cache events.
	Prefix         uint64 `json:",omitempty"`
	IdempotencyKey string `json:",omitempty"`
}

// Result is the answer of an endpoint that does not stream.
type Result struct {
	RequestID core.RequestID
	AttemptID core.AttemptID
	Output    json.RawMessage
	Tokens    int `json:",omitempty"`
}

// Refusal is the body of an endpoint's error.
type Refusal struct {
	// Outcome is NotRun when the endpoint has not started the work, and Failed otherwise.
	Outcome core.Outcome
	Detail  string
}

// Event is one step of a stream.
type Event struct {
	Seq  uint64
	Text string
	// Done closes the stream; Count and Checksum then cover all events.
	Done     bool
	Count    uint64
	Checksum string
}

// Health is the answer of GET /healthz.
type Health struct {
	ID          core.EndpointID
	Incarnation core.Incarnation
}

// Checksum names the hash of a stream's whole text: xxHash64 in hexadecimal.
const Checksum = "xxh64"
