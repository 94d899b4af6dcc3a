package desk

import (
	"cyclamenford/core"
	"cyclamenford/core/pool"
)

// maxDecisions is the number of recent decisions that a host keeps for operators to query.
const maxDecisions = 4096

// Decision records the dispatch or the refusal of one attempt, with the rules or the reason behind it.
type Decision struct {
	Request  core.RequestID
	Stage    string
	Endpoint core.EndpointID `json:",omitempty"`
	// Order names the rule that selected the ticket from the queue, Route the rule that selected the endpoint.
	Order    string      `json:",omitempty"`
	Route    string      `json:",omitempty"`
	Reason   core.Reason `json:",omitempty"`
	WaitedMs core.Millis
	AtUnixMs core.Millis
}

// decisionLog keeps the last decisions in a ring buffer.
type decisionLog struct {
	ring []Decision
	next int
}

func (d *decisionLog) add(x Decision) {
	if len(d.ring) < maxDecisions {
		d.ring = append(d.ring, x)
		return
	}
	d.ring[d.next] = x
	d.next = (d.next + 1) % maxDecisions
}

// RecordDecision records the action on an attempt, for operators to query.
func (d *Scheduler) RecordDecision(unix core.Millis, a Attempt, x pool.Action) {
	d.decisions.add(Decision{
		Request: a.Request, Stage: a.Stages[0].Name, Endpoint: x.Endpoint,
		Order: string(x.OrderRule), Route: string(x.RouteRule), Reason: x.Reason, WaitedMs: x.Waited, AtUnixMs: unix,
	})
}

// DecisionsFor returns the decisions about a request that this host still keeps.
func (d *Scheduler) DecisionsFor(id core.RequestID) []Decision {
	var list []Decision
	for _, x := range d.decisions.ring {
		if x.Request == id {
			list = append(list, x)
		}
	}
	return list
}
