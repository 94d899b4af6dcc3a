package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"cyclamenford/bench/site"
	"cyclamenford/setup"
)

const (
	demoHosts = 6
	// drainMs is how long a host of the demo reports not ready before it stops.
	drainMs = 200
)

// ErrBroken means that a promise did not hold.
var ErrBroken = errors.New("a promise did not hold")

// Run shows every promise and prints what was seen; it returns ErrBroken if one did not hold.
func Run(ctx context.Context, w io.Writer, log *slog.Logger) error {
	d := site.SawtLoop()
	d.Hosts = d.Hosts[:demoHosts]
	s, err := site.New(d, log, func(c *setup.Settings) { c.Callers.DrainMs = drainMs })
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	x := &demo{site: s, w: w, began: time.Now()}
	fmt.Fprintf(w, "cyclamenford demo: %d hosts in 3 failure domains, over loopback\n\n", len(d.Hosts))
	for _, step := range x.steps() {
		x.run(ctx, step)
	}
	return x.report()
}
