package setup

import (
	"cyclamenford/core/kernel"
	"cyclamenford/io/admin"
	"cyclamenford/io/desk"
	"cyclamenford/io/dial"
	"cyclamenford/io/flow"
	"cyclamenford/io/follow"
	"cyclamenford/io/front"
	"cyclamenford/io/greet"
	"cyclamenford/io/keeper"
	"cyclamenford/io/peer"
	"cyclamenford/io/share"
	"cyclamenford/io/trace"
)

func (a *App) addTrace() error {
	t := a.settings.Trace
	return a.kernel.Register(traceService, trace.New(trace.Options{
		Export: t.Export, Target: t.Target, Share: t.Share, Host: string(a.settings.Host.ID),
	}))
}

func (a *App) addPeers() error {
	server, err := serverTLS(a.settings.Tls.Peers)
	if err != nil {
		return err
	}
	client, err := clientTLS(a.settings.Tls.Peers)
	if err != nil {
		return err
	}
	key := []byte(a.settings.Keys.Cluster)
	if err := a.kernel.Register(clientService, peer.NewClient(key, client)); err != nil {
		return err
	}
	return a.kernel.Register(serverService, peer.NewServer(a.settings.Listeners.Peers, key, server, a.log), clientService)
}

func (a *App) addKeeper() error {
	store, held, err := a.openStore()
	if err != nil || store == nil {
		return err
	}
	client, err := kernel.Find[*peer.Client](a.kernel, clientService)
	if err != nil {
		return err
	}
	k, err := keeper.New(a.keeperOptions(), store, held, client, a.clock, a.log)
	if err != nil {
		return err
	}
	return a.kernel.Register(keeperService, k, clientService)
}

func (a *App) addFollow() error {
	client, err := kernel.Find[*peer.Client](a.kernel, clientService)
	if err != nil {
		return err
	}
	self, err := a.self()
	if err != nil {
		return err
	}
	f := follow.New(self, a.settings.Join, client, a.clock, a.log)
	return a.kernel.Register(followService, f, clientService, serverService)
}

func (a *App) addDesk() error {
	f, err := kernel.Find[*follow.Follower](a.kernel, followService)
	if err != nil {
		return err
	}
	return a.kernel.Register(deskService, desk.New(a.settings.Host.FailureDomain, f, a.clock, a.meter, a.log), followService)
}

func (a *App) addDial() error {
	config, err := clientTLS(a.settings.Tls.EndpointCalls)
	if err != nil {
		return err
	}
	t, err := kernel.Find[*trace.Service](a.kernel, traceService)
	if err != nil {
		return err
	}
	return a.kernel.Register(dialService, dial.New(config, t), traceService)
}

func (a *App) addShare() error {
	f, err := kernel.Find[*follow.Follower](a.kernel, followService)
	if err != nil {
		return err
	}
	d, err := a.Desk()
	if err != nil {
		return err
	}
	client, err := kernel.Find[*peer.Client](a.kernel, clientService)
	if err != nil {
		return err
	}
	s := share.New(a.settings.Host.ID, f, d, client, a.clock, a.log)
	return a.kernel.Register(shareService, s, deskService)
}

func (a *App) addRunner() error {
	f, err := kernel.Find[*follow.Follower](a.kernel, followService)
	if err != nil {
		return err
	}
	d, err := a.Desk()
	if err != nil {
		return err
	}
	client, err := kernel.Find[*dial.Client](a.kernel, dialService)
	if err != nil {
		return err
	}
	t, err := kernel.Find[*trace.Service](a.kernel, traceService)
	if err != nil {
		return err
	}
	o := flow.Options{
		Host: a.settings.Host.ID, TokenKey: []byte(a.settings.Keys.Cluster),
		ResumeGrace: a.settings.Callers.ResumeGraceMs,
	}
	r := flow.New(o, f, d, client, a.clock, a.meter, t, a.log)
	return a.kernel.Register(runnerService, r, deskService, dialService, shareService)
}

func (a *App) addIssuer() error {
	return nil
}

// addServer registers the calls that this host answers, before the server starts.
func (a *App) addServer() error {
	server, err := kernel.Find[*peer.Server](a.kernel, serverService)
	if err != nil {
		return err
	}
	s, err := kernel.Find[*share.Sharer](a.kernel, shareService)
	if err != nil {
		return err
	}
	if err := s.Register(server); err != nil {
		return err
	}
	if a.settings.Host.DataFolder == "" {
		return nil
	}
	k, err := kernel.Find[*keeper.Keeper](a.kernel, keeperService)
	if err != nil {
		return err
	}
	return k.Register(server)
}

func (a *App) addGreet() error {
	config, err := serverTLS(a.settings.Tls.Endpoints)
	if err != nil {
		return err
	}
	s, err := kernel.Find[*share.Sharer](a.kernel, shareService)
	if err != nil {
		return err
	}
	g := greet.New(a.settings.Listeners.Endpoints, a.settings.Keys.Endpoints, config, s, a.meter, a.log)
	return a.kernel.Register(greetService, g, shareService)
}

func (a *App) addAdmin() error {
	config, err := serverTLS(a.settings.Tls.Operators)
	if err != nil {
		return err
	}
	f, err := kernel.Find[*follow.Follower](a.kernel, followService)
	if err != nil {
		return err
	}
	d, err := a.Desk()
	if err != nil {
		return err
	}
	x := admin.New(a.settings.Listeners.Operators, a.settings.Keys.Operators, config, f, d, a.log)
	return a.kernel.Register(adminService, x, followService, deskService)
}

func (a *App) addFront() error {
	config, err := serverTLS(a.settings.Tls.Callers)
	if err != nil {
		return err
	}
	f, err := kernel.Find[*follow.Follower](a.kernel, followService)
	if err != nil {
		return err
	}
	d, err := a.Desk()
	if err != nil {
		return err
	}
	r, err := kernel.Find[*flow.Runner](a.kernel, runnerService)
	if err != nil {
		return err
	}
	t, err := kernel.Find[*trace.Service](a.kernel, traceService)
	if err != nil {
		return err
	}
	c := a.settings.Callers
	o := front.Options{
		Address: a.settings.Listeners.Callers, Host: a.settings.Host.ID,
		MaxBodyBytes: c.MaxBodyBytes, MaxHeaderBytes: c.MaxHeaderBytes,
		ReadTimeout: c.ReadTimeoutMs, WriteTimeout: c.WriteTimeoutMs, DrainTime: c.DrainMs, Tls: config,
	}
	x := front.New(o, f, d, r, a.clock, a.meter, t, a.log)
	return a.kernel.Register(frontService, x, runnerService, greetService, adminService)
}
