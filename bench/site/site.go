package site

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"cyclamenford/bench/stand"
	"cyclamenford/core"
	"cyclamenford/io/caller"
	"cyclamenford/io/oper"
	"cyclamenford/setup"
)

const readyPoll = 20 * time.Millisecond

// Site is a deployment that runs inside this process.
type Site struct {
	Deployment Deployment
	Addresses  []Addresses
	Hosts      []*setup.App
	Stands     []*stand.Server
	Callers    *caller.Client
	Operators  *oper.Client
	folder     string
	log        *slog.Logger
	tune       func(*setup.Settings)
}

// New picks addresses and a temporary data folder; tune may change each host's settings.
func New(d Deployment, log *slog.Logger, tune func(*setup.Settings)) (*Site, error) {
	folder, err := os.MkdirTemp("", "cyclamenford-")
	if err != nil {
		return nil, fmt.Errorf("make data folder: %w", err)
	}
	s := &Site{Deployment: d, folder: folder, log: log, tune: tune, Callers: caller.New(nil)}
	var operators []string
	for range d.Hosts {
		a, err := FreeAddresses("127.0.0.1")
		if err != nil {
			return nil, err
		}
		s.Addresses = append(s.Addresses, a)
		operators = append(operators, a.Operators)
	}
	s.Operators = oper.New(operators, OperatorKey, nil)
	s.Hosts = make([]*setup.App, len(d.Hosts))
	return s, nil
}

// StartHosts starts every host.
func (s *Site) StartHosts(ctx context.Context) error {
	for i := range s.Hosts {
		if err := s.StartHost(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StartHost starts or restarts the n-th host.
func (s *Site) StartHost(ctx context.Context, n int) error {
	settings := s.Deployment.HostSettings(n, s.Addresses, s.folder)
	if s.tune != nil {
		s.tune(&settings)
	}
	if err := settings.Check(); err != nil {
		return fmt.Errorf("settings of %s: %w", settings.Host.ID, err)
	}
	app, err := setup.NewApp(settings, s.log)
	if err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	s.Hosts[n] = app
	return nil
}

// KillHost ends the n-th host without grace.
func (s *Site) KillHost(n int) {
	_ = s.Hosts[n].Kill()
	s.Hosts[n] = nil
}

// AwaitReady waits until every running host holds its serving lease.
func (s *Site) AwaitReady(ctx context.Context) error {
	return await(ctx, "hosts to be ready", func() bool {
		for _, h := range s.Hosts {
			if h != nil && !h.Ready() {
				return false
			}
		}
		return true
	})
}

// ImportTree sets the deployment's settings and waits until they are in force everywhere.
func (s *Site) ImportTree(ctx context.Context) (uint64, error) {
	docs, order, err := s.Deployment.Docs()
	if err != nil {
		return 0, err
	}
	revision, err := s.Operators.Import(ctx, docs, order)
	if err != nil {
		return 0, err
	}
	return revision, s.Operators.Wait(ctx, revision)
}

// StartStands starts every stand-in endpoint.
func (s *Site) StartStands(ctx context.Context, tune func(*stand.Options)) error {
	var announce []string
	for _, a := range s.Addresses {
		announce = append(announce, a.Endpoints)
	}
	for _, o := range s.Deployment.Stands(announce) {
		if tune != nil {
			tune(&o)
		}
		if err := s.StartStand(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

// StartStand starts one stand-in; a request that crashes it closes its connections.
func (s *Site) StartStand(ctx context.Context, o stand.Options) error {
	var server *stand.Server
	if o.OnCrash == nil {
		o.OnCrash = func() { server.Crash() }
	}
	server = stand.New(o)
	if err := server.Start(ctx); err != nil {
		return err
	}
	s.Stands = append(s.Stands, server)
	return nil
}

// AwaitEndpoints waits until every running host knows every stand-in.
func (s *Site) AwaitEndpoints(ctx context.Context) error {
	return await(ctx, "endpoints to be known", func() bool {
		for _, h := range s.Hosts {
			if h == nil {
				continue
			}
			b, err := h.Broker()
			if err != nil || len(b.Endpoints()) < len(s.Stands) {
				return false
			}
		}
		return true
	})
}

// CallerHosts returns the callers' listeners, beginning with the n-th host's.
func (s *Site) CallerHosts(n int) []string {
	var list []string
	for i := range s.Addresses {
		list = append(list, s.Addresses[(n+i)%len(s.Addresses)].Callers)
	}
	return list
}

// Stand returns the stand-in with the given name.
func (s *Site) Stand(id core.EndpointID) *stand.Server {
	for _, x := range s.Stands {
		if x.ID() == id {
			return x
		}
	}
	return nil
}

// Close stops everything and removes the data folder.
func (s *Site) Close() error {
	var errs []error
	for _, h := range s.Hosts {
		if h != nil {
			errs = append(errs, h.Kill())
		}
	}
	for _, x := range s.Stands {
		x.Crash()
	}
	errs = append(errs, os.RemoveAll(s.folder))
	return errors.Join(errs[len(errs)-1:]...)
}

// await polls until done or the end of ctx.
func await(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
	return nil
}
