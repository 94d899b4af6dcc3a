package keeper

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core/state"
)

// TestACommittedCommandIsReportedBesideAStop guards against a command that was applied and is reported as failed, because its keeper stops
// at the same moment.
func TestACommittedCommandIsReportedBesideAStop(t *testing.T) {
	const commands = 200
	failed := 0
	for range commands {
		k := &Keeper{proposals: make(chan proposal), done: make(chan struct{})}
		go func() {
			p := <-k.proposals
			p.reply <- proposalResult{reply: state.Reply{Result: state.Accepted}}
			close(k.done)
		}()
		if _, err := k.commit(context.Background(), nil); err != nil {
			failed++
		}
	}
	must.Zero(t, failed, must.Sprintf("of %d commands that were applied", commands))
}
