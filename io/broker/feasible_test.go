package broker

import (
	"io"
	"log/slog"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/clock"
	"cyclamenford/core/desk"
	"cyclamenford/core/ledger"
	cio "cyclamenford/io"
	"cyclamenford/io/meter"
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
