package setup

import (
	"context"
	"crypto/tls"
	"net"

	"cyclamenford/core"
	"cyclamenford/core/kernel"
	"cyclamenford/io/admin"
	"cyclamenford/io/broker"
	"cyclamenford/io/carry"
	"cyclamenford/io/certs"
	"cyclamenford/io/dial"
	"cyclamenford/io/flow"
	"cyclamenford/io/follow"
	"cyclamenford/io/front"
	"cyclamenford/io/greet"
	"cyclamenford/io/issue"
	"cyclamenford/io/keeper"
	"cyclamenford/io/peer"
	"cyclamenford/io/permit"
	"cyclamenford/io/share"
	"cyclamenford/io/trace"
)

// resolver looks up the dependencies of one service and keeps the first error; later look-ups then do nothing.
type resolver struct {
	kernel *kernel.Registry
	err    error
}

// find returns the registered service with this name, or the zero value once a look-up has failed.
func find[T any](w *resolver, name string) T {
	var zero T
	if w.err != nil {
		return zero
	}
	s, err := kernel.Find[T](w.kernel, name)
	w.err = err
	return s
}

// listener returns the TLS configuration of a listener, or nil for plain text or after an error.
func (w *resolver) listener(f certs.Files) *tls.Config {
	if w.err != nil {
		return nil
	}
	c, err := serverTLS(f)
	w.err = err
	return c
}

// register adds a service to the kernel, or returns the error of an earlier look-up.
func (w *resolver) register(name string, s core.Service, needs ...string) error {
	if w.err != nil {
		return w.err
	}
	return w.kernel.Register(name, s, needs...)
}

func (a *App) addTrace() error {
	t := a.settings.Trace
	return a.kernel.Register(traceService, trace.New(trace.Options{
		Export: t.Export, Target: t.Target, SampleRatio: t.Share, Host: string(a.settings.Host.ID),
	}))
}

func (a *App) addPeers() error {
	w := resolver{kernel: a.kernel}
	server := w.listener(a.settings.Tls.Peers)
	client, err := clientTLS(a.settings.Tls.Peers)
	if err != nil {
		return err
	}
	key := []byte(a.settings.Keys.Cluster)
	if err := w.register(clientService, peer.NewClient(key, client, a.localIP())); err != nil {
		return err
	}
	return w.register(serverService, peer.NewServer(a.settings.Listeners.Peers, key, server, a.log), clientService)
}

func (a *App) addKeeper() error {
	store, contents, err := a.openStore()
	if err != nil || store == nil {
		return err
	}
	w := resolver{kernel: a.kernel}
	client := find[*peer.Client](&w, clientService)
	o := a.keeperOptions()
	o.Trace = find[*trace.Tracer](&w, traceService)
	k, err := keeper.New(o, store, contents, client, a.clock, a.log)
	if err != nil {
		return err
	}
	return w.register(keeperService, k, clientService, traceService)
}

func (a *App) addFollow() error {
	w := resolver{kernel: a.kernel}
	client := find[*peer.Client](&w, clientService)
	t := find[*trace.Tracer](&w, traceService)
	self, err := a.hostRecord()
	if err != nil {
		return err
	}
	f := follow.New(self, follow.Options{Seeds: a.settings.Join, ApplyWithin: a.settings.Keepers.ApplyMs}, client, a.clock, t, a.log)
	return w.register(followService, f, clientService, serverService)
}

func (a *App) addBroker() error {
	w := resolver{kernel: a.kernel}
	f := find[*follow.Follower](&w, followService)
	return w.register(brokerService, broker.New(a.settings.Host.FailureDomain, f, a.clock, a.meter, a.log), followService)
}

// addPermits adds the service that asks for permits and, on a host with a keeper, the one that issues them.
func (a *App) addPermits() error {
	w := resolver{kernel: a.kernel}
	f := find[*follow.Follower](&w, followService)
	b := find[*broker.Broker](&w, brokerService)
	caller := find[*peer.Client](&w, clientService)
	if w.err != nil {
		return w.err
	}
	client := permit.NewClient(a.settings.Host.ID, b, caller, f.LeaderAddress, a.log)
	if err := w.register(permitClientService, client, clientService, followService, brokerService); err != nil {
		return err
	}
	if a.settings.Host.DataFolder == "" {
		return nil
	}
	k := find[*keeper.Keeper](&w, keeperService)
	server := find[*peer.Server](&w, serverService)
	if w.err != nil {
		return w.err
	}
	issuer := permit.NewIssuer(k, a.clock, a.meter, a.log)
	if err := issuer.Register(server); err != nil {
		return err
	}
	return w.register(permitService, issuer, keeperService)
}

