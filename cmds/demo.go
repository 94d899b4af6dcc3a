package cmds

import (
	"context"
	"log/slog"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/bench/demo"
)

// demoTimeout is the time limit of the whole demo.
const demoTimeout = 60 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a whole deployment in this process and show what it promises",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "Log", Usage: "print the hosts' logs"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			log := slog.New(slog.DiscardHandler)
			if c.Bool("Log") {
				log = slog.New(slog.NewTextHandler(c.Root().ErrWriter, nil))
			}
			return demo.Run(ctx, c.Root().Writer, log)
		},
	}
}
