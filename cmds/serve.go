package cmds

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"
	"cyclamenford/io/logs"
	"cyclamenford/io/wall"
	"cyclamenford/setup"
)

// logStopTimeout limits the time for writing the last log lines, because nobody may be reading the output.
const logStopTimeout = time.Second

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run this host until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{&cli.StringFlag{Name: "Settings", Usage: "the host's settings `FILE`", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := setup.Load(c.String("Settings"))
			if err != nil {
				return fmt.Errorf("%w: %w", term.ErrUsage, err)
			}
			out := logs.New(c.Root().ErrWriter, s.Log.BytesPerSecond, wall.New())
			if err := out.Start(ctx); err != nil {
				return err
			}
			defer stopLog(out)
			return serve(ctx, s, setup.NewLogger(out, s.Log))
		},
	}
}

// serve runs a host until ctx is cancelled, then shuts it down gracefully.
func serve(ctx context.Context, s setup.Settings, log *slog.Logger) error {
	app, err := setup.NewApp(s, log)
	if err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return app.Stop(context.WithoutCancel(ctx))
}

// stopLog flushes the last log lines, for at most logStopTimeout.
func stopLog(out *logs.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), logStopTimeout)
	defer cancel()
	// The error is dropped: a failure of the log cannot be logged.
	_ = out.Stop(ctx)
}
