package assign

// Report updates the scheduler's gauges. The gauges of the services are updated only while this keeper leads.
func (a *Assigner) Report() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.checkLeadership() {
		a.meter.SetGauge("assign_leads", 0)
		return
	}
	a.meter.SetGauge("assign_leads", 1)
	a.meter.SetGauge("assign_waiting", int64(len(a.waiters)))
	for _, x := range a.sched.Status(a.clock.Now()) {
		a.meter.SetGauge("service_endpoints", int64(x.Endpoints), "service", x.Service)
		a.meter.SetGauge("service_endpoints_usable", int64(x.Usable), "service", x.Service)
		a.meter.SetGauge("service_waiting_pieces", int64(x.Pieces), "service", x.Service)
		a.meter.SetGauge("service_waiting_requests", int64(x.Requests), "service", x.Service)
		a.meter.SetGauge("service_room_taken_percent", int64(x.RoomPercent), "service", x.Service)
		a.reportSpeed(x)
		a.meter.SetGauge("service_repeats_left", int64(x.RepeatsLeft), "service", x.Service)
	}
}
