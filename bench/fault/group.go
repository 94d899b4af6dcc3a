package fault

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"cyclamenford/bench/proxy"
	"cyclamenford/core"
)

// endLimit is how long a terminated host may take to end.
const endLimit = 40 * time.Second

// ErrUnknown means that no such host is known.
var ErrUnknown = errors.New("unknown host")

// Party is a host or an endpoint, and where it stands.
type Party struct {
	Name   string
	Domain core.FailureDomain
}

// Host is one host of a group.
type Host struct {
	Party
	*Process
}

// Group is the hosts of a deployment and the network between all parties.
type Group struct {
	Hosts   []Host
	Network *proxy.Network
	// OneWay is the usual time that data takes on every link.
	OneWay time.Duration
	// Others returns the endpoints, which are cut off along with their failure domain.
	Others func() []Party
	// Overlapping leaves out the steps that need a running host where an earlier step has ended it, and the reverse.
	Overlapping bool
	// OnKill is told of each host that is killed, and OnFail of a host that does not end or restart.
	OnKill func(n int)
	OnFail func(error)

	// restarts are those that still wait for a process to end.
	restarts sync.WaitGroup
}

// action carries out a step; n is the number of the step's host, -1 without one.
type action func(g *Group, s Step, n int) error

// needsProcess tells of the steps for one host whether its process must run or must have ended.
var needsProcess = map[string]bool{
	"Kill": true, "Freeze": true, "Thaw": true, "Restart": true, "Terminate": true,
	"Start": false, "Wipe": false, "Tear": false,
}

// actions is the table of what can be done to hosts and the network.
var actions = map[string]action{
	"Kill": func(g *Group, _ Step, n int) error {
		g.kill(n)
		return nil
	},
	"Start": func(g *Group, _ Step, n int) error { return g.Hosts[n].Start() },
	"StartAll": func(g *Group, _ Step, _ int) error {
		for _, h := range g.Hosts {
			if err := h.Start(); err != nil {
				return err
			}
		}
		return nil
	},
	"KillAll": func(g *Group, _ Step, _ int) error {
		for n := range g.Hosts {
			g.kill(n)
		}
		return nil
	},
	"Freeze": func(g *Group, _ Step, n int) error { return g.Hosts[n].Signal(syscall.SIGSTOP) },
	"Thaw":   func(g *Group, _ Step, n int) error { return g.Hosts[n].Signal(syscall.SIGCONT) },
	"Terminate": func(g *Group, _ Step, n int) error {
		if err := g.Hosts[n].Signal(syscall.SIGTERM); err != nil {
			return err
		}
		return g.Hosts[n].AwaitEnd(endLimit)
	},
	"Restart": func(g *Group, _ Step, n int) error {
		h := g.Hosts[n]
		if err := h.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		g.restarts.Go(func() {
			if err := h.restart(endLimit); err != nil {
				g.OnFail(err)
			}
		})
		return nil
	},
	"Tear": func(g *Group, _ Step, n int) error { return g.Hosts[n].tear() },
	"Wipe": func(g *Group, _ Step, n int) error { return g.Hosts[n].wipe() },
	"Isolate": func(g *Group, _ Step, n int) error {
		g.Network.Set(proxy.Link{From: g.Hosts[n].Name}, proxy.Rule{Hold: true})
		g.Network.Set(proxy.Link{To: g.Hosts[n].Name}, proxy.Rule{Hold: true})
		return nil
	},
	"IsolateOut": func(g *Group, _ Step, n int) error {
		g.Network.Set(proxy.Link{From: g.Hosts[n].Name}, proxy.Rule{Hold: true})
		return nil
	},
	"IsolateIn": func(g *Group, _ Step, n int) error {
		g.Network.Set(proxy.Link{To: g.Hosts[n].Name}, proxy.Rule{Hold: true})
		return nil
	},
	"Delay": func(g *Group, s Step, n int) error {
		g.Network.Set(proxy.Link{From: g.Hosts[n].Name}, proxy.Rule{Delay: s.DelayMs.Duration()})
		g.Network.Set(proxy.Link{To: g.Hosts[n].Name}, proxy.Rule{Delay: s.DelayMs.Duration()})
		return nil
	},
	"Heal": func(g *Group, _ Step, n int) error {
		g.Network.Lift(proxy.Link{From: g.Hosts[n].Name})
		g.Network.Lift(proxy.Link{To: g.Hosts[n].Name})
		return nil
	},
	"HealAll": func(g *Group, _ Step, _ int) error {
		g.Network.LiftAll()
		g.SetOneWay()
		for _, h := range g.Hosts {
			if err := h.Signal(syscall.SIGCONT); err != nil && !errors.Is(err, os.ErrProcessDone) {
				return err
			}
		}
		return nil
	},
	"IsolateDomain": func(g *Group, s Step, _ int) error {
		g.splitDomain(s.Domain, func(l proxy.Link) { g.Network.Set(l, proxy.Rule{Hold: true}) })
		return nil
	},
	"HealDomain": func(g *Group, s Step, _ int) error {
		g.splitDomain(s.Domain, g.Network.Lift)
		return nil
	},
	"CutHost": func(g *Group, _ Step, n int) error {
		g.Network.Cut(g.Hosts[n].Name, "")
		return nil
	},
	"CutConnections": func(g *Group, _ Step, _ int) error {
		g.Network.Cut("", "")
		return nil
	},
}

