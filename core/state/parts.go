package state

import (
	"fmt"
	"strconv"

	"cyclamenford/core/poison"
)

func partKey(part poison.Content) string {
	return partPrefix + part.String()
}

func (m *Machine) countPartCrashes(c PartCrashes) Reply {
	reply := Reply{Result: Accepted}
	for _, r := range c.Requests {
		reply.Parts = append(reply.Parts, m.parts.RecordCrash(m.unix, poison.PartCrash{
			Parts: r.Parts, Request: r.Request, Life: c.Life, SentAt: m.unix - r.Age,
		})...)
	}
	return m.publishParts(reply)
}

func (m *Machine) partTrial(c PartTrial) Reply {
	reply := Reply{Result: Accepted}
	switch {
	case c.End:
		m.parts.EndTrial(c.Parts, c.Endpoint)
	case !m.parts.BeginTrial(m.unix, c.Parts, c.Endpoint, c.Limit):
		reply.Result = Refused
	}
	return m.publishParts(reply)
}

// publishParts publishes the records of parts that changed and returns the reply. Hosts need all of them, also of parts that are
// not suspected yet: a host that sees an answer begin on such a part clears it.
func (m *Machine) publishParts(reply Reply) Reply {
	var changes []change
	for _, p := range m.parts.TakeChanges() {
		e := m.parts.Get(p)
		_, known := m.image.Parts[p]
		switch {
		case e.Standing != poison.Clear:
			changes = append(changes, change{key: partKey(p), value: e})
		case known:
			changes = append(changes, change{key: partKey(p)})
		}
	}
	if err := m.publishAll(changes); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	if len(changes) > 0 {
		reply.Revision = m.image.Revision
	}
	return reply
}

func (i *Image) applyPart(name string, raw []byte) error {
	part, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return fmt.Errorf("part key: %w", err)
	}
	return applyEntry(i.Parts, poison.Content(part), raw)
}
