package broker

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/desk"
	"cyclamenford/core/ledger"
	"cyclamenford/core/tree"
	cio "cyclamenford/io"
	"cyclamenford/io/meter"
	"cyclamenford/io/wall"
)

type control struct {
	cio.Control
}

func (control) Holder() ledger.Holder {
	return ledger.Holder{Host: "h"}
}

// TestAPassedDeadlineIsNotCalledInfeasible checks a request whose deadline passes between its arrival and the check.
func TestAPassedDeadlineIsNotCalledInfeasible(t *testing.T) {
	now := clock.New(1000)
	b := New("f", control{}, now, meter.New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	ask := desk.Ask{Request: "r", Priority: core.Normal, DeadlineAt: 1001}
	must.Nil(t, b.Feasible(ask))
	now.Advance(2)
	p := b.Feasible(ask)
	must.NotNil(t, p)
	must.Eq(t, core.ReasonDeadlineExceeded, p.Reason)
	must.Eq(t, http.StatusGatewayTimeout, p.Status)
	must.Eq(t, core.NotRun, p.Outcome)
}

// TestAShortWaitForALimitIsWaitedOut sends 60 requests at once to a limit that lets 25 through at once and 100 a second.
func TestAShortWaitForALimitIsWaitedOut(t *testing.T) {
	b := New("f", control{}, wall.New(), meter.New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	limits := tree.Limits{RequestsPerSecond: 100}
	var refused []*core.Problem
	for range 60 {
		if p := b.Admit(context.Background(), "t", limits, 0); p != nil {
			refused = append(refused, p)
		}
	}
	must.SliceEmpty(t, refused)
}
