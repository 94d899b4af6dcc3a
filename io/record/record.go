package record

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/state"
	"cyclamenford/io/loop"
)

const (
	commitTimeout = 5 * time.Second
	retryPause    = 200 * core.Millis(1)
	// stopTimeout limits how long Stop waits without a quorum. An ordinary commit takes some milliseconds, an election
	// less than a second.
	stopTimeout = time.Second
)

// Control is the part of the control state that commits commands.
type Control interface {
	// Propose commits a command and returns its reply, or an error that wraps io.ErrNoQuorum.
	Propose(ctx context.Context, c state.Command) (state.Reply, error)
}

// Recorder commits commands and retries while there is no quorum.
type Recorder struct {
	control Control
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	pending loop.WorkCounter
}

// New returns a recorder that works until it is stopped.
func New(control Control, log *slog.Logger) *Recorder {
	ctx, cancel := context.WithCancel(context.Background())
	return &Recorder{control: control, log: log, ctx: ctx, cancel: cancel}
}

// Record commits a command in the background and retries while there is no quorum.
func (r *Recorder) Record(c state.Command) {
	r.Go(func(context.Context) {
		if _, err := r.Commit(c); err != nil {
			r.log.Warn("command not committed", "err", err)
		}
	})
}

// Commit commits a command and retries while there is no quorum. It returns an error only if the recorder has stopped.
func (r *Recorder) Commit(c state.Command) (state.Reply, error) {
	for {
		ctx, cancel := context.WithTimeout(r.ctx, commitTimeout)
		reply, err := r.control.Propose(ctx, c)
		cancel()
		if err == nil {
			return reply, nil
		}
		if r.ctx.Err() != nil {
			return state.Reply{}, fmt.Errorf("commit interrupted by shutdown: %w", err)
		}
		r.log.Warn("command not committed yet, retrying", "err", err)
		loop.Sleep(r.ctx, retryPause.Duration())
	}
}

// Go runs a function in the background. Its context is canceled once the recorder has stopped.
func (r *Recorder) Go(f func(ctx context.Context)) {
	r.pending.Go(func() { f(r.ctx) })
}

// Start does nothing: each commit starts when it is requested.
func (r *Recorder) Start(context.Context) error { return nil }

// Stop waits for the background work, at most stopTimeout, and cancels the rest.
func (r *Recorder) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return r.Finish(ctx)
}

// Finish waits for the background work until ctx ends, and cancels the rest.
func (r *Recorder) Finish(ctx context.Context) error {
	defer r.cancel()
	if err := r.pending.Wait(ctx); err != nil {
		return fmt.Errorf("background work not finished before the shutdown timeout: %w", err)
	}
	return nil
}
