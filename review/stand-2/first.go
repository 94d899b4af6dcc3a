package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// emptyMachineDelay is when an empty machine replaces the lost one: replace_core has x = 1 s.
	emptyMachineDelay = time.Second
	// lostAfter is when the machine is lost, counted from the start of all machines.
	lostAfter = 100 * time.Millisecond
	// waitForFirst exceeds ack-ms by far.
	waitForFirst = 60 * time.Second
)

// playFirstStart loses one keeper for good while the whole system starts for the first time, and checks that the operator's first
// configuration is acknowledged all the same. An empty machine takes the place of the lost one.
func playFirstStart(ctx context.Context, d *deployment) error {
	if err := d.startAll(); err != nil {
		return err
	}
	if d.trouble {
		time.Sleep(lostAfter)
		lost := d.keepers[0]
		lost.end(false)
		d.record("%s is gone for good", lost.name)
		time.Sleep(emptyMachineDelay)
		empty := d.newMachine("core-6", "127.0.77.6", 0, true)
		empty.bootstrap = false
		d.keepers[0] = empty
		if err := empty.start(); err != nil {
			return err
		}
	}
	o := newOperator(d, 5)
	ctx, cancel := context.WithTimeout(ctx, waitForFirst)
	defer cancel()
	if o.send(ctx, o.version.Add(1)) {
		return nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return fmt.Errorf("the script was ended: %w", ctx.Err())
	}
	return fmt.Errorf("%w: no keeper has acknowledged the first configuration within %v", errBroken, waitForFirst)
}
