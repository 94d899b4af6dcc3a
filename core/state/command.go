package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cyclamenford/core"
	"cyclamenford/core/ledger"
	"cyclamenford/core/poison"
)

// Command is one change of the control state. Exactly one of the pointer fields is set.
type Command struct {
	// OpID identifies an operator's change, so that a resent change is applied once. It is empty for the system's own
	// commands.
	OpID string `cbor:",omitempty"`
	// Unix is the leader's wall-clock time when it received the command.
	Unix core.Millis

	SetSettings  *SetSettings  `cbor:",omitempty"`
	JoinHost     *JoinHost     `cbor:",omitempty"`
	ExpireHost   *ExpireHost   `cbor:",omitempty"`
	Drain        *Drain        `cbor:",omitempty"`
	Reserve      *Reserve      `cbor:",omitempty"`
	Finish       *Finish       `cbor:",omitempty"`
	Release      *Release      `cbor:",omitempty"`
	Resolve      *Resolve      `cbor:",omitempty"`
	Suspect      *Suspect      `cbor:",omitempty"`
	PartCrashes  *PartCrashes  `cbor:",omitempty"`
	PartTrial    *PartTrial    `cbor:",omitempty"`
	ClearParts   *ClearParts   `cbor:",omitempty"`
	BeginTrial   *BeginTrial   `cbor:",omitempty"`
	EndTrial     *EndTrial     `cbor:",omitempty"`
	Pardon       *Pardon       `cbor:",omitempty"`
	PlaceOrder   *PlaceOrder   `cbor:",omitempty"`
	FinishOrder  *FinishOrder  `cbor:",omitempty"`
	PurgeExpired *PurgeExpired `cbor:",omitempty"`

	ReplaceConfig  *ReplaceConfig  `cbor:",omitempty"`
	RetireEndpoint *RetireEndpoint `cbor:",omitempty"`
	SetEvacuation  *SetEvacuation  `cbor:",omitempty"`

	AddVersion    *AddVersion    `cbor:",omitempty"`
	SettleVersion *SettleVersion `cbor:",omitempty"`
	BeginStreams  *BeginStreams  `cbor:",omitempty"`
}

// ReplaceConfig replaces the whole configuration, unless the present version is the same or higher.
type ReplaceConfig struct {
	Version uint64
	// Doc is the configuration as the operator sent it.
	Doc []byte
}

// RetireEndpoint permanently stops new work to one incarnation of an endpoint. Later incarnations are not affected.
type RetireEndpoint struct {
	Endpoint    core.EndpointID
	Incarnation core.Incarnation
}

// SetEvacuation stops new work to the endpoints of a failure domain, or resumes it if On is false.
type SetEvacuation struct {
	FailureDomain core.FailureDomain
	On            bool
	// Known is the revision that the host which took the operator's call had applied then. The command is refused if the domain's
	// evacuation has changed since: the operator then has an answer to a later call. 0 means no condition.
	Known uint64 `cbor:",omitempty"`
}

// SetSettings replaces one settings subtree if its version is the expected one. An empty document removes a team's
// subtree.
type SetSettings struct {
	Path    string
	Version uint64
	Doc     []byte
	// Author names the operator's key.
	Author string
}

// JoinHost registers an incarnation of a host and marks the calls reserved by earlier incarnations as lost.
type JoinHost struct{ Host Host }

// ExpireHost marks an incarnation of a host whose serving lease has run out as expired, and its reserved calls as lost.
type ExpireHost struct{ Holder ledger.Holder }

// Drain stops new work to an endpoint, or resumes it if On is false.
type Drain struct {
	Endpoint core.EndpointID
	On       bool
}

// Reserve reserves a non-repeatable call for one attempt, so that no other attempt runs it.
type Reserve struct {
	Key      ledger.Key
	IssuedAt core.Millis
	BodyHash uint64
	Holder   ledger.Holder
}

// Finish records the answer of a reserved call.
type Finish struct {
	Key    ledger.Key
	Holder ledger.Holder
	Answer ledger.Answer
}

