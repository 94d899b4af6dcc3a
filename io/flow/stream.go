package flow

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/core/pool"
	"cyclamenford/core/retry"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
	"cyclamenford/io/tries"
)

const (
	// stallTimeout is how long an engine may send no event before another engine continues the stream.
	stallTimeout = 1500 * time.Millisecond
	// maxResumes limits how often the stream of one attempt is resumed at the same engine.
	maxResumes = 3
)

// ErrChecksum reports that the received text does not match the checksum sent by the engine.
var ErrChecksum = errors.New("checksum of the stream is wrong")

// errCallerGone reports that writing to the caller failed.
var errCallerGone = errors.New("the caller has gone")

// streamRun is the state of a streamed stage across its attempts.
type streamRun struct {
	runner   *Runner
	progress *progress
	index    int
	work     poison.Identity
	// sent is what was observed of the present attempt.
	sent tries.Sent
	// next is the number of the next event to send, and text is the text that was sent so far.
	next uint64
	text strings.Builder
	hash *xxhash.Digest
}

// runStreamedStage streams a generation stage to the caller. If an engine fails, another one continues from the text
// sent so far.
func (r *Runner) runStreamedStage(ctx context.Context, g *progress, i int) (Answer, *core.Problem) {
	s := &streamRun{
		runner: r, progress: g, index: i, next: 1, hash: xxhash.New(),
		work: g.identity(i),
	}
	began := r.clock.Now()
	var avoid []core.EndpointID
	for try := 1; ; try++ {
		a, last := s.attempt(ctx, avoid)
		if a.problem == nil {
			g.stageTimes = append(g.stageTimes, StageTime{
				Name: g.stages[i].Name, Ms: r.clock.Now() - began, Attempts: try,
				Endpoint: a.grant.Endpoint.ID, Why: string(a.grant.Action.OrderRule) + "/" + string(a.grant.Action.RouteRule),
			})
			return Answer{Count: last.Count, Checksum: last.Checksum}, nil
		}
		if !a.retryable || try >= retry.MaxAttempts || !r.Broker.TakeRetry() {
			return Answer{}, a.problem
		}
		avoid = append(avoid, a.grant.Endpoint.ID)
		tries.Sleep(ctx, r.Broker.Backoff(try))
	}
}

// attempt runs the stage once at one endpoint. It also returns the last event read.
func (s *streamRun) attempt(ctx context.Context, avoid []core.EndpointID) (attemptResult, dial.Event) {
	r := s.runner
	g, problem := r.Acquire(ctx, r.attemptFor(s.progress, s.index, avoid), s.work)
	if problem != nil {
		return attemptResult{problem: problem}, dial.Event{}
	}
	ctx, span := r.trace.StartSpan(ctx, "attempt", "endpoint", string(g.Endpoint.ID))
	defer span.End()
	run := r.newRun(s.progress, s.index, g)
	run.Prior, run.From = s.text.String(), s.next
	s.sent = tries.Sent{At: r.clock.Now()}
	last, err := s.forwardAttempt(ctx, g, run)
	if err == nil {
		r.FinishSucceeded(g, s.work)
		return attemptResult{grant: g}, last
	}
	if errors.Is(err, errCallerGone) {
		r.FinishInconclusive(g, s.work, pool.Inconclusive)
		return attemptResult{grant: g, problem: core.NewProblem(499, core.Failed, core.ReasonCallerGone, "the caller has gone")}, last
	}
	if ctx.Err() == nil {
		go r.Dial.Cancel(g.Endpoint.Target(), run.AttemptID)
	}
	return r.recordFailure(ctx, s.progress, g, s.work, s.sent, err), last
}

// forwardAttempt forwards the events of one attempt to the caller. If the connection breaks, it resumes the stream at
// the same engine.
func (s *streamRun) forwardAttempt(ctx context.Context, g broker.Grant, run dial.Run) (dial.Event, error) {
	r := s.runner
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(stallTimeout, cancel)
	defer watchdog.Stop()
	stream, err := r.Dial.Stream(ctx, g.Endpoint.Target(), run)
	if err != nil {
		return dial.Event{}, err
	}
	s.progress.markMayHaveRun()
	if err := s.progress.request.Sink.Start(r.token(s.progress.request, run.AttemptID, g.Endpoint)); err != nil {
		stream.Close()
		return dial.Event{}, errCallerGone
	}
	for resumes := 0; ; resumes++ {
		last, err := s.forwardEvents(stream, watchdog)
		stream.Close()
		var e *dial.Error
		if err == nil || !errors.As(err, &e) || !e.ConnectionLost || resumes >= maxResumes || ctx.Err() != nil {
			return last, err
		}
		again, resumeErr := r.Dial.Resume(ctx, g.Endpoint.Target(), run.AttemptID, s.next)
		if resumeErr != nil {
			return last, err
		}
		r.Meter.Count("streams_resumed_total", 1)
		stream = again
	}
}

// forwardEvents forwards the events that the caller lacks.
func (s *streamRun) forwardEvents(stream *dial.Stream, watchdog *time.Timer) (dial.Event, error) {
	for {
		e, err := stream.Next()
		if err != nil {
			return e, err
		}
		watchdog.Reset(stallTimeout)
		if !s.sent.Began {
			s.sent.Began = true
			s.runner.Begun(s.work)
		}
		if e.Done {
			return e, s.verifyChecksum(stream, e)
		}
		s.next = e.Seq + 1
		s.text.WriteString(e.Text)
		_, _ = s.hash.WriteString(e.Text)
		if err := s.progress.request.Sink.Event(e.Seq, e.Text); err != nil {
			return e, errCallerGone
		}
	}
}

// verifyChecksum compares the sent text with the checksum in the closing event.
func (s *streamRun) verifyChecksum(stream *dial.Stream, e dial.Event) error {
	if e.Checksum != hexChecksum(s.hash) {
		return stream.Refuse(ErrChecksum)
	}
	return nil
}
