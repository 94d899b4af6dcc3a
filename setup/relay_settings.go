package setup

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"cyclamenford/core"
	"cyclamenford/core/fleet"
	"cyclamenford/core/state"
	"cyclamenford/core/tree"
)

// maxBufferShare leaves a part of the memory below memoryLimitShare for everything else.
const maxBufferShare = 0.5

// RelaySettings is the settings file of one host of a relay deployment: an entry host, or a keeper with a disk.
type RelaySettings struct {
	Host      HostSettings
	Listeners RelayListeners
	// Seeds lists listeners of some keepers as IP:PORT. Only the IPs are used; the port is PeerPort.
	Seeds []string
	// PeerPort is the port on which every host of the deployment listens for its peers.
	PeerPort int
	// Bootstrap is set when the whole deployment starts for the first time.
	Bootstrap bool
	// FaultTolerance is the number of keepers that may fail at the same time.
	FaultTolerance int
	// FailureDomains lists the names of failure domains that operators may evacuate. Those of hosts and endpoints are always known.
	FailureDomains []core.FailureDomain
	// AnnounceEveryMs is the interval at which endpoints announce themselves.
	AnnounceEveryMs core.Millis
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64
	// RotationMs is how long the load balancer may keep sending new clients to a host that reports not ready.
	RotationMs core.Millis
	Retries    RetrySettings
	// MemoryMb is the memory that the process may use; 0 sets no limit.
	MemoryMb int
	Buffers  BufferSettings
	Keys     struct {
		// Cluster is the secret that all hosts of the deployment share.
		Cluster string
	}
	Keepers KeeperSettings
	Log     RelayLogSettings
}

// BufferSettings sets how much an entry host holds of answers that clients read slowly.
type BufferSettings struct {
	// MemoryShare is the share of MemoryMb that may hold what clients and endpoints have not read yet; 0 holds nothing for slow clients.
	MemoryShare float64
}

// RetrySettings limits the retries that a service receives from all hosts together.
type RetrySettings struct {
	// In any window of WindowSeconds, Ratio retries are allowed per request, plus Slack further retries.
	Ratio, Slack, WindowSeconds float64
}

// RelayListeners holds the addresses, as IP:PORT, on which a host listens. Those that its role does not need are empty.
type RelayListeners struct {
	// Clients receives requests, Ready the load balancer's readiness checks.
	Clients, Ready string
	// Control receives announcements of endpoints and calls of operators.
	Control string
	// Metrics serves counters and histograms.
	Metrics string
	Peers   string
	// PeersAdvertised is the address at which other hosts reach Peers, if it differs from Peers.
	PeersAdvertised string
}

// RelayLogSettings sets the log level and the maximum log rate.
type RelayLogSettings struct {
	Level          string
	BytesPerSecond int
}

// RelayDefaults returns the values of settings that a file omits.
func RelayDefaults() RelaySettings {
	s := RelaySettings{
		// A load balancer that checks once a second removes a host after two failed checks.
		RotationMs: 3 * core.Second,
		// The shortest time that process managers commonly allow.
		GraceSeconds: 8,
		// The usual interval of announcements. An endpoint is forgotten after a few intervals without an announcement, so a
		// shorter value would forget endpoints whose announcement is late.
		AnnounceEveryMs: core.Second,
		Keepers:         Defaults().Keepers,
		// Low enough that retries never double the load of an overloaded service.
		Retries: RetrySettings{Ratio: 0.1, Slack: 10, WindowSeconds: 10},
		// The runtime collects garbage harder above 0.7 of the memory. What the process holds otherwise must fit below.
		Buffers: BufferSettings{MemoryShare: 0.2},
		// About 150 lines a second.
		Log: RelayLogSettings{Level: "Info", BytesPerSecond: logBytesPerSecond},
	}
	// Nothing is scheduled between the loss of a leader and the election of the next one, which takes one to two election
	// timeouts. The timeout is six heartbeats, and several round trips between failure domains.
	s.Keepers.ElectionTimeoutMs = 300
	return s
}

// LoadRelay reads a settings file, fills in the defaults and validates the result.
func LoadRelay(path string) (RelaySettings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return RelaySettings{}, fmt.Errorf("read settings: %w", err)
	}
	s := RelayDefaults()
	if err := tree.Decode(raw, &s); err != nil {
		return RelaySettings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, s.Check()
}

