package setup

import (
	"context"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/kernel"
	"cyclamenford/io/carry"
)

// keeperStopReserve is what a stopping host that carries connections leaves of its time for the stop of its keeper, which hands its vote and
// its lead over.
const keeperStopReserve = 2 * core.Second

// carryWait is a service whose stop waits for carried connections. Those that are left go on until the stop of the peer server.
type carryWait struct {
	carrier *carry.Carrier
	reserve core.Millis
}

// addCarryWait makes a host with a keeper wait for carried connections before it stops what its keeper needs. It must be called before the
// callers' listener is added, which stops first. A host without a keeper needs no such wait: its peer server stops last.
func addCarryWait(k *kernel.Registry, c *carry.Carrier, dataFolder string) error {
	if dataFolder == "" {
		return nil
	}
	return k.Register(carryService, &carryWait{carrier: c, reserve: keeperStopReserve}, keeperService)
}

// Start does nothing.
func (w *carryWait) Start(context.Context) error { return nil }

// Stop waits until no connection is carried any more, or only the reserve is left of ctx's time.
func (w *carryWait) Stop(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(end)-w.reserve.Duration())
		defer cancel()
	}
	w.carrier.Wait(ctx)
	return nil
}
