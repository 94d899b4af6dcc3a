package tries

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/loop"
)

const (
	recordTimeout = 5 * time.Second
	recordPause   = 200 * core.Millis(1)
)

// recorder commits outcomes in the background until each is recorded.
type recorder struct {
	control io.Control
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	pending loop.Tally
}

func newRecorder(control io.Control, log *slog.Logger) *recorder {
	ctx, cancel := context.WithCancel(context.Background())
	return &recorder{control: control, log: log, ctx: ctx, cancel: cancel}
}

// Record commits a command, again and again while there is no quorum.
func (r *recorder) Record(c state.Command) {
	r.pending.Go(func() {
		for r.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(r.ctx, recordTimeout)
			_, err := r.control.Propose(ctx, c)
			cancel()
			if err == nil {
				return
			}
			r.log.Warn("outcome not recorded yet", "err", err)
			Wait(r.ctx, recordPause)
		}
	})
}

// Settled waits for the outcomes to be recorded.
func (r *recorder) Settled(ctx context.Context) error {
	defer r.cancel()
	if err := r.pending.Wait(ctx); err != nil {
		return fmt.Errorf("outcomes were still to be recorded at the end of the shutdown time: %w", err)
	}
	return nil
}
