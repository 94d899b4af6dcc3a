package drill

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"cyclamenford/bench/proxy"
	"cyclamenford/bench/stand"
)

// endLimit is how long a terminated host may take to end.
const endLimit = 40 * time.Second

// action carries out a step; n is the number of the step's host, -1 without one.
type action func(ctx context.Context, x *Drill, s Step, n int) error

// actions is the table of everything that a script can do.
var actions = map[string]action{
	"Kill": func(_ context.Context, x *Drill, _ Step, n int) error {
		x.record.lose(x.processes[n].settings.Listeners.Callers)
		x.processes[n].kill()
		return nil
	},
	"Start": func(_ context.Context, x *Drill, _ Step, n int) error { return x.processes[n].start() },
	"StartAll": func(_ context.Context, x *Drill, _ Step, _ int) error {
		for _, p := range x.processes {
			if !p.running() {
				if err := p.start(); err != nil {
					return err
				}
			}
		}
		return nil
	},
	"KillAll": func(_ context.Context, x *Drill, _ Step, _ int) error {
		for _, p := range x.processes {
			x.record.lose(p.settings.Listeners.Callers)
			p.kill()
		}
		return nil
	},
	"Freeze": func(_ context.Context, x *Drill, _ Step, n int) error { return x.processes[n].signal(syscall.SIGSTOP) },
	"Thaw":   func(_ context.Context, x *Drill, _ Step, n int) error { return x.processes[n].signal(syscall.SIGCONT) },
	"Terminate": func(_ context.Context, x *Drill, _ Step, n int) error {
		if err := x.processes[n].signal(syscall.SIGTERM); err != nil {
			return err
		}
		return x.processes[n].awaitEnd(endLimit)
	},
	"Restart": func(_ context.Context, x *Drill, _ Step, n int) error {
		p := x.processes[n]
		if err := p.signal(syscall.SIGTERM); err != nil {
			return err
		}
		x.background.Go(func() { x.record.fail(p.restart(endLimit)) })
		return nil
	},
	"Tear": func(_ context.Context, x *Drill, _ Step, n int) error { return x.processes[n].tear() },
	"Wipe": func(_ context.Context, x *Drill, _ Step, n int) error { return x.processes[n].wipe() },
	"Isolate": func(_ context.Context, x *Drill, s Step, n int) error {
		x.isolate(string(x.deployment.Hosts[n].ID))
		return nil
	},
	"IsolateOut": func(_ context.Context, x *Drill, _ Step, n int) error {
		x.network.Set(proxy.Link{From: string(x.deployment.Hosts[n].ID)}, proxy.Rule{Hold: true})
		return nil
	},
	"IsolateIn": func(_ context.Context, x *Drill, _ Step, n int) error {
		x.network.Set(proxy.Link{To: string(x.deployment.Hosts[n].ID)}, proxy.Rule{Hold: true})
		return nil
	},
	"Heal": func(_ context.Context, x *Drill, _ Step, n int) error {
		id := string(x.deployment.Hosts[n].ID)
		x.network.Lift(proxy.Link{From: id})
		x.network.Lift(proxy.Link{To: id})
		return nil
	},
	"HealAll": func(_ context.Context, x *Drill, _ Step, _ int) error {
		x.network.LiftAll()
		x.delayAll()
		for _, p := range x.processes {
			if p.running() {
				if err := p.signal(syscall.SIGCONT); err != nil {
					return err
				}
			}
		}
		return nil
	},
	"IsolateDomain": func(_ context.Context, x *Drill, s Step, _ int) error {
		x.splitDomain(s, func(l proxy.Link) { x.network.Set(l, proxy.Rule{Hold: true}) })
		return nil
	},
	"HealDomain": func(_ context.Context, x *Drill, s Step, _ int) error {
		x.splitDomain(s, x.network.Lift)
		return nil
	},
	"Delay": func(_ context.Context, x *Drill, s Step, n int) error {
		id := string(x.deployment.Hosts[n].ID)
		x.network.Set(proxy.Link{From: id}, proxy.Rule{Delay: s.DelayMs.Duration()})
		x.network.Set(proxy.Link{To: id}, proxy.Rule{Delay: s.DelayMs.Duration()})
		return nil
	},
	"CutHost": func(_ context.Context, x *Drill, _ Step, n int) error {
		x.network.Cut(string(x.deployment.Hosts[n].ID), "")
		return nil
	},
	"CutConnections": func(_ context.Context, x *Drill, _ Step, _ int) error {
		x.network.Cut("", "")
		return nil
	},
	"SetFault": func(_ context.Context, x *Drill, s Step, _ int) error {
		server, err := x.stand(s.Endpoint)
		if err != nil {
			return err
		}
		server.SetFault(stand.Fault{Slow: s.Slow, Stall: s.Stall, CutAfter: s.CutAfter, LoseAnswers: s.LoseAnswers, Refuse: s.Refuse})
		return nil
	},
	"CrashEndpoint": func(_ context.Context, x *Drill, s Step, _ int) error {
		server, err := x.stand(s.Endpoint)
		if err != nil {
			return err
		}
		server.Crash()
		return nil
	},
	"StartEndpoint": func(ctx context.Context, x *Drill, s Step, _ int) error {
		return x.startStand(context.WithoutCancel(ctx), x.options[idOf(s.Endpoint)].ID)
	},
	"Leave": func(_ context.Context, x *Drill, s Step, _ int) error {
		server, err := x.stand(s.Endpoint)
		if err != nil {
			return err
		}
		server.Leave()
		return nil
	},
	"Drain": func(ctx context.Context, x *Drill, s Step, _ int) error {
		_, err := x.operators.Drain(ctx, idOf(s.Endpoint), true)
		return err
	},
	"Mark": func(_ context.Context, x *Drill, s Step, _ int) error {
		server, err := x.stand(s.Endpoint)
		if err != nil {
			return err
		}
		x.record.mu.Lock()
		defer x.record.mu.Unlock()
		x.marks[server.ID()] = server.Started()
		return nil
	},
}

