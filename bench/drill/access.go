package drill

import (
	"context"

	"cyclamenford/bench/site"
	"cyclamenford/io/oper"
)

// Operators returns a client of the deployment's operators' interface.
func (x *Drill) Operators() *oper.Client {
	return x.operators
}

// OperatorsOf returns a client of one host's operators' interface.
func (x *Drill) OperatorsOf(n int) *oper.Client {
	return oper.New([]string{x.processes[n].settings.Listeners.Operators}, site.OperatorKey, nil)
}

// Deployment returns what runs.
func (x *Drill) Deployment() site.Deployment {
	return x.deployment
}

// Do carries out one step now.
func (x *Drill) Do(ctx context.Context, s Step) error {
	return x.do(ctx, s)
}

// AwaitReady waits until every running host reports ready.
func (x *Drill) AwaitReady(ctx context.Context) error {
	return x.awaitReady(ctx)
}
