package assign

import (
	"context"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/origin"
	"cyclamenford/core/sched"
	"cyclamenford/core/state"
)

// settleInterval is the time between two checks whether a service has only one version left.
const settleInterval = core.Second

// beginning is a grant that waits until it is recorded at which version its stream begins.
type beginning struct {
	sched  *sched.Scheduler
	action order.Action
	stream origin.Stream
}

// versionWatch follows since when all endpoints of a service have had the same version.
type versionWatch struct {
	checkedAt core.Millis
	// alone holds that time and the version by service.
	alone map[string]singleVersion
}

type singleVersion struct {
	version string
	since   core.Millis
}

// commitVersion adds the software version of an endpoint to the replicated state, before any stream can begin at it.
func (a *Assigner) commitVersion(e order.Endpoint) error {
	if slices.Contains(a.leader.Versions(e.Service), e.Version) {
		return nil
	}
	// Endpoints that start together add their version once.
	a.versionMu.Lock()
	defer a.versionMu.Unlock()
	if slices.Contains(a.leader.Versions(e.Service), e.Version) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_, err := a.leader.Commit(ctx, state.Command{AddVersion: &state.AddVersion{Service: e.Service, Version: e.Version}})
	if err != nil {
		a.log.Warn("cannot commit the software version of an endpoint", "endpoint", e.ID, "service", e.Service, "version", e.Version, "err", err)
		return err
	}
	a.log.Info("software version added", "service", e.Service, "version", e.Version, "versions", a.leader.Versions(e.Service))
	return nil
}

// resolveVersion binds a request that takes up a stream to the version at which the stream began. It returns the refusal of the
// request if that is not known.
func (a *Assigner) resolveVersion(ask *order.PlacementRequest) *order.Refusal {
	if !ask.TakesUp || ask.Bound {
		return nil
	}
	version, known := a.leader.StreamVersion(ask.Service, ask.Resumes)
	a.log.Info("stream taken up", "request", ask.ID, "service", ask.Service, "named", ask.Resumes != 0, "known", known, "version", version,
		"versions", a.leader.Versions(ask.Service))
	if !known {
		a.meter.Count("streams_of_unknown_version_total", 1)
		return &order.Refusal{Key: ask.Key, ID: ask.ID, Reason: core.ReasonVersionUnknown, Left: ask.Left}
	}
	ask.Bound, ask.Version = true, version
	return nil
}

// recordBeginning records at which version a stream begins if its service has several, and reports whether the grant waits for that.
// The caller holds mu.
func (a *Assigner) recordBeginning(action order.Action) bool {
	w, ok := a.waiters[action.Grant.Key]
	if !ok || w.Stream == 0 || w.Bound || len(a.leader.Versions(w.service)) < 2 {
		return false
	}
	a.beginnings = append(a.beginnings, beginning{sched: a.sched, action: action, stream: w.Stream})
	if !a.recording {
		a.recording = true
		a.Go(a.commitBeginnings)
	}
	return true
}

// commitBeginnings commits the waiting records together until there are none left, and delivers their grants.
func (a *Assigner) commitBeginnings() {
	for {
		a.mu.Lock()
		batch := a.beginnings
		a.beginnings = nil
		if len(batch) == 0 {
			a.recording = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		err := a.commitStreams(batch)
		a.mu.Lock()
		for _, b := range batch {
			switch {
			case b.sched != a.sched:
				// The waiting call has ended with its scheduler.
			case err == nil:
				a.deliver(b.action.Grant.Key, b.action)
			default:
				a.endWait(b.action.Grant.Key)
				a.sched.AttemptEnded(a.clock.Now(), b.action.Grant.Key, order.NotSent, false)
			}
		}
		a.mu.Unlock()
	}
}

func (a *Assigner) commitStreams(batch []beginning) error {
	var began []state.StreamsBegan
	for _, b := range batch {
		version := b.action.Grant.Version
		i := slices.IndexFunc(began, func(x state.StreamsBegan) bool { return x.Version == version })
		if i < 0 {
			i = len(began)
			began = append(began, state.StreamsBegan{Version: version})
		}
		began[i].Streams = append(began[i].Streams, b.stream)
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if _, err := a.leader.Commit(ctx, state.Command{BeginStreams: &state.BeginStreams{Began: began}}); err != nil {
		a.log.Warn("cannot record at which version streams begin", "streams", len(batch), "err", err)
		return err
	}
	return nil
}

// settleVersions makes the version that all endpoints of a service have had for long enough its only one, so that its streams need no
// record any more. The caller holds mu.
func (a *Assigner) settleVersions(now core.Millis) {
	if now-a.versions.checkedAt < settleInterval {
		return
	}
	a.versions.checkedAt = now
	present := map[string][]string{}
	for _, e := range a.roster.entries {
		if list := present[e.Endpoint.Service]; !slices.Contains(list, e.Endpoint.Version) {
			present[e.Endpoint.Service] = append(list, e.Endpoint.Version)
		}
	}
	alone := map[string]singleVersion{}
	for service, list := range present {
		if len(list) != 1 || len(a.leader.Versions(service)) < 2 {
			continue
		}
		x := singleVersion{version: list[0], since: now}
		if former, ok := a.versions.alone[service]; ok && former.version == list[0] {
			x.since = former.since
		}
		alone[service] = x
		if now-x.since > origin.Retention {
			former := a.leader.Versions(service)
			a.Go(func() { a.commitSettled(service, x.version, former) })
			delete(alone, service)
		}
	}
	a.versions.alone = alone
}

// commitSettled makes a version the only one of a service, unless another one has been added to the former ones meanwhile.
func (a *Assigner) commitSettled(service, version string, former []string) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if _, err := a.leader.Commit(ctx, state.Command{SettleVersion: &state.SettleVersion{Service: service, Version: version, Former: former}}); err != nil {
		a.log.Warn("cannot commit that a service has one version", "service", service, "version", version, "err", err)
		return
	}
	a.log.Info("service has one software version", "service", service, "version", version)
}