// needsProcess tells of the steps for one host whether its process must run or must have ended.
var needsProcess = map[string]bool{
	"Kill": true, "Freeze": true, "Thaw": true, "Restart": true, "Terminate": true,
	"Start": false, "Wipe": false, "Tear": false,
}

// do carries out one step.
func (x *Drill) do(ctx context.Context, s Step) error {
	a, ok := actions[s.Do]
	if !ok {
		return fmt.Errorf("%q: %w", s.Do, errNoStep)
	}
	n := -1
	if s.Host != "" {
		number, err := x.resolve(ctx, s.Host)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Do, err)
		}
		n = number
	}
	if running, matters := needsProcess[s.Do]; matters && x.script.Overlapping && running != x.processes[n].running() {
		return nil
	}
	if err := a(ctx, x, s, n); err != nil {
		return fmt.Errorf("%s %s%s: %w", s.Do, s.Host, s.Endpoint, err)
	}
	return nil
}

// resolve returns a host's number; "leader" is asked for once and then stands for that host.
func (x *Drill) resolve(ctx context.Context, host string) (int, error) {
	if host != "leader" {
		return x.hostNumber(host)
	}
	if x.record.leader >= 0 {
		return x.record.leader, nil
	}
	n, err := x.leader(ctx)
	if err != nil {
		return 0, err
	}
	x.record.leader = n
	return n, nil
}

// isolate holds back all data from and to a host.
func (x *Drill) isolate(party string) {
	x.network.Set(proxy.Link{From: party}, proxy.Rule{Hold: true})
	x.network.Set(proxy.Link{To: party}, proxy.Rule{Hold: true})
}

// splitDomain visits the links between a failure domain's hosts and endpoints and everyone else, both ways.
func (x *Drill) splitDomain(s Step, visit func(proxy.Link)) {
	inside, outside := x.sides(s)
	for _, a := range inside {
		for _, b := range outside {
			visit(proxy.Link{From: a, To: b})
			visit(proxy.Link{From: b, To: a})
		}
	}
}

func (x *Drill) sides(s Step) (inside, outside []string) {
	put := func(name string, in bool) {
		if in {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, h := range x.deployment.Hosts {
		put(string(h.ID), h.FailureDomain == s.Domain)
	}
	for id, o := range x.options {
		put(string(id), o.FailureDomain == s.Domain)
	}
	return inside, outside
}
