package tries

import (
	"context"

	"cyclamenford/core"
	"cyclamenford/io/dial"
	"cyclamenford/io/guard"
)

// newProbe returns a probe that asks the target's address whether the target's incarnation has ended.
func newProbe(client *dial.Client) guard.Probe {
	return func(ctx context.Context, t core.Target) (bool, error) {
		health, gone, err := client.Probe(ctx, t)
		if err != nil && !gone {
			return false, err
		}
		return gone || health.Incarnation != t.Incarnation, nil
	}
}
