package drill

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cyclamenford/bench/fault"
	"cyclamenford/bench/proxy"
	"cyclamenford/bench/site"
	"cyclamenford/bench/stand"
	"cyclamenford/bench/watch"
	"cyclamenford/core"
	"cyclamenford/io/caller"
	"cyclamenford/io/oper"
	"cyclamenford/setup"
)

const (
	firstHostByte = 11
	pollEvery     = 30 * time.Millisecond
	// endpointsParty is the name under which all endpoints call hosts.
	endpointsParty = "endpoints"
)

// Drill is a running deployment of real processes.
type Drill struct {
	script     Script
	deployment site.Deployment
	group      *fault.Group
	// settings are those of the group's hosts, in the same order.
	settings []setup.Settings
	// mu guards the endpoints' lives and marks.
	mu     sync.Mutex
	stands []*stand.Server
	gone   []*stand.Server
	marks  map[*stand.Server]time.Time
	// firstLed is the host that led when a step first asked for the leader.
	firstLed  string
	operators *oper.Client
	callers   *caller.Client
	record    *watch.Record
	options   map[core.EndpointID]stand.Options
}

// New prepares the processes of a script; binary is the built program and folder holds files and logs.
func New(s Script, binary, folder string) (*Drill, error) {
	d, ok := site.ByName(s.Deployment)
	if !ok {
		return nil, fmt.Errorf("unknown deployment %q", s.Deployment)
	}
	if s.Hosts > 0 {
		d = d.WithHosts(s.Hosts)
	}
	x := &Drill{
		script: s, deployment: d, callers: caller.New(nil), record: watch.New(),
		options: map[core.EndpointID]stand.Options{}, marks: map[*stand.Server]time.Time{},
	}
	x.group = &fault.Group{
		Network: proxy.New(x.partyOf), OneWay: time.Duration(d.OneWayDelayMs * float64(time.Millisecond)),
		Endpoints: x.endpointParties, SkipInapplicable: s.Overlapping,
		OnKill: func(n int) { x.record.HostKilled(x.settings[n].Listeners.Callers) }, OnFail: x.record.HostFailed,
	}
	if err := x.prepareHosts(binary, folder); err != nil {
		return nil, errors.Join(err, x.group.Close())
	}
	return x, nil
}

func (x *Drill) endpointParties() []fault.Party {
	var list []fault.Party
	for id, o := range x.options {
		list = append(list, fault.Party{Name: string(id), Domain: o.FailureDomain})
	}
	return list
}

func hostIP(n int) string { return fmt.Sprintf("127.0.0.%d", firstHostByte+n) }

func (x *Drill) partyOf(ip string) string {
	for n, h := range x.deployment.Hosts {
		if hostIP(n) == ip {
			return string(h.ID)
		}
	}
	return endpointsParty
}

func (x *Drill) prepareHosts(binary, folder string) error {
	names := map[string]string{}
	for n, h := range x.deployment.Hosts {
		names[hostIP(n)] = string(h.ID)
	}
	child, err := proxy.StartChild(names, binary, "proxy")
	if err != nil {
		return err
	}
	x.group.Network.UseChild(child)
	x.group.SetOneWay()
	var all []site.Addresses
	for n, h := range x.deployment.Hosts {
		a, err := site.FreeAddresses(hostIP(n))
		if err != nil {
			return err
		}
		advertised, err := x.group.Network.ListenApart(string(h.ID), a.Peers)
		if err != nil {
			return err
		}
		a.PeersAdvertised = advertised
		all = append(all, a)
	}
	var operators []string
	for n := range x.deployment.Hosts {
		s := x.deployment.HostSettings(n, all, folder)
		s.Callers.DrainMs = 300
		s.Log.Level = "Info"
		if err := x.addHost(binary, folder, s); err != nil {
			return err
		}
		operators = append(operators, s.Listeners.Operators)
	}
	x.operators = oper.New(operators, site.OperatorKey, nil)
	return nil
}

// addHost writes a host's settings file and prepares its process.
func (x *Drill) addHost(binary, folder string, s setup.Settings) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	name := string(s.Host.ID)
	file := filepath.Join(folder, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	p, err := fault.NewProcess(fault.Program{
		Name: name, Binary: binary, Args: []string{"serve", "--Settings", file}, Folder: folder, Data: s.Host.DataFolder,
	})
	if err != nil {
		return err
	}
	party := fault.Party{Name: name, Domain: s.Host.FailureDomain}
	x.group.Hosts = append(x.group.Hosts, fault.Host{Party: party, Process: p})
	x.settings = append(x.settings, s)
	return nil
}

