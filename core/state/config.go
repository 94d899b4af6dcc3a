package state

import (
	"cyclamenford/core"
)

// maxRetired is the maximum number of retired endpoints that are remembered, several times the endpoints of a large
// deployment.
const maxRetired = 4096

// Config is the operator's configuration as stored in the control state.
type Config struct {
	Version uint64
	Doc     []byte
}

// Retirement records the latest retired incarnation of an endpoint and the revision at which it was retired.
type Retirement struct {
	Incarnation core.Incarnation
	Revision    uint64
}

// replaceConfig publishes a configuration with a higher version. An older or equal version is accepted without effect;
// the reply names the present version.
func (m *Machine) replaceConfig(c ReplaceConfig) Reply {
	if c.Version <= m.image.Config.Version {
		return Reply{Result: Accepted, Version: m.image.Config.Version}
	}
	if err := m.publish(configKey, Config(c)); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	m.clearSupersededConfigs()
	return Reply{Result: Accepted, Version: c.Version}
}

// clearSupersededConfigs empties the retained deltas of superseded configurations. A follower that needs such a delta
// gets the newest configuration in the same reply. The delta's revision stays, since revisions must be contiguous.
func (m *Machine) clearSupersededConfigs() {
	newest := true
	for i := len(m.deltas) - 1; i >= 0; i-- {
		if m.deltas[i].Key != configKey {
			continue
		}
		if !newest {
			m.deltas[i] = Delta{Revision: m.deltas[i].Revision, Key: supersededKey}
		}
		newest = false
	}
}

// retireEndpoint publishes a retired incarnation and, beyond the maximum, removes the oldest retirement.
func (m *Machine) retireEndpoint(c RetireEndpoint) Reply {
	if known, ok := m.image.Retired[c.Endpoint]; ok && known.Incarnation >= c.Incarnation {
		return Reply{Result: Accepted}
	}
	r := Retirement{Incarnation: c.Incarnation, Revision: m.image.Revision + 1}
	if err := m.publish(retiredPrefix+string(c.Endpoint), r); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	if len(m.image.Retired) > maxRetired {
		return m.removeOldestRetired()
	}
	return Reply{Result: Accepted}
}

func (m *Machine) removeOldestRetired() Reply {
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
