package flow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
)

const suspectTimeout = 2 * time.Second

// standing returns what is held against a request as far as this host knows.
func (r *Runner) standing(c poison.Content) poison.Standing {
	return r.control.Image().Poison[c].Standing
}

// checkConvicted refuses a request whose stage is in quarantine.
func (r *Runner) checkConvicted(g *progress, i int) *core.Problem {
	c := contentOf(g.request.Settings.Organisation, g.target, g.stages[i].Name, g.request.Body)
	if r.standing(c) != poison.Convicted {
		return nil
	}
	r.meter.Count("quarantine_refused_total", 1)
	return quarantined(core.NotRun)
}

// blame counts an endpoint's crash against a request; a cut connection to a living endpoint counts nothing.
func (r *Runner) blame(ctx context.Context, q Request, c poison.Content, on core.Announcement) poison.Standing {
	if !r.crashed(ctx, on) {
		return r.standing(c)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectTimeout)
	defer cancel()
	reply, err := r.control.Propose(ctx, state.Command{
		OpID: internalOpID(),
		Suspect: &state.Suspect{
			Contents: []poison.Content{c}, Organisation: []core.OrganisationID{q.Settings.Organisation}, Endpoint: on.ID,
		},
	})
	if err != nil || len(reply.Suspect) == 0 {
		r.log.Warn("suspicion not recorded", "request", q.ID, "err", err)
		return poison.Suspected
	}
	e := reply.Suspect[0]
	r.log.Warn("request was running on an endpoint that crashed",
		"request", q.ID, "endpoint", on.ID, "content", fmt.Sprintf("%x", uint64(c)), "crashes", e.Crashes)
	r.awaitRevision(ctx, reply.Revision)
	return e.Standing
}

// crashed reports whether an endpoint's life has ended.
func (r *Runner) crashed(ctx context.Context, on core.Announcement) bool {
	health, gone, err := r.dial.Probe(ctx, on.Address)
	if err != nil {
		return gone
	}
	return health.Incarnation != on.Incarnation
}

// awaitRevision waits until this host's image has the revision, so that the next attempt knows of it.
func (r *Runner) awaitRevision(ctx context.Context, revision uint64) {
	for r.control.Image().Revision < revision {
		changed := r.control.Changed()
		if r.control.Image().Revision >= revision {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) beginTrial(ctx context.Context, c poison.Content, on core.EndpointID) bool {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	reply, err := r.control.Propose(ctx, state.Command{
		OpID: internalOpID(), BeginTrial: &state.BeginTrial{Content: c, Endpoint: on},
	})
	return err == nil && reply.Result == state.Accepted
}

func (r *Runner) endTrial(c poison.Content, on core.EndpointID, well bool) {
	r.recorder.record(state.Command{EndTrial: &state.EndTrial{Content: c, Endpoint: on, Well: well}})
}

func internalOpID() string {
	return fmt.Sprintf("internal-%016x%016x", rand.Uint64(), rand.Uint64())
}
