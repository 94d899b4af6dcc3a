package setup

import (
	"fmt"
	"os"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
	"cyclamenford/core/repair"
	"cyclamenford/core/tree"
	"cyclamenford/io/certs"
	"cyclamenford/io/trace"
)

// Settings is one host's settings file. Settings that all hosts share are in the settings tree instead.
type Settings struct {
	Host      HostSettings
	Listeners Listeners
	// Join lists the peer listeners, as IP:PORT, that this host contacts to join the deployment.
	Join []string
	// Founding lists the keepers of a new deployment, identically on each of them. The first one creates the deployment.
	Founding []FoundingKeeper
	Keepers  KeeperSettings
	Keys     Keys
	Tls      TLS
	Callers  CallerSettings
	Log      LogSettings
	Trace    TraceSettings
}

// HostSettings identifies the host and places its data folder.
type HostSettings struct {
	// ID is the host's name, unique in the deployment.
	ID core.HostID
	// FailureDomain is the group of machines that may fail together with this host.
	FailureDomain core.FailureDomain
	// DataFolder makes the host a keeper or a spare keeper; empty for a host without a disk.
	DataFolder string
}

// Listeners holds the addresses, as IP:PORT, on which this host listens.
type Listeners struct {
	Callers   string
	Endpoints string
	Operators string
	Peers     string
	// PeersAdvertised is the address at which other hosts reach Peers, if it differs from Peers.
	PeersAdvertised string
}

// peersAddress returns the address at which other hosts reach this host's peer listener.
func (l Listeners) peersAddress() string {
	if l.PeersAdvertised != "" {
		return l.PeersAdvertised
	}
	return l.Peers
}

// FoundingKeeper is a keeper of a new deployment with the address of its peer listener.
type FoundingKeeper struct {
	ID      core.HostID
	Address string
}

// KeeperSettings configures the replicated control state; it must be the same on all hosts.
type KeeperSettings struct {
	// Voters is the target number of voting keepers; 0 means as many as Founding lists.
	Voters int
	// CatchUpSeconds is the time after its start within which a keeper with an empty disk votes in place of a lost one.
	CatchUpSeconds float64
	// PatienceMs is how long a keeper may be unreachable before a spare keeper replaces it; 0 derives it from CatchUpSeconds.
	PatienceMs core.Millis
	// ElectionTimeoutMs is the shortest time without a message from the leader after which a new one is elected.
	ElectionTimeoutMs core.Millis
	// ApplyMs is the time within which an accepted change is in force at every host that serves; a host that no leader has answered for so
	// long takes no new work. 0 means the length of the serving lease.
	ApplyMs core.Millis
}

// quorum returns the timing of the replicated log; six heartbeats make one election timeout, of at least 20 ms each.
func (s KeeperSettings) quorum() quorum.Settings {
	q := quorum.Defaults()
	q.ElectionTimeout = s.ElectionTimeoutMs
	q.Heartbeat = max(20, s.ElectionTimeoutMs/6)
	return q
}

// replaceAfter returns how long a keeper may be unreachable before a spare keeper replaces it.
func (s KeeperSettings) replaceAfter() core.Millis {
	if s.PatienceMs > 0 {
		return s.PatienceMs
	}
	return repair.Patience(core.Millis(s.CatchUpSeconds*float64(core.Second)), s.ElectionTimeoutMs)
}

// Keys holds secrets and hashes of secrets.
type Keys struct {
	// Cluster is the secret that all hosts of the deployment share.
	Cluster string
	// Operators lists the operators with the hashes of their keys.
	Operators []tree.Key
	// Endpoints lists the hashes of the endpoints' keys; if empty, any endpoint may announce itself.
	Endpoints []string
	// Issuer is the secret that authenticates orders to endpoints that check their issuer.
	Issuer string
}

// TLS names the certificate files; a listener without a certificate uses plain text.
type TLS struct {
	Callers   certs.Files
	Endpoints certs.Files
	Operators certs.Files
	Peers     certs.Files
	// EndpointCalls is used for connections from this host to endpoints.
	EndpointCalls certs.Files
}

// CallerSettings limits the resources that one caller can use, and times the shutdown.
type CallerSettings struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeoutMs is the time limit for reading a request.
	ReadTimeoutMs core.Millis
	// WriteTimeoutMs is the time limit of each write to a caller.
	WriteTimeoutMs core.Millis
	// ResumeGraceMs is how long a stream without a reader is kept so that the caller can resume it.
	ResumeGraceMs core.Millis
	// DrainMs is how long the host reports not ready before it closes its listener.
	DrainMs core.Millis
	// ShutdownMs is the time limit of the whole shutdown; requests that still run shortly before its end are ended with an answer.
	ShutdownMs core.Millis
}

// LogSettings sets the log level, format and maximum rate.
type LogSettings struct {
	// Level is Debug, Info, Warn or Error.
	Level string
	// Format is Text or Json.
	Format string
	// BytesPerSecond is the maximum log rate; above it, the lines of some requests are dropped.
	BytesPerSecond int
}

// TraceSettings sets where spans are exported.
type TraceSettings struct {
	// Export is None, Stdout, File or Otlp.
	Export string
	// Target is the file's path, or the collector's IP:PORT.
	Target string
	// Share is the fraction of requests that is traced, from 0 to 1.
	Share float64
}

const logBytesPerSecond = 48 << 10

// Defaults returns the values of settings that a file omits.
func Defaults() Settings {
	return Settings{
		Keepers: KeeperSettings{
			// Long enough for two elections and the membership changes after a short silence.
			CatchUpSeconds: 4,
			// Several times the round trip between failure domains plus the time of a disk sync.
			ElectionTimeoutMs: 600,
		},
		Callers: CallerSettings{
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 32 << 10,
			ReadTimeoutMs:  10 * core.Second,
			// A caller that reads nothing for this long is considered disconnected.
			WriteTimeoutMs: 10 * core.Second,
			ResumeGraceMs:  5 * core.Second,
			// Load balancers check readiness every one or two seconds.
			DrainMs:    2 * core.Second,
			ShutdownMs: 60 * core.Second,
		},
		// About 150 lines a second.
		Log:   LogSettings{Level: "Info", Format: "Text", BytesPerSecond: logBytesPerSecond},
		Trace: TraceSettings{Export: trace.ExportNone, Share: 1},
	}
}

// Load reads a settings file, fills in the defaults and validates the result.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes settings from JSON, fills in the defaults and validates the result.
func Parse(raw []byte) (Settings, error) {
	s := Defaults()
	if err := tree.Decode(raw, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}
