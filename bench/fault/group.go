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

// exitTimeout is the time within which a host must exit after SIGTERM.
const exitTimeout = 40 * time.Second

// ErrUnknown means that the group has no host of the given name.
var ErrUnknown = errors.New("unknown host")

// Party identifies a host or an endpoint on the network, and its failure domain.
type Party struct {
	Name   string
	Domain core.FailureDomain
}

// Host is a host of a group with the process that runs it.
type Host struct {
	Party
	*Process
}

// Group holds the hosts of a deployment and the proxy network between all hosts and endpoints.
type Group struct {
	Hosts   []Host
	Network *proxy.Network
	// OneWay is the one-way delay of every link in the absence of faults.
	OneWay time.Duration
	// Endpoints returns the endpoints. They are isolated together with the hosts of their failure domain.
	Endpoints func() []Party
	// SkipInapplicable skips steps whose host isn't in the state that they need: those for a running host if an earlier step has
	// ended its process, and those for a stopped host if its process runs.
	SkipInapplicable bool
	// OnKill and OnStop, if set, are called with the index of each host before it is killed or sent SIGTERM. OnFail is called with
	// the error if a host doesn't exit or doesn't start again during a restart.
	OnKill func(n int)
	OnStop func(n int)
	OnFail func(error)

	// restarts tracks the restarts that run in the background.
	restarts sync.WaitGroup
	history  history
}

// action executes a step; n is the index of the step's host in Group.Hosts, or -1 if the step names none.
type action func(g *Group, s Step, n int) error

// requiresRunning maps a step for a single host to whether its process must be running (true) or stopped (false). Steps
// that aren't listed apply in both states.
var requiresRunning = map[string]bool{
	"Kill": true, "Freeze": true, "Thaw": true, "Restart": true, "Terminate": true,
	"Start": false, "Wipe": false, "Tear": false,
}

// actions maps the name in Step.Do to the function that executes it, for steps that affect hosts or the network.
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
		if err := g.stop(n); err != nil {
			return err
		}
		return g.Hosts[n].AwaitExit(exitTimeout)
	},
	"Restart": func(g *Group, _ Step, n int) error {
		if err := g.stop(n); err != nil {
			return err
		}
		g.restarts.Go(func() {
			if err := g.Hosts[n].restart(exitTimeout); err != nil {
				g.OnFail(err)
			}
		})
		return nil
	},
	"Tear": func(g *Group, _ Step, n int) error { return g.Hosts[n].appendPartialRecord() },
	"Wipe": func(g *Group, _ Step, n int) error { return g.Hosts[n].removeData() },
	"Isolate": func(g *Group, _ Step, n int) error {
		g.Network.SetRules(proxy.Rule{Hold: true}, g.linksOf(n)...)
		return nil
	},
	"IsolateOut": func(g *Group, _ Step, n int) error {
		g.Network.SetRules(proxy.Rule{Hold: true}, proxy.Link{From: g.Hosts[n].Name})
		return nil
	},
	"IsolateIn": func(g *Group, _ Step, n int) error {
		g.Network.SetRules(proxy.Rule{Hold: true}, proxy.Link{To: g.Hosts[n].Name})
		return nil
	},
	"Delay": func(g *Group, s Step, n int) error {
		g.Network.SetRules(proxy.Rule{Delay: s.DelayMs.Duration()}, g.linksOf(n)...)
		return nil
	},
	"Heal": func(g *Group, _ Step, n int) error {
		g.Network.RemoveRule(g.linksOf(n)...)
		return nil
	},
	"HealAll": func(g *Group, _ Step, _ int) error {
		g.Network.RemoveAllRules()
		g.SetOneWay()
		for _, h := range g.Hosts {
			if err := h.Signal(syscall.SIGCONT); err != nil && !errors.Is(err, os.ErrProcessDone) {
				return err
			}
		}
		return nil
	},
	"IsolateDomain": func(g *Group, s Step, _ int) error {
		g.Network.SetRules(proxy.Rule{Hold: true}, g.boundaryLinks(s.Domain)...)
		return nil
	},
	"HealDomain": func(g *Group, s Step, _ int) error {
		g.Network.RemoveRule(g.boundaryLinks(s.Domain)...)
		return nil
	},
	"CutHost": func(g *Group, _ Step, n int) error {
		g.Network.CloseConnections(g.Hosts[n].Name, "")
		return nil
	},
	"CutConnections": func(g *Group, _ Step, _ int) error {
		g.Network.CloseConnections("", "")
		return nil
	},
}

