package quorum_test

import (
	"fmt"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
)

// lossesLeft returns how many more keepers may be lost now. A keeper with an empty disk counts as lost for catchUp after
// its start, and one that is gone until its successor has had that time.
func (w *world) lossesLeft() int {
	left := (w.schedule.Nodes - 1) / 2
	for _, until := range w.losses {
		if until > w.now {
			left--
		}
	}
	return left
}

// lose loses a keeper: for good, with a successor on another host, or for so long that the successor has replaced it when it comes
// back with its old log, or with its disk, or only its process. Half of the losses hit the leader. Now and then the processes of all keepers end at the same moment.
func (w *world) lose() {
	if w.rng.IntN(8) == 0 {
		for _, h := range w.hosts {
			w.crash(h)
			w.losses = append(w.losses, h.downUntil+catchUp)
		}
		return
	}
	h := w.pickPresent()
	if h == nil {
		return
	}
	w.crash(h)
	start := w.now + core.Millis(100+w.rng.IntN(2000))
	switch w.rng.IntN(4) {
	case 0, 1:
		h.gone = w.rng.IntN(2) == 0
		h.downUntil = start + 2*catchUp + core.Millis(w.rng.IntN(8000))
		w.hosts = append(w.hosts, &keeperHost{host: hostName(len(w.hosts)), incarnation: 1, downUntil: start})
	case 2:
		w.wipe(h)
		h.downUntil = start
	default:
		h.downUntil = start
	}
	w.losses = append(w.losses, start+catchUp)
}

// pickPresent returns a keeper that runs: the leader or a random one.
func (w *world) pickPresent() *keeperHost {
	var present []*keeperHost
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		if h.node.Role() == quorum.Leader && w.rng.IntN(2) == 0 {
			return h
		}
		present = append(present, h)
	}
	if len(present) == 0 {
		return nil
	}
	return present[w.rng.IntN(len(present))]
}

// checkFinalLoss loses as many disks as are tolerated now and the power of all keepers, and returns a violation unless a
// leader is elected that holds every committed entry.
func (w *world) checkFinalLoss() string {
	for w.lossesLeft() > 0 {
		h := w.pickPresent()
		if h == nil {
			break
		}
		w.crash(h)
		w.wipe(h)
		w.losses = append(w.losses, h.downUntil+catchUp)
	}
	for _, h := range w.hosts {
		w.crash(h)
	}
	w.packets = nil
	return w.recover()
}

// recover returns a violation unless a leader is elected that holds every committed entry.
func (w *world) recover() string {
	last := uint64(0)
	for index := range w.committed {
		last = max(last, index)
	}
	for range recoverySteps {
		w.now += stepMillis
		w.advance()
		for _, h := range w.hosts {
			if h.node != nil && h.node.Ready() && h.node.Commit() >= last {
				return w.violation
			}
		}
	}
	return fmt.Sprintf("no keeper that holds entry %d leads %d ms after the last loss", last, recoverySteps*stepMillis)
}
