package keeper

import (
	"cyclamenford/core/quorum"
	"cyclamenford/io/meter"
)

// UpdateGauges sets the gauges of the replicated log and of the control state as this keeper sees them.
func (k *Keeper) UpdateGauges(m *meter.Meter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	leads := int64(0)
	if k.view.role == quorum.Leader && k.view.ready {
		leads = 1
	}
	m.SetGauge("control_leads", leads)
	m.SetGauge("control_term", int64(k.view.term))
	m.SetGauge("control_voters", int64(len(k.view.config.Voters)))
	m.SetGauge("control_learners", int64(len(k.view.config.Learners)))
	m.SetGauge("control_commit_index", int64(k.view.commit))
	m.SetGauge("control_lag_entries", int64(k.view.lag))
	// Only the leader knows these; the others report 0 for both.
	m.SetGauge("control_losses_tolerated", int64(k.redundancy.Tolerated))
	m.SetGauge("control_redundancy_reduced_ms", int64(reducedFor(k.reducedAt, k.clock.Now())))
	suspended := int64(0)
	if k.suspendedAt > 0 {
		suspended = 1
	}
	m.SetGauge("control_disk_refuses", suspended)
	m.SetGauge("control_revision", int64(k.machine.Image().Revision))
}
