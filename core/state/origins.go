package state

import (
	"slices"

	"cyclamenford/core/origin"
)

// AddVersion adds a software version of a service, before the first stream begins at it.
type AddVersion struct{ Service, Version string }

// SettleVersion makes a version the only one of a service, once no stream of another version can be left. It is refused if Former
// are not the present versions.
type SettleVersion struct {
	Service, Version string
	Former           []string
}

// BeginStreams records at which version streams begin, before their first events are passed on.
type BeginStreams struct{ Began []StreamsBegan }

// StreamsBegan are the streams that begin at one version.
type StreamsBegan struct {
	Version string
	Streams []origin.Stream
}

func (m *Machine) beginStreams(c BeginStreams) Reply {
	for _, x := range c.Began {
		m.origins.Begin(m.unix, x.Version, x.Streams)
	}
	return Reply{Result: Accepted}
}

func (m *Machine) settleVersion(c SettleVersion) Reply {
	if !slices.Equal(m.origins.Versions(c.Service), c.Former) {
		return Reply{Result: Refused, Detail: "another version was added"}
	}
	m.origins.Settle(c.Service, c.Version)
	return Reply{Result: Accepted}
}

// Versions returns the software versions of a service whose streams may still be continued.
func (m *Machine) Versions(service string) []string { return m.origins.Versions(service) }

// StreamVersion returns the software version at which a stream of a service began, or false if that is not known.
func (m *Machine) StreamVersion(service string, s origin.Stream) (string, bool) {
	return m.origins.Version(m.unix, service, s)
}
