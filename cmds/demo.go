package cmds

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/bench/site"
	"cyclamenford/setup"
)

const (
	demoHosts = 6
	demoLimit = 60 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a whole deployment in this process and show what it promises",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "Log", Usage: "print the hosts' logs"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoLimit)
			defer cancel()
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			if c.Bool("Log") {
				log = setup.NewLogger(c.Root().ErrWriter, setup.LogSettings{Level: "Info", Format: "Text"})
			}
			return runDemo(ctx, c.Root().Writer, log)
		},
	}
}

func runDemo(ctx context.Context, w io.Writer, log *slog.Logger) error {
	d := site.SawtLoop()
	d.Hosts = d.Hosts[:demoHosts]
	s, err := site.New(d, log, func(c *setup.Settings) { c.Callers.DrainMs = 200 })
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	demo := &demo{site: s, w: w, began: time.Now()}
	fmt.Fprintf(w, "cyclamenford demo: %d hosts in 3 failure domains, over loopback\n\n", len(d.Hosts))
	for _, step := range demo.steps() {
		demo.run(ctx, step)
	}
	return demo.report()
}
