package guard

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
	"cyclamenford/io/meter"
	"cyclamenford/io/record"
)

const (
	// trialCommitTimeout limits the wait for the commit that begins a trial: a few round trips and disk syncs.
	trialCommitTimeout = 2 * time.Second
	// trialRetryAfter is the retry delay for a request that is already in trial elsewhere: about the duration of a call to
	// a plain service.
	trialRetryAfter = 250 * core.Millis(1)
)

// Control is this host's copy of the replicated state, with the means to propose commands.
type Control interface {
	record.Control
	// Image returns the newest published image that this host has applied.
	Image() state.Image
	// Changed returns a channel that is closed at the next change of the image.
	Changed() <-chan struct{}
}

// Probe reports whether an endpoint incarnation has ended; an error means that this could not be determined.
type Probe func(ctx context.Context, t core.Target) (bool, error)

// Options configures a Guard.
type Options struct {
	// CrashThreshold is the number of crashes after which a request runs only in trials.
	CrashThreshold int
	// QuarantineStatus is the HTTP status with which a request in quarantine is refused.
	QuarantineStatus int
	// ForwardCut forwards a cut connection when the probe did not show that the endpoint has ended. If it is nil, the
	// endpoint is assumed to be alive.
	ForwardCut func(ctx context.Context, on core.Target, suspects []poison.Suspect) error
}

// Guard tracks the requests that crash endpoints on behalf of one host: it reports crashes, runs trials of suspects and
// refuses requests in quarantine.
type Guard struct {
	options  Options
	control  Control
	probe    Probe
	recorder *record.Recorder
	clock    core.Clock
	meter    *meter.Meter
	log      *slog.Logger

	mu sync.Mutex
	// reports holds the crash reports that are still collecting cut requests of this host.
	reports map[core.Life]*crashReport
	// uncommitted holds, for each request, the crashes that this host has detected and not yet committed.
	uncommitted map[poison.Content][]core.Life
	// begun holds the answers that this host has seen begin.
	begun *begunParts
}

// New returns a guard that knows no crashes besides those in the replicated state.
func New(o Options, c Control, p Probe, r *record.Recorder, clock core.Clock, m *meter.Meter, log *slog.Logger) *Guard {
	return &Guard{
		options: o, control: c, probe: p, recorder: r, clock: clock, meter: m, log: log,
		reports: map[core.Life]*crashReport{}, uncommitted: map[poison.Content][]core.Life{}, begun: newBegunParts(),
	}
}

