package state

import (
	"fmt"
	"unicode/utf8"

	"cyclamenford/core"
)

const (
	// MaxDomainBytes is the maximum length of the name of a failure domain that can be evacuated.
	MaxDomainBytes = 256
	// EndedEvacuationTime is how long an ended evacuation is kept, in milliseconds of the replicated clock. It covers the time for which
	// endpoints of the domain may be cold, and the time for which a delayed call of the operator may still arrive.
	EndedEvacuationTime = 60 * core.Second
)

// Evacuation is the operator's order that the endpoints of a failure domain get no new work, or the record of its end.
type Evacuation struct {
	// Revision is the revision at which the evacuation began or ended, and Unix the replicated time of that.
	Revision uint64
	Unix     core.Millis
	// Ended means that the order was withdrawn.
	Ended bool `cbor:",omitempty"`
}

// CheckDomainName returns an error unless a name can be that of an evacuated failure domain.
func CheckDomainName(d core.FailureDomain) error {
	if d == "" || len(d) > MaxDomainBytes || !utf8.ValidString(string(d)) {
		return core.NewFieldError("failure domain", fmt.Sprint(len(d), " bytes"), fmt.Sprint("1 to ", MaxDomainBytes, " bytes of UTF-8"))
	}
	return nil
}

// IsEvacuated reports whether the endpoints of a failure domain get no new work.
func (i Image) IsEvacuated(d core.FailureDomain) bool {
	e, ok := i.Evacuated[d]
	return ok && !e.Ended
}

// EvacuatedDomains returns the failure domains whose endpoints get no new work.
func (i Image) EvacuatedDomains() map[core.FailureDomain]bool {
	domains := map[core.FailureDomain]bool{}
	for d, e := range i.Evacuated {
		if !e.Ended {
			domains[d] = true
		}
	}
	return domains
}

// setEvacuation publishes the begin or the end of an evacuation. A command that asks for the present state is accepted without effect;
// the reply then names the revision at which that state began.
func (m *Machine) setEvacuation(c SetEvacuation) Reply {
	if err := CheckDomainName(c.FailureDomain); err != nil {
		return Reply{Result: Invalid, Detail: err.Error()}
	}
	known, recorded := m.image.Evacuated[c.FailureDomain]
	switch {
	case m.image.IsEvacuated(c.FailureDomain) == c.On:
		return Reply{Result: Accepted, Revision: known.Revision}
	case recorded && c.Known > 0 && c.Known < known.Revision:
		return Reply{Result: Conflict, Detail: fmt.Sprintf("the evacuation has changed at revision %d, after the call was taken at %d", known.Revision, c.Known)}
	}
	e := Evacuation{Revision: m.image.Revision + 1, Unix: m.unix, Ended: !c.On}
	if err := m.publish(evacuatedPrefix+string(c.FailureDomain), e); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	return Reply{Result: Accepted}
}

// purgeEvacuations removes the evacuations that ended EndedEvacuationTime ago.
func (m *Machine) purgeEvacuations() Reply {
	var changes []change
	for _, d := range sortedKeys(m.image.Evacuated) {
		if e := m.image.Evacuated[d]; e.Ended && m.unix-e.Unix >= EndedEvacuationTime {
			changes = append(changes, change{key: evacuatedPrefix + string(d)})
		}
	}
	if err := m.publishAll(changes); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	return Reply{Result: Accepted}
}
