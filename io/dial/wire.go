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
	// Input is the body of the caller's request. Context maps the names of earlier stages to their outputs.
	Input   json.RawMessage            `json:",omitempty"`
	Context map[string]json.RawMessage `json:",omitempty"`
	// MaxTokens limits the number of generated tokens.
	MaxTokens int `json:",omitempty"`
	// DeadlineMs is the remaining time until the deadline.
	DeadlineMs core.Millis
	Priority   core.Priority
	Stream     bool `json:",omitempty"`
	// ResumeGraceMs is how long the engine keeps a stream without a reader.
	ResumeGraceMs core.Millis `json:",omitempty"`
	// Prior is the text sent by earlier attempts, which the engine continues. From is the number of the next event.
	Prior string `json:",omitempty"`
	From  uint64 `json:",omitempty"`
	// Prefix is the hash of the start of the prompt, by which cache events refer to it.
	Prefix         uint64 `json:",omitempty"`
	IdempotencyKey string `json:",omitempty"`
}

// Result is the response body of a run that is not streamed.
type Result struct {
	RequestID core.RequestID
	AttemptID core.AttemptID
	Output    json.RawMessage
	Tokens    int `json:",omitempty"`
}

// CallOutput is the response body of GET /v1/calls.
type CallOutput struct {
	Key    string
	Output json.RawMessage
}

// Refusal is the body of an endpoint's error response.
type Refusal struct {
	// Outcome is NotRun if the endpoint has not started the work, otherwise Failed.
	Outcome core.Outcome
	Detail  string
}

// Event is one event of a stream: a chunk of text or the closing event.
type Event struct {
	Seq  uint64
	Text string
	// Done marks the closing event. Count is then the number of all events and Checksum the hash of their text.
	Done     bool
	Count    uint64
	Checksum string
}

// Health is the response body of GET /healthz.
type Health struct {
	ID          core.EndpointID
	Incarnation core.Incarnation
}

// ChecksumName is the name of the hash of a stream's text: xxHash64 in hexadecimal.
const ChecksumName = "xxh64"
