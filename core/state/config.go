package state

import (
	"cyclamenford/core"
)

// retiredKept is the number of ended endpoints that are remembered, several times those of a large deployment.
const retiredKept = 4096

// Config is the operator's whole configuration as the control state holds it.
type Config struct {
	Version uint64
	Doc     []byte
}

// Retirement is the ended life of an endpoint, and the revision that ended it.
type Retirement struct {
	Incarnation core.Incarnation
	Revision    uint64
}

func (m *Machine) replaceConfig(c ReplaceConfig) Reply {
	if c.Version <= m.image.Config.Version {
		return Reply{Result: Accepted, Version: m.image.Config.Version}
	}
	if err := m.publish(configKey, Config(c)); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	m.dropOldConfigs()
	return Reply{Result: Accepted, Version: c.Version}
}

// dropOldConfigs empties the kept changes that the newest configuration has overtaken; a follower gets both at once.
func (m *Machine) dropOldConfigs() {
	newest := true
	for i := len(m.deltas) - 1; i >= 0; i-- {
		if m.deltas[i].Key != configKey {
			continue
		}
		if !newest {
			m.deltas[i] = Delta{Revision: m.deltas[i].Revision, Key: skippedKey}
		}
		newest = false
	}
}

func (m *Machine) retireEndpoint(c RetireEndpoint) Reply {
	if known, ok := m.image.Retired[c.Endpoint]; ok && known.Incarnation >= c.Incarnation {
		return Reply{Result: Accepted}
	}
	r := Retirement{Incarnation: c.Incarnation, Revision: m.image.Revision + 1}
	if err := m.publish(retiredPrefix+string(c.Endpoint), r); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	if len(m.image.Retired) > retiredKept {
		return m.forgetOldestRetired()
	}
	return Reply{Result: Accepted}
}

func (m *Machine) forgetOldestRetired() Reply {
	var oldest core.EndpointID
	for _, id := range sortedKeys(m.image.Retired) {
		if oldest == "" || m.image.Retired[id].Revision < m.image.Retired[oldest].Revision {
			oldest = id
		}
	}
	if err := m.publish(retiredPrefix+string(oldest), nil); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	return Reply{Result: Accepted}
}
