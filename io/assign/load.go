package assign

import (
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/sched"
)

// headerWarnPeriod is the time in which the log names an endpoint's unreadable headers once.
const headerWarnPeriod = 10 * core.Second

// applyLoad gives the scheduler what an endpoint incarnation states of its load, if it states anything. The caller holds mu.
func (a *Assigner) applyLoad(now core.Millis, l core.Life, r order.LoadReport) {
	if r.Stated && a.sched.RecordLoad(now, l, r) {
		a.meter.Count("assign_speed_reports_total", 1)
	}
}

// reportSpeed updates the gauges of the speed of a service whose endpoints state it.
func (a *Assigner) reportSpeed(x sched.Status) {
	if x.Speed.Reporting == 0 {
		return
	}
	a.meter.SetGauge("service_speed_reporting", int64(x.Speed.Reporting), "service", x.Service)
	a.meter.SetGauge("service_slowdown_percent", int64(100*x.Speed.Usual), "service", x.Service)
	a.meter.SetGauge("service_endpoints_slow", int64(x.Speed.Slow), "service", x.Service)
	a.meter.SetGauge("service_speed_report_age_ms", int64(x.Speed.OldestReport), "service", x.Service)
	if x.Speed.TokenTime > 0 {
		a.meter.SetGauge("service_read_tokens_per_second", int64(float64(core.Second)/x.Speed.TokenTime), "service", x.Service)
		a.meter.SetGauge("service_first_byte_base_ms", int64(x.Speed.BaseTime), "service", x.Service)
	}
}
