package drill

import (
	"cyclamenford/bench/fault"
	"cyclamenford/core"
)

// Script is one scenario.
type Script struct {
	Name       string
	Deployment string
	// Covers names the failures of the brief that the scenario causes, and Promises what its checks hold.
	Covers   string
	Promises string
	// Hosts limits the number of hosts; 0 means all of the deployment.
	Hosts int
	// Load is what runs in the background for RunMs.
	Load  Load
	RunMs core.Millis
	Steps []fault.Step
	// Overlapping leaves out the steps that need a running host where an earlier step has ended it, and the reverse.
	Overlapping bool
}

// Load is the number of background workers of each kind.
type Load struct {
	// Streams ask for streamed answers and Wholes for whole ones.
	Streams int
	Wholes  int
	// Calls send non-repeatable calls, and send them again until they know the outcome.
	Calls int
	// Changes set a team's limits, racing each other.
	Changes int
	// Bulk and Urgent flood with whole requests that nobody waits for long.
	Bulk   int
	Urgent int
	// Poison is the number of callers that send one crashing request again and again, at changing hosts.
	Poison int
	// PoisonPrefix is the number of callers that send crashing requests which are all different and share the start of their prompts.
	PoisonPrefix int
}