func (a *App) addDial() error {
	config, err := clientTLS(a.settings.Tls.EndpointCalls)
	if err != nil {
		return err
	}
	w := resolver{kernel: a.kernel}
	t := find[*trace.Tracer](&w, traceService)
	s := find[*share.Sharer](&w, shareService)
	p := find[*permit.Client](&w, permitClientService)
	f := find[*follow.Follower](&w, followService)
	client := find[*peer.Client](&w, clientService)
	server := find[*peer.Server](&w, serverService)
	if w.err != nil {
		return w.err
	}
	ask := func(ctx context.Context, l core.Life, wait core.Millis) bool {
		permitted, _ := p.Ask(ctx, l, "", 0, wait)
		return permitted
	}
	var endpoints *dial.Client
	direct := net.Dialer{Timeout: carry.DialTimeout, LocalAddr: &net.TCPAddr{IP: a.localIP()}}
	d := carry.NewDialer(carry.Options{
		Host: a.settings.Host.ID, FailureDomain: a.settings.Host.FailureDomain, Direct: direct.DialContext,
		OnIsolated: func() { endpoints.CloseIdle() },
	}, f, client, a.clock, a.meter, a.log)
	endpoints = dial.New(config, d.DialContext, t, s.ApplyState, ask, a.meter, a.log)
	a.carrier = carry.NewCarrier(a.localIP(), d.Isolated, a.meter, a.log)
	server.HandleStreams(a.carrier.Serve)
	return w.register(dialService, endpoints, traceService, shareService, permitClientService)
}

func (a *App) addShare() error {
	w := resolver{kernel: a.kernel}
	f := find[*follow.Follower](&w, followService)
	b := find[*broker.Broker](&w, brokerService)
	client := find[*peer.Client](&w, clientService)
	return w.register(shareService, share.New(a.settings.Host.ID, f, b, client, a.clock, a.meter, a.log), brokerService)
}

func (a *App) addRunner() error {
	w := resolver{kernel: a.kernel}
	f := find[*follow.Follower](&w, followService)
	b := find[*broker.Broker](&w, brokerService)
	client := find[*dial.Client](&w, dialService)
	p := find[*permit.Client](&w, permitClientService)
	t := find[*trace.Tracer](&w, traceService)
	o := flow.Options{
		Host: a.settings.Host.ID, TokenKey: []byte(a.settings.Keys.Cluster),
		ResumeGrace: a.settings.Callers.ResumeGraceMs,
	}
	r := flow.New(o, f, b, client, p, a.clock, a.meter, t, a.log)
	return w.register(runnerService, r, brokerService, dialService, shareService)
}

// addIssuer adds the service that sends orders to endpoints while this host's keeper leads, unless the host has no disk.
func (a *App) addIssuer() error {
	if a.settings.Host.DataFolder == "" {
		return nil
	}
	w := resolver{kernel: a.kernel}
	k := find[*keeper.Keeper](&w, keeperService)
	f := find[*follow.Follower](&w, followService)
	b := find[*broker.Broker](&w, brokerService)
	client := find[*dial.Client](&w, dialService)
	i := issue.New(k, f, b, client, a.clock, a.settings.Keys.Issuer, a.log)
	return w.register(issuerService, i, keeperService, followService, brokerService, dialService)
}

// addServer registers the RPC methods of this host, which must happen before the peer server starts.
func (a *App) addServer() error {
	w := resolver{kernel: a.kernel}
	server := find[*peer.Server](&w, serverService)
	s := find[*share.Sharer](&w, shareService)
	if w.err != nil {
		return w.err
	}
	if err := s.Register(server); err != nil {
		return err
	}
	if a.settings.Host.DataFolder == "" {
		return nil
	}
	k := find[*keeper.Keeper](&w, keeperService)
	if w.err != nil {
		return w.err
	}
	return k.Register(server)
}

func (a *App) addGreet() error {
	w := resolver{kernel: a.kernel}
	config := w.listener(a.settings.Tls.Endpoints)
	s := find[*share.Sharer](&w, shareService)
	g := greet.New(a.settings.Listeners.Endpoints, a.settings.Keys.Endpoints, config, s, a.meter, a.log)
	return w.register(greetService, g, shareService)
}

func (a *App) addAdmin() error {
	w := resolver{kernel: a.kernel}
	config := w.listener(a.settings.Tls.Operators)
	f := find[*follow.Follower](&w, followService)
	b := find[*broker.Broker](&w, brokerService)
	x := admin.New(a.settings.Listeners.Operators, a.settings.Keys.Operators, config, f, b, a.clock, a.log)
	return w.register(adminService, x, followService, brokerService)
}

func (a *App) addCarryWait() error {
	return addCarryWait(a.kernel, a.carrier, a.settings.Host.DataFolder)
}

func (a *App) addFront() error {
	w := resolver{kernel: a.kernel}
	config := w.listener(a.settings.Tls.Callers)
	f := find[*follow.Follower](&w, followService)
	b := find[*broker.Broker](&w, brokerService)
	r := find[*flow.Runner](&w, runnerService)
	t := find[*trace.Tracer](&w, traceService)
	c := a.settings.Callers
	o := front.Options{
		Address: a.settings.Listeners.Callers, Host: a.settings.Host.ID,
		MaxBodyBytes: c.MaxBodyBytes, MaxHeaderBytes: c.MaxHeaderBytes,
		ReadTimeout: c.ReadTimeoutMs, WriteTimeout: c.WriteTimeoutMs, DrainTime: c.DrainMs, Tls: config,
	}
	x := front.New(o, f, b, r, a.clock, a.meter, t, a.log)
	return w.register(frontService, x, runnerService, greetService, adminService)
}