// Check returns all invalid settings in one error, each with its path, the found and the expected value.
func (s RelaySettings) Check() error {
	c := &checker{}
	c.require(s.Host.ID != "", "Host.ID", `""`, "a name")
	c.require(s.Host.FailureDomain != "", "Host.FailureDomain", `""`, "a name")
	c.require((s.Listeners.Clients == "") == (s.Listeners.Ready == ""), "Listeners.Ready", s.Listeners.Ready, "one beside Clients")
	c.require(s.Listeners.Clients != "" || s.Listeners.Control != "", "Listeners", "none", "Clients or Control")
	c.require(s.Listeners.Control == "" || s.Host.DataFolder != "", "Host.DataFolder", `""`, "a folder, since Control is set")
	c.requireAddress("Listeners.Peers", s.Listeners.Peers)
	if s.Listeners.PeersAdvertised != "" {
		c.requireAddress("Listeners.PeersAdvertised", s.Listeners.PeersAdvertised)
	}
	for i, a := range s.Seeds {
		c.requireAddress(fmt.Sprintf("Seeds[%d]", i), a)
	}
	c.require(len(s.Seeds) > 0, "Seeds", "none", "at least one address")
	for i, d := range s.FailureDomains {
		c.require(state.CheckDomainName(d) == nil, fmt.Sprintf("FailureDomains[%d]", i), fmt.Sprintf("%q", d), fmt.Sprint("1 to ", state.MaxDomainBytes, " bytes"))
	}
	c.require(s.PeerPort > 0, "PeerPort", s.PeerPort, "a port")
	c.require(s.FaultTolerance >= 0 && s.FaultTolerance <= 3, "FaultTolerance", s.FaultTolerance, "0 to 3")
	c.keeperTimes(s.Keepers)
	c.requireRange("AnnounceEveryMs", s.AnnounceEveryMs, 10, oneHour)
	c.require(s.GraceSeconds >= 1, "GraceSeconds", s.GraceSeconds, "1 or more")
	c.require(s.Buffers.MemoryShare >= 0 && s.Buffers.MemoryShare <= maxBufferShare, "Buffers.MemoryShare", s.Buffers.MemoryShare,
		fmt.Sprintf("0 to %g", maxBufferShare))
	c.require(s.Retries.Ratio >= 0 && s.Retries.Slack >= 0, "Retries", s.Retries, "0 or more")
	c.require(s.Retries.WindowSeconds > 0, "Retries.WindowSeconds", s.Retries.WindowSeconds, "more than 0")
	_, known := logLevels[s.Log.Level]
	c.require(known, "Log.Level", s.Log.Level, "Debug, Info, Warn or Error")
	return errors.Join(c.errs...)
}

// peersAddress returns the address at which other hosts reach this host's peer listener.
func (l RelayListeners) peersAddress() string {
	if l.PeersAdvertised != "" {
		return l.PeersAdvertised
	}
	return l.Peers
}

// bufferBytes returns the budget for what clients and endpoints have not read yet.
func (s RelaySettings) bufferBytes() int64 {
	return int64(s.Buffers.MemoryShare * float64(max(0, s.MemoryMb)) * (1 << 20))
}

// gracePeriod returns the time from SIGTERM to SIGKILL.
func (s RelaySettings) gracePeriod() core.Millis {
	return core.Millis(s.GraceSeconds * float64(core.Second))
}

// timeUntil returns the time from SIGTERM until a reserve, a share of the grace period, is left of it.
func (s RelaySettings) timeUntil(reserve float64) core.Millis {
	grace := s.gracePeriod()
	period := min(grace, core.Millis(float64(maxWorkReserve)/workReserve))
	return grace - core.Millis(reserve*float64(period))
}

// retryLimit returns the limit of the retries that a service receives from all hosts together.
func (s RelaySettings) retryLimit() fleet.RetryLimits {
	return fleet.RetryLimits{
		Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: core.Millis(s.Retries.WindowSeconds * float64(core.Second)),
	}
}

// seedPeers returns the peer addresses of the seeds: their IPs with PeerPort.
func (s RelaySettings) seedPeers() []string {
	var list []string
	for _, seed := range s.Seeds {
		// Check has verified that every seed is a valid IP:PORT.
		host, _, _ := net.SplitHostPort(seed)
		list = append(list, net.JoinHostPort(host, strconv.Itoa(s.PeerPort)))
	}
	return list
}
