package desk

import (
	"cyclamenford/core"
	"cyclamenford/core/pool"
)

// decisionsKept is the number of decisions that a host remembers for operators.
const decisionsKept = 4096

// Decision is one answer to a request that asked for an endpoint, with its reason.
type Decision struct {
	Request  core.RequestID
	Stage    string
	Endpoint core.EndpointID `json:",omitempty"`
	// Order and Route tell by which rules the turn and the endpoint were chosen.
	Order    string      `json:",omitempty"`
	Route    string      `json:",omitempty"`
	Reason   core.Reason `json:",omitempty"`
	WaitedMs core.Millis
	AtUnixMs core.Millis
}

// diary keeps the last decisions in a ring.
type diary struct {
	ring []Decision
	next int
}

func (d *diary) add(x Decision) {
	if len(d.ring) < decisionsKept {
		d.ring = append(d.ring, x)
		return
	}
	d.ring[d.next] = x
	d.next = (d.next + 1) % decisionsKept
}

// Remember keeps a decision about an attempt for operators.
func (d *Desk) Remember(unix core.Millis, a Ask, x pool.Action) {
	d.diary.add(Decision{
		Request: a.Request, Stage: a.Stages[0].Name, Endpoint: x.Endpoint,
		Order: string(x.Order), Route: string(x.Route), Reason: x.Reason, WaitedMs: x.Waited, AtUnixMs: unix,
	})
}

// Explain returns what this host remembers of its decisions about a request.
func (d *Desk) Explain(id core.RequestID) []Decision {
	var list []Decision
	for _, x := range d.diary.ring {
		if x.Request == id {
			list = append(list, x)
		}
	}
	return list
}
