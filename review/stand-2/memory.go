package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	// Doses that the standard days of the small deployments name: big_config count 350, config_storm gap_s 0.08 for 2 s, and node_freeze on
	// core for 6.5 s. stormPause is the time between two storms.
	addedRoutes, stormChanges, storms = 350, 25, 3
	stormGap                          = 80 * time.Millisecond
	stormPause                        = 600 * time.Millisecond
	freezeTime                        = 6500 * time.Millisecond
	memoryRounds                      = 11
	// The rule asks for this many ends of a process on each of this many machines.
	endsOfAMachine, endedMachines = 3, 2
	firstAckTimeout               = 15 * time.Second
	memoryTime                    = 100 * time.Second
)

// playMemory freezes two keepers again and again while the configuration changes in quick succession, and checks that no process uses more
// memory than its machine has.
func playMemory(script context.Context, d *deployment) error {
	ctx, cancel := context.WithTimeout(script, memoryTime)
	defer cancel()
	if err := d.startAll(); err != nil {
		return err
	}
	o := newOperator(d, addedRoutes+5)
	first, stop := context.WithTimeout(ctx, firstAckTimeout)
	defer stop()
	if !o.send(first, o.version.Add(1)) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	for n := 0; n < memoryRounds && ctx.Err() == nil; n++ {
		began := time.Now()
		var frozen []*machine
		if d.trouble {
			frozen = followers(d)
		}
		for _, m := range frozen {
			m.signal(syscall.SIGSTOP)
		}
		for range storms {
			for range stormChanges {
				o.change(ctx)
				time.Sleep(stormGap)
				if time.Since(began) >= freezeTime {
					frozen = thaw(frozen)
				}
			}
			time.Sleep(stormPause)
		}
		thaw(frozen)
		time.Sleep(time.Second)
		if countOften(d) >= endedMachines {
			break
		}
	}
	if err := script.Err(); err != nil {
		return fmt.Errorf("the script was ended: %w", err)
	}
	return judgeMemory(d)
}

// followers returns two keepers that do not lead, the same ones each time if possible: as many as may be lost at once.
func followers(d *deployment) []*machine {
	var list []*machine
	for _, k := range slices.Backward(d.keepers) {
		if k != d.leading() && len(list) < faultTolerance {
			list = append(list, k)
		}
	}
	return list
}

// thaw continues the frozen processes and returns none.
func thaw(frozen []*machine) []*machine {
	for _, m := range frozen {
		m.signal(syscall.SIGCONT)
	}
	return nil
}

// countOften counts the machines whose processes have ended often enough for the rule.
func countOften(d *deployment) int {
	often := 0
	for _, m := range append(d.keepers, d.entries...) {
		m.mu.Lock()
		if m.over >= endsOfAMachine {
			often++
		}
		m.mu.Unlock()
	}
	return often
}

// judgeMemory reports the processes that ended because they used too much memory.
func judgeMemory(d *deployment) error {
	for _, m := range append(d.keepers, d.entries...) {
		m.mu.Lock()
		d.record("%s: over its memory %d times, peak %d MB", m.name, m.over, m.peakMb)
		m.mu.Unlock()
	}
	if often := countOften(d); often >= endedMachines {
		return fmt.Errorf("%w: processes of %d machines ended %d times or more with no disruption there", errBroken, often, endsOfAMachine)
	}
	return nil
}