// SetOneWay gives every link the deployment's usual delay.
func (g *Group) SetOneWay() {
	g.Network.Set(proxy.Link{}, proxy.Rule{Delay: g.OneWay})
}

// Do carries out a step that concerns hosts or the network; it reports false for any other step.
func (g *Group) Do(s Step) (bool, error) {
	a, ok := actions[s.Do]
	if !ok {
		return false, nil
	}
	n := -1
	if s.Host != "" {
		number, err := g.Number(s.Host)
		if err != nil {
			return true, fmt.Errorf("%s: %w", s.Do, err)
		}
		n = number
	}
	if runs, matters := needsProcess[s.Do]; matters && g.Overlapping && runs != g.Hosts[n].Running() {
		return true, nil
	}
	err := a(g, s, n)
	if g.Overlapping && errors.Is(err, os.ErrProcessDone) {
		// The process ended between the look at it and the signal, as a restart makes it do.
		err = nil
	}
	if err != nil {
		return true, fmt.Errorf("%s %s: %w", s.Do, s.Host, err)
	}
	return true, nil
}

// Number returns the place of a host in Hosts, or ErrUnknown.
func (g *Group) Number(name string) (int, error) {
	for n, h := range g.Hosts {
		if h.Name == name {
			return n, nil
		}
	}
	return 0, fmt.Errorf("%q: %w", name, ErrUnknown)
}

// Start starts every host.
func (g *Group) Start() error {
	_, err := g.Do(Step{Do: "StartAll"})
	return err
}

// Settle waits for the restarts in progress and returns how hosts ended that nothing had told to.
func (g *Group) Settle() []error {
	g.restarts.Wait()
	var ends []error
	for _, h := range g.Hosts {
		if err := h.Unasked(); err != nil {
			ends = append(ends, err)
		}
	}
	return ends
}

// Close kills every host that runs and ends the network.
func (g *Group) Close() error {
	g.restarts.Wait()
	var errs []error
	for _, h := range g.Hosts {
		errs = append(errs, h.Close())
	}
	g.Network.Close()
	return errors.Join(errs...)
}

func (g *Group) kill(n int) {
	if g.OnKill != nil {
		g.OnKill(n)
	}
	g.Hosts[n].Kill()
}

// splitDomain visits the links between a failure domain and everyone else, both ways.
func (g *Group) splitDomain(domain core.FailureDomain, visit func(proxy.Link)) {
	parties := g.Others()
	for _, h := range g.Hosts {
		parties = append(parties, h.Party)
	}
	for _, a := range parties {
		for _, b := range parties {
			if a.Domain == domain && b.Domain != domain {
				visit(proxy.Link{From: a.Name, To: b.Name})
				visit(proxy.Link{From: b.Name, To: a.Name})
			}
		}
	}
}