// Start starts hosts and endpoints and sets the deployment's tree.
func (x *Drill) Start(ctx context.Context) error {
	if err := x.group.Start(); err != nil {
		return err
	}
	if err := x.awaitReady(ctx); err != nil {
		return err
	}
	docs, order, err := x.deployment.SettingsDocs()
	if err != nil {
		return err
	}
	revision, err := x.operators.Import(ctx, docs, order)
	if err != nil {
		return err
	}
	if err := x.operators.WaitForRevision(ctx, revision); err != nil {
		return err
	}
	return x.startStands(ctx)
}

func (x *Drill) startStands(ctx context.Context) error {
	var announce []string
	for _, s := range x.settings {
		address, err := x.group.Network.Listen(string(s.Host.ID), s.Listeners.Endpoints)
		if err != nil {
			return err
		}
		announce = append(announce, address)
	}
	for _, o := range x.deployment.StandInOptions(announce) {
		x.options[o.ID] = o
		if err := x.startStand(ctx, o.ID); err != nil {
			return err
		}
	}
	return x.awaitEndpoints(ctx)
}

// startStand starts an endpoint, or a new life of one, and ends the former life if it still runs.
func (x *Drill) startStand(ctx context.Context, id core.EndpointID) error {
	o := x.options[id]
	var server *stand.Server
	o.Advertise = func(address string) string {
		proxied, err := x.group.Network.Listen(string(id), address)
		if err != nil {
			return address
		}
		return proxied
	}
	o.Senders = x.group
	o.OnCrash = func() {
		x.record.Crashed(id)
		server.Crash()
		time.AfterFunc(time.Second, func() { _ = x.startStand(context.Background(), id) })
	}
	server = stand.New(o)
	if err := server.Start(ctx); err != nil {
		return fmt.Errorf("start endpoint %s: %w", id, err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, old := range x.stands {
		if old.ID() == id {
			old.Crash()
			x.gone = append(x.gone, old)
			x.stands[i] = server
			return nil
		}
	}
	x.stands = append(x.stands, server)
	return nil
}

func (x *Drill) stand(id string) (*stand.Server, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.stands {
		if string(s.ID()) == id {
			return s, nil
		}
	}
	return nil, fmt.Errorf("unknown endpoint %q", id)
}

// allStands returns every life of every endpoint.
func (x *Drill) allStands() []*stand.Server {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append(append([]*stand.Server(nil), x.stands...), x.gone...)
}

// awaitReady waits until every running host reports ready.
func (x *Drill) awaitReady(ctx context.Context) error {
	return poll(ctx, "hosts to be ready", func() bool {
		for n, h := range x.group.Hosts {
			if h.Running() && !ready(ctx, x.settings[n]) {
				return false
			}
		}
		return true
	})
}

func ready(ctx context.Context, s setup.Settings) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Listeners.Callers+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (x *Drill) awaitEndpoints(ctx context.Context) error {
	return poll(ctx, "endpoints to be known", func() bool {
		for n, h := range x.group.Hosts {
			if !h.Running() {
				continue
			}
			var list []struct{ ID string }
			c := oper.New([]string{x.settings[n].Listeners.Operators}, site.OperatorKey, nil)
			if c.Get(ctx, "/v1/endpoints", &list) != nil || len(list) < len(x.options) {
				return false
			}
		}
		return true
	})
}

// Close ends everything.
func (x *Drill) Close() error {
	for _, s := range x.allStands() {
		s.Crash()
	}
	return x.group.Close()
}

// callerHosts returns the callers' listeners, beginning with the n-th host's.
func (x *Drill) callerHosts(n int) []string {
	var list []string
	for i := range x.settings {
		list = append(list, x.settings[(n+i)%len(x.settings)].Listeners.Callers)
	}
	return list
}

// leader returns the host that leads the keepers.
func (x *Drill) leader(ctx context.Context) (string, error) {
	var s struct{ Leader string }
	if err := x.operators.Get(ctx, "/v1/status", &s); err != nil {
		return "", err
	}
	id, _, _ := strings.Cut(s.Leader, "/")
	return id, nil
}

func poll(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
	return nil
}

var errNoStep = errors.New("unknown action")