// Release cancels the reservation of a call that was provably not sent.
type Release struct {
	Key    ledger.Key
	Holder ledger.Holder
}

// Resolve replaces an unknown outcome by the answer that an endpoint has reported.
type Resolve struct {
	Key    ledger.Key
	Answer ledger.Answer
}

// Suspect counts a crash of an endpoint against each request that it was running. Contents and Organisation have one
// element per request.
type Suspect struct {
	Contents     []poison.Content
	Organisation []core.OrganisationID
	Endpoint     core.EndpointID
	Incarnation  core.Incarnation `cbor:",omitempty"`
	// Patience is the number of crashes at which a request becomes suspected; 0 means 1.
	Patience int `cbor:",omitempty"`
	// Alone means that the endpoint was running no other suspected request.
	Alone bool `cbor:",omitempty"`
}

// BeginTrial starts the trial of a suspected request, which runs on an endpoint apart from other suspects.
type BeginTrial struct {
	Content  poison.Content
	Endpoint core.EndpointID
	// Most is the time limit of the trial; 0 means the longest time that any trial may take.
	Most core.Millis `cbor:",omitempty"`
}

// EndTrial ends a trial; Well means that it succeeded, which clears the suspect.
type EndTrial struct {
	Content  poison.Content
	Endpoint core.EndpointID
	Well     bool
}

// PartCrashes counts the crash of an endpoint against the parts of the prompts of requests that it was running and of whose answers
// nothing had arrived.
type PartCrashes struct {
	Life     core.Life
	Requests []PartCrash
}

// PartCrash is one request of PartCrashes: its content, the shared parts of its prompt, and how long ago it was sent.
type PartCrash struct {
	Request poison.Content
	Parts   []poison.Content
	Age     core.Millis
}

// PartTrial starts or ends the trial of a request at an endpoint for parts of its prompt.
type PartTrial struct {
	Parts    []poison.Content
	Endpoint core.EndpointID
	// End ends the trial; it has then shown nothing about the parts.
	End bool `cbor:",omitempty"`
	// Limit is the time limit of a trial that starts; 0 means the longest time that any trial may take.
	Limit core.Millis `cbor:",omitempty"`
}

// ClearParts removes the records of parts of prompts on which an endpoint has begun an answer.
type ClearParts struct{ Parts []poison.Content }

// Pardon releases a request from quarantine.
type Pardon struct{ Content poison.Content }

// PurgeExpired removes the calls, suspicions, finished orders and ended evacuations whose retention time has passed.
type PurgeExpired struct{}

// Result is the outcome of applying a command.
type Result string

// The results of commands.
const (
	// Accepted means that the command was applied, also if the state already was as requested.
	Accepted Result = "Accepted"
	// Conflict means that the subtree's version differs from the expected one.
	Conflict Result = "Conflict"
	// Invalid means that the new settings do not pass validation.
	Invalid Result = "Invalid"
	// Refused means that the present state does not allow the command.
	Refused Result = "Refused"
)

// Reply is the result of a command, returned to its proposer.
type Reply struct {
	Result Result
	// Revision is the revision of the published image after the command.
	Revision uint64
	// Version is the version of the subtree or the configuration after the command, the present one on a conflict, or the
	// known incarnation of a host whose join was refused.
	Version uint64         `cbor:",omitempty"`
	Detail  string         `cbor:",omitempty"`
	Verdict ledger.Verdict `cbor:",omitempty"`
	Entry   *ledger.Entry  `cbor:",omitempty"`
	Suspect []poison.Entry `cbor:",omitempty"`
	// Parts are the records of the parts of prompts that the command concerns.
	Parts []poison.PartEntry `cbor:",omitempty"`
	Order *Order             `cbor:",omitempty"`
	Lost  int                `cbor:",omitempty"`
}

// Encode returns the command as CBOR.
func (c Command) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return raw, nil
}

// DecodeCommand decodes a command from CBOR.
func DecodeCommand(raw []byte) (Command, error) {
	var c Command
	if err := cbor.Unmarshal(raw, &c); err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	return c, nil
}
