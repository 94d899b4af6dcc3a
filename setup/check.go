package setup

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"cyclamenford/core"
	"cyclamenford/io/certs"
	"cyclamenford/io/trace"
)

const (
	minClusterKeyBytes = 16
	oneHour            = 60 * 60 * core.Second
	addressFormat      = "IP:PORT"
)

// checker validates settings and collects an error for each invalid one.
type checker struct{ errs []error }

// require records an error for the setting at path unless ok is set.
func (c *checker) require(ok bool, path string, found, expected any) {
	if !ok {
		c.errs = append(c.errs, core.NewFieldError(path, found, expected))
	}
}

func (c *checker) requireAddress(path, address string) {
	_, err := netip.ParseAddrPort(address)
	c.require(err == nil, path, fmt.Sprintf("%q", address), addressFormat)
}

// requireRange records an error for the setting at path unless found is between low and high, both included.
func (c *checker) requireRange(path string, found, low, high core.Millis) {
	c.require(found >= low && found <= high, path, found, fmt.Sprintf("%d to %d", low, high))
}

// Check returns all invalid settings in one error, each with its path, the found and the expected value.
func (s Settings) Check() error {
	c := &checker{}
	c.require(s.Host.ID != "" && !strings.Contains(string(s.Host.ID), "/"), "Host.ID", s.Host.ID, "a name without /")
	c.require(s.Host.FailureDomain != "", "Host.FailureDomain", `""`, "a name")
	c.listeners(s.Listeners)
	if s.Listeners.PeersAdvertised != "" {
		c.requireAddress("Listeners.PeersAdvertised", s.Listeners.PeersAdvertised)
	}
	c.require(len(s.Join) > 0, "Join", "none", "at least one address")
	for i, a := range s.Join {
		c.requireAddress(fmt.Sprintf("Join[%d]", i), a)
	}
	c.founding(s.Founding)
	c.keepers(s)
	c.keys(s.Keys)
	c.callers(s.Callers)
	c.tls(s.Tls)
	c.logAndTrace(s)
	return errors.Join(c.errs...)
}

func (c *checker) listeners(l Listeners) {
	named := []struct{ path, address string }{
		{"Listeners.Callers", l.Callers},
		{"Listeners.Endpoints", l.Endpoints},
		{"Listeners.Operators", l.Operators},
		{"Listeners.Peers", l.Peers},
	}
	seen := map[string]string{}
	for _, n := range named {
		c.requireAddress(n.path, n.address)
		if earlier, ok := seen[n.address]; ok {
			c.require(false, n.path, n.address, "an address that "+earlier+" does not use")
		}
		seen[n.address] = n.path
	}
}

func (c *checker) founding(list []FoundingKeeper) {
	seen := map[core.HostID]bool{}
	for i, k := range list {
		path := fmt.Sprintf("Founding[%d]", i)
		c.require(k.ID != "" && !seen[k.ID], path+".ID", k.ID, "a name used once")
		c.requireAddress(path+".Address", k.Address)
		seen[k.ID] = true
	}
}

func (c *checker) keepers(s Settings) {
	listed := slices.ContainsFunc(s.Founding, func(k FoundingKeeper) bool { return k.ID == s.Host.ID })
	c.require(!listed || s.Host.DataFolder != "", "Host.DataFolder", `""`, "a folder, since Founding lists this host")
	c.require(s.Keepers.Voters >= 0 && s.Keepers.Voters <= 7, "Keepers.Voters", s.Keepers.Voters, "0 to 7")
	c.keeperTimes(s.Keepers)
}

// keeperTimes checks the times that serve and the relay share.
func (c *checker) keeperTimes(k KeeperSettings) {
	c.require(k.CatchUpSeconds >= 1 && k.CatchUpSeconds <= 3600, "Keepers.CatchUpSeconds", k.CatchUpSeconds, "1 to 3600")
	c.require(k.PatienceMs == 0 || k.PatienceMs >= core.Second && k.PatienceMs <= oneHour, "Keepers.PatienceMs", k.PatienceMs, "0, or 1000 to 3600000")
	c.requireRange("Keepers.ElectionTimeoutMs", k.ElectionTimeoutMs, 100, 60*core.Second)
	c.requireRange("Keepers.ApplyMs", k.ApplyMs, 0, oneHour)
}

func (c *checker) keys(k Keys) {
	c.require(len(k.Cluster) >= minClusterKeyBytes, "Keys.Cluster", fmt.Sprintf("%d bytes", len(k.Cluster)), "at least 16 bytes")
	names := map[string]bool{}
	for i, o := range k.Operators {
		path := fmt.Sprintf("Keys.Operators[%d]", i)
		c.require(o.Name != "" && !names[o.Name], path+".Name", o.Name, "a name used once")
		c.require(len(o.Sha256) == 64, path+".Sha256", o.Sha256, "64 hexadecimal digits")
		names[o.Name] = true
	}
}

func (c *checker) callers(s CallerSettings) {
	c.require(s.MaxBodyBytes >= 1 && s.MaxBodyBytes <= 64<<20, "Callers.MaxBodyBytes", s.MaxBodyBytes, "1 to 67108864")
	c.require(s.MaxHeaderBytes >= 1024 && s.MaxHeaderBytes <= 1<<20, "Callers.MaxHeaderBytes", s.MaxHeaderBytes, "1024 to 1048576")
	c.requireRange("Callers.ReadTimeoutMs", s.ReadTimeoutMs, 10, oneHour)
	c.requireRange("Callers.WriteTimeoutMs", s.WriteTimeoutMs, 10, oneHour)
	c.requireRange("Callers.ResumeGraceMs", s.ResumeGraceMs, 0, oneHour)
	c.requireRange("Callers.DrainMs", s.DrainMs, 0, oneHour)
	c.requireRange("Callers.ShutdownMs", s.ShutdownMs, core.Second, 24*oneHour)
}

func (c *checker) tls(t TLS) {
	files := []struct {
		path string
		f    certs.Files
	}{
		{"Tls.Callers", t.Callers},
		{"Tls.Endpoints", t.Endpoints},
		{"Tls.Operators", t.Operators},
		{"Tls.Peers", t.Peers},
		{"Tls.EndpointCalls", t.EndpointCalls},
	}
	for _, x := range files {
		both := (x.f.Certificate == "") == (x.f.Key == "")
		c.require(both, x.path, "one of Certificate and Key", "both or none")
	}
}

func (c *checker) logAndTrace(s Settings) {
	_, known := logLevels[s.Log.Level]
	c.require(known, "Log.Level", s.Log.Level, "Debug, Info, Warn or Error")
	c.require(s.Log.BytesPerSecond > 0, "Log.BytesPerSecond", s.Log.BytesPerSecond, "a number above 0")
	c.require(s.Log.Format == formatText || s.Log.Format == formatJSON, "Log.Format", s.Log.Format, "Text or Json")
	exports := []string{trace.ExportNone, trace.ExportStdout, trace.ExportFile, trace.ExportOtlp}
	c.require(slices.Contains(exports, s.Trace.Export), "Trace.Export", s.Trace.Export, strings.Join(exports, ", "))
	needsTarget := s.Trace.Export == trace.ExportFile || s.Trace.Export == trace.ExportOtlp
	c.require(!needsTarget || s.Trace.Target != "", "Trace.Target", `""`, "a path or IP:PORT for "+s.Trace.Export)
	c.require(s.Trace.Share >= 0 && s.Trace.Share <= 1, "Trace.Share", s.Trace.Share, "0 to 1")
}
