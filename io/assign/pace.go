package assign

import (
	"maps"
	"slices"

	"cyclamenford/core"
)

// maxColdLines is how many lines about endpoints that become or cease to be cold are written for each second. A whole failure
// domain may change at once; the rest is summed up.
const maxColdLines = 8

// paceLog follows what was logged and measured of cold endpoints and windows.
type paceLog struct {
	loggedAt core.Millis
	gauged   map[string]bool
}

// logPace logs and counts, once a second, which endpoints have become cold or ceased to be, and updates the gauges of cold
// endpoints and of windows.
func (a *Assigner) logPace(now core.Millis) {
	if now-a.pace.loggedAt < activityInterval {
		return
	}
	a.pace.loggedAt = now
	changes, counts := a.sched.TakeColdChanges()
	for i, c := range changes {
		if i == maxColdLines {
			break
		}
		a.log.Info("endpoint cold", "endpoint", c.Endpoint, "incarnation", c.Incarnation, "service", c.Service, "cold", c.Cold,
			"why", c.Reason, "announced_ms", c.Announced)
	}
	total := 0
	for _, why := range slices.Sorted(maps.Keys(counts)) {
		total += counts[why]
		a.meter.Count("endpoint_cold_changes_total", int64(counts[why]), "why", string(why))
	}
	if total > maxColdLines {
		a.log.Info("endpoints cold", "changes", total, "by", counts)
	}
	gauged := map[string]bool{}
	for _, s := range a.sched.PaceStatus(now) {
		gauged[s.Service] = true
		if s.Windowed > 0 {
			a.log.Info("endpoints paced", "service", s.Service, "windows", s.Windowed, "requests", int(s.Sum), "cold", s.Cold)
		}
		a.meter.SetGauge("endpoints_cold", int64(s.Cold), "service", s.Service)
		a.meter.SetGauge("endpoints_windowed", int64(s.Windowed), "service", s.Service)
		a.meter.SetGauge("endpoint_windows_requests", int64(s.Sum), "service", s.Service)
	}
	for service := range a.pace.gauged {
		if !gauged[service] {
			a.meter.RemoveGauge("endpoints_cold", "service", service)
			a.meter.RemoveGauge("endpoints_windowed", "service", service)
			a.meter.RemoveGauge("endpoint_windows_requests", "service", service)
		}
	}
	a.pace.gauged = gauged
}
