package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/setup"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run this host until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{&cli.StringFlag{Name: "Settings", Usage: "the host's settings `FILE`", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := setup.Load(c.String("Settings"))
			if err != nil {
				return fmt.Errorf("%w: %w", term.ErrUsage, err)
			}
			app, err := setup.NewApp(s, setup.NewLogger(c.Root().ErrWriter, s.Log))
			if err != nil {
				return err
			}
			if err := app.Start(ctx); err != nil {
				return err
			}
			<-ctx.Done()
			return app.Stop(context.Background())
		},
	}
}
