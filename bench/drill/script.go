package drill

import (
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
	Steps []Step
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
}

// Step is something done at a time after the load began.
type Step struct {
	AtMs core.Millis
	// Do is the name of an action in the table of actions.
	Do string
	// Host is a host's name or "leader", and Endpoint an endpoint's name.
	Host     string
	Endpoint string
	// Domain is a failure domain.
	Domain core.FailureDomain
	// Fault is what an endpoint is told for the action SetFault.
	Slow        float64
	Stall       bool
	CutAfter    int
	LoseAnswers bool
	Refuse      bool
	// DelayMs is added to all data from and to a host, for the action Delay.
	DelayMs core.Millis
}