// SetOneWay sets the delay of every link to OneWay.
func (g *Group) SetOneWay() {
	g.Network.SetRules(proxy.Rule{Delay: g.OneWay}, proxy.Link{})
}

// Do executes a step that affects hosts or the network. It returns false for any other step.
func (g *Group) Do(s Step) (bool, error) {
	a, ok := actions[s.Do]
	if !ok {
		return false, nil
	}
	n := -1
	if s.Host != "" {
		number, err := g.IndexOf(s.Host)
		if err != nil {
			return true, fmt.Errorf("%s: %w", s.Do, err)
		}
		n = number
	}
	if runs, matters := requiresRunning[s.Do]; matters && g.SkipInapplicable && runs != g.Hosts[n].Running() {
		return true, nil
	}
	g.history.record(s, g.Hosts)
	err := a(g, s, n)
	if g.SkipInapplicable && errors.Is(err, os.ErrProcessDone) {
		// The process exited between the check above and the signal, for instance because of a restart in progress.
		err = nil
	}
	if err != nil {
		return true, fmt.Errorf("%s %s: %w", s.Do, s.Host, err)
	}
	return true, nil
}

// IndexOf returns the index of a host in Hosts, or ErrUnknown.
func (g *Group) IndexOf(name string) (int, error) {
	for n, h := range g.Hosts {
		if h.Name == name {
			return n, nil
		}
	}
	return 0, fmt.Errorf("%q: %w", name, ErrUnknown)
}

// Start starts every host for the first time.
func (g *Group) Start() error {
	_, err := g.Do(Step{Do: "StartAll"})
	// A first start makes no host forget what it has been told.
	g.history.clear()
	return err
}

// AwaitRestarts waits for the restarts in progress and returns an error for each host whose process exited without having been
// sent SIGTERM or SIGKILL.
func (g *Group) AwaitRestarts() []error {
	g.restarts.Wait()
	var exits []error
	for _, h := range g.Hosts {
		if err := h.UnexpectedExit(); err != nil {
			exits = append(exits, err)
		}
	}
	return exits
}

// Close waits for the restarts in progress, kills every running host and closes the network.
func (g *Group) Close() error {
	g.restarts.Wait()
	var errs []error
	for _, h := range g.Hosts {
		errs = append(errs, h.Close())
	}
	g.Network.Close()
	return errors.Join(errs...)
}

// kill calls OnKill and then kills a host.
func (g *Group) kill(n int) {
	if g.OnKill != nil {
		g.OnKill(n)
	}
	g.Hosts[n].Kill()
}

// stop calls OnStop and then sends a host SIGTERM.
func (g *Group) stop(n int) error {
	if g.OnStop != nil {
		g.OnStop(n)
	}
	return g.Hosts[n].Signal(syscall.SIGTERM)
}

// linksOf returns the links from and to a host.
func (g *Group) linksOf(n int) []proxy.Link {
	return []proxy.Link{{From: g.Hosts[n].Name}, {To: g.Hosts[n].Name}}
}

// boundaryLinks returns the links between the parties inside a failure domain and those outside, in both directions.
func (g *Group) boundaryLinks(domain core.FailureDomain) []proxy.Link {
	var links []proxy.Link
	parties := g.Endpoints()
	for _, h := range g.Hosts {
		parties = append(parties, h.Party)
	}
	for _, a := range parties {
		for _, b := range parties {
			if a.Domain == domain && b.Domain != domain {
				links = append(links, proxy.Link{From: a.Name, To: b.Name}, proxy.Link{From: b.Name, To: a.Name})
			}
		}
	}
	return links
}