// Entry returns the crash record of a request: the published one or, if there is none, one made of this host's uncommitted
// crashes.
func (g *Guard) Entry(c poison.Content) poison.Entry {
	if e := g.control.Image().Poison[c]; e.Published() {
		return e
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if crashes := len(g.uncommitted[c]); crashes >= g.options.CrashThreshold {
		return poison.Entry{Content: c, Standing: poison.Suspected, Crashes: crashes}
	}
	return poison.Entry{}
}

// Standing returns the current standing of a request, the graver one of its content and of the parts of its prompt: poison.Clear
// while it may run without restrictions.
func (g *Guard) Standing(i poison.Identity) poison.Standing {
	request, parts := g.Entry(i.Content).StandingAt(g.clock.Unix()), g.judge(i).Standing
	if parts == poison.Convicted || request != poison.Convicted && parts == poison.Suspected {
		return parts
	}
	return request
}

// CheckQuarantine returns a problem if the request or a part of its prompt is in quarantine, and nil otherwise.
func (g *Guard) CheckQuarantine(i poison.Identity) *core.Problem {
	if e := g.Entry(i.Content); e.StandingAt(g.clock.Unix()) == poison.Convicted {
		return g.QuarantineProblem(e, core.NotRun)
	}
	if v := g.judge(i); v.Standing == poison.Convicted {
		return g.partProblem(v.Worst)
	}
	return nil
}

// QuarantineProblem counts a refusal and returns the problem for a client whose request has crashed endpoints.
func (g *Guard) QuarantineProblem(e poison.Entry, outcome core.Outcome) *core.Problem {
	g.meter.Count("quarantine_refused_total", 1)
	return core.NewProblem(g.options.QuarantineStatus, outcome, core.ReasonQuarantined,
		"this request has crashed %d endpoints that ran it; content %s", e.Crashes, e.Content).WithRetryAfter(e.RetryAfter(g.clock.Unix()))
}

// Admit must be called after an endpoint was chosen for a request and before the request is sent there. It refuses a
// request in quarantine and begins a trial of a suspect, or of suspected parts of its prompt, which the caller must end with
// EndTrial. The trial lasts at most the time left.
func (g *Guard) Admit(ctx context.Context, id core.RequestID, i poison.Identity, endpoint core.EndpointID, remaining core.Millis) (trial bool, p *core.Problem) {
	if p := g.CheckQuarantine(i); p != nil {
		return false, p
	}
	e, v := g.Entry(i.Content), g.judge(i)
	suspected := e.StandingAt(g.clock.Unix()) == poison.Suspected
	if suspected {
		command := state.Command{BeginTrial: &state.BeginTrial{Content: i.Content, Endpoint: endpoint, Most: remaining}}
		if !g.beginTrial(ctx, command, "request", id, "content", i.Content.String(), "endpoint", endpoint, "crashes", e.Crashes) {
			return false, inTrialProblem()
		}
	}
	if len(v.Suspects) > 0 {
		command := state.Command{PartTrial: &state.PartTrial{Parts: v.Suspects, Endpoint: endpoint, Limit: remaining}}
		if !g.beginTrial(ctx, command, "request", id, "parts", contentNames(v.Suspects), "endpoint", endpoint, "crashes", v.Worst.Crashes) {
			if suspected {
				g.EndTrial(poison.Identity{Content: i.Content}, endpoint, false)
			}
			return false, inTrialProblem()
		}
	}
	return suspected || len(v.Suspects) > 0, nil
}

// beginTrial commits the begin of a trial, logs it with the given attributes, and reports whether it has begun.
func (g *Guard) beginTrial(ctx context.Context, command state.Command, attributes ...any) bool {
	ctx, cancel := context.WithTimeout(ctx, trialCommitTimeout)
	defer cancel()
	command.OpID = internalOpID()
	reply, err := g.control.Propose(ctx, command)
	begun := err == nil && reply.Result == state.Accepted
	g.log.Info("trial", append(attributes, "begun", begun, "err", err)...)
	if begun {
		g.meter.Count("trials_total", 1)
	}
	return begun
}

func inTrialProblem() *core.Problem {
	return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonInTrial,
		"endpoints that ran this request, or others with a part of its prompt, have crashed, and a trial is under way or cannot be recorded").WithRetryAfter(trialRetryAfter)
}

// EndTrial ends the trials of a suspect and of the parts of its prompt on an endpoint. The suspect is cleared if the endpoint
// answered completely; a part is cleared by Begun.
func (g *Guard) EndTrial(i poison.Identity, endpoint core.EndpointID, completed bool) {
	g.log.Info("trial ended", "content", i.Content.String(), "endpoint", endpoint, "well", completed)
	g.recorder.Record(state.Command{EndTrial: &state.EndTrial{Content: i.Content, Endpoint: endpoint, Well: completed}})
	if parts := g.inTrialAt(i.Parts, endpoint); len(parts) > 0 {
		g.recorder.Record(state.Command{PartTrial: &state.PartTrial{Parts: parts, Endpoint: endpoint, End: true}})
	}
}

// internalOpID returns a random operation ID for a command that this program proposes by itself.
func internalOpID() string {
	return fmt.Sprintf("internal-%016x%016x", rand.Uint64(), rand.Uint64())
}
