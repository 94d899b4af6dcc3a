package fault

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxStop is how long a stop of a host may last from its step on, and maxCut how long a cut or a delay.
	maxStop = 10 * time.Second
	maxCut  = 5 * time.Second
	// receiveTime is how long an answer may be on its way to a host.
	receiveTime = 500 * time.Millisecond
	// calmTime is how long a host must have been undisturbed to count as calm.
	calmTime = 3 * time.Second
)

// stopActions are the actions that stop a host or let it run again. All others of this package affect the network.
var stopActions = []string{"Kill", "KillAll", "Start", "StartAll", "Freeze", "Thaw", "Restart", "Terminate", "Wipe", "Tear"}

// plannedActions are the actions that stop a host as its operators do.
var plannedActions = []string{"Restart", "Terminate"}

// contactActions are the actions that freeze a host or cut it off.
var contactActions = []string{"Freeze", "Isolate", "IsolateIn", "IsolateOut", "IsolateDomain"}

// endActions maps each action whose fault lasts to the actions that end it.
var endActions = map[string][]string{
	"Kill": {"Start", "StartAll"}, "KillAll": {"Start", "StartAll"}, "Freeze": {"Thaw", "HealAll"},
	"Isolate": {"Heal", "HealAll"}, "IsolateIn": {"Heal", "HealAll"}, "IsolateOut": {"Heal", "HealAll"}, "Delay": {"Heal", "HealAll"},
	"IsolateDomain": {"HealDomain", "HealAll"},
}

// disturbance is a step that affected a host. A fault consists of two: its begin and its end.
type disturbance struct {
	at time.Time
	do string
}

// stops reports whether it stopped the host or let it run again.
func (d disturbance) stops() bool { return slices.Contains(stopActions, d.do) }

// history holds the disturbances of each host.
type history struct {
	mu     sync.Mutex
	byHost map[string][]disturbance
}

// record records a step for the hosts that it affects. Cutting off a failure domain affects all of them, since its endpoints are
// cut off from the other hosts.
func (h *history) record(s Step, hosts []Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byHost == nil {
		h.byHost = map[string][]disturbance{}
	}
	for _, host := range hosts {
		if s.Host == "" || s.Host == host.Name {
			h.byHost[host.Name] = append(h.byHost[host.Name], disturbance{at: time.Now(), do: s.Do})
		}
	}
}

// clear removes all disturbances.
func (h *history) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byHost = nil
}

// contains reports whether a disturbance of a host matches.
func (h *history) contains(host string, matches func(disturbance) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.byHost[host], matches)
}

// Origin returns the host that sent the newest data of the connection from an address, and when it did.
func (g *Group) Origin(address string) (host string, sentAt time.Time) {
	return g.Network.Origin(address)
}

// Calm reports whether a host has been undisturbed since some time before the given moment.
func (g *Group) Calm(host string, since time.Time) bool {
	return !g.history.contains(host, func(d disturbance) bool { return since.Sub(d.at) <= calmTime })
}

// Knows reports whether a host that was sent an answer has received it and has run ever since. Cuts that began later do not
// matter.
func (g *Group) Knows(host string, answered time.Time) bool {
	return !g.history.contains(host, func(d disturbance) bool {
		before := answered.Sub(d.at)
		return d.stops() && before < maxStop || before < maxCut && before > -receiveTime
	})
}

// Undisturbed reports whether no unplanned fault was in force at a host, or had been within calmTime before, from one moment to
// another.
func (g *Group) Undisturbed(host string, from, to time.Time) bool {
	inForce := map[string]bool{}
	begins := from.Add(-calmTime)
	disturbed := g.history.contains(host, func(d disturbance) bool {
		if slices.Contains(plannedActions, d.do) || d.at.After(to) {
			return false
		}
		if !d.at.Before(begins) {
			return true
		}
		for do := range inForce {
			if slices.Contains(endActions[do], d.do) {
				delete(inForce, do)
			}
		}
		if _, lasts := endActions[d.do]; lasts {
			inForce[d.do] = true
		}
		return false
	})
	return !disturbed && len(inForce) == 0
}

// InContact reports whether a host was neither frozen nor cut off at any moment from one time to another. Stops, delays and closed
// connections do not matter.
func (g *Group) InContact(host string, from, to time.Time) bool {
	inForce := map[string]bool{}
	lost := g.history.contains(host, func(d disturbance) bool {
		if d.at.After(to) {
			return false
		}
		ended := false
		for do := range inForce {
			if slices.Contains(endActions[do], d.do) {
				delete(inForce, do)
				ended = true
			}
		}
		begins := slices.Contains(contactActions, d.do)
		if begins {
			inForce[d.do] = true
		}
		return (begins || ended) && !d.at.Before(from)
	})
	return !lost && len(inForce) == 0
}
