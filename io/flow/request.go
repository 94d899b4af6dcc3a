package flow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/core/plan"
	"cyclamenford/core/tree"
)

// Request is an admitted request of a caller.
type Request struct {
	ID           core.RequestID
	Team         core.TeamID
	TeamSettings tree.Team
	Priority     core.Priority
	DeadlineAt   core.Millis
	Body         json.RawMessage
	// Sink receives a streamed answer. If it is nil, the answer is returned as a whole.
	Sink Sink
}

// Sink receives a streamed answer. Its methods return an error if the caller has disconnected.
type Sink interface {
	// Start passes the token for resuming the stream. It is called again when a new attempt continues the stream.
	Start(token string) error
	// Event sends the next chunk of text with its event number.
	Event(seq uint64, text string) error
}

// StageTime reports the duration, attempts and endpoint of one stage of a request.
type StageTime struct {
	Name     string
	Ms       core.Millis
	Attempts int
	Endpoint core.EndpointID
	Why      string
}

// Answer is the successful result of a request.
type Answer struct {
	Output json.RawMessage
	Stages []StageTime
	// Count is the number of events of a streamed answer, and Checksum the hash of its text.
	Count    uint64
	Checksum string
}

// NewRequestID returns a random request ID prefixed with the host's ID.
func NewRequestID(host core.HostID) core.RequestID {
	return core.RequestID(fmt.Sprintf("%s-%016x", host, rand.Uint64()))
}

func newAttemptID(id core.RequestID, stage string) core.AttemptID {
	return core.AttemptID(fmt.Sprintf("%s.%s.%08x", id, stage, rand.Uint32()))
}

// prefixBytes is the number of leading bytes of a prompt that are hashed to find endpoints which have them cached.
const prefixBytes = 256

// promptPrefixHash returns a hash of the organisation and the start of the prompt, which identifies cache entries. It
// returns 0 if the body has no prompt or a prompt shorter than prefixBytes.
func promptPrefixHash(org core.OrganisationID, body []byte) uint64 {
	var input struct{ Prompt string }
	if json.Unmarshal(body, &input) != nil || len(input.Prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(string(org) + "/" + input.Prompt[:prefixBytes])
}

// stageKeys returns the key of each stage of a pipeline for cost estimates.
func stageKeys(p tree.Pipeline, priority core.Priority) []plan.Key {
	keys := make([]plan.Key, len(p.Stages))
	for i, s := range p.Stages {
		keys[i] = plan.Key{Pool: s.Pool(), Name: p.Name + "/" + s.Name, Priority: priority}
	}
	return keys
}
