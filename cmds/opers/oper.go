package opers

import (
	"context"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"
	"cyclamenford/io/oper"
)

// keyEnvVar is the environment variable that holds the operator's key.
const keyEnvVar = "CYCLAMENFORD_KEY"

// operatorFlags returns the flags that all operators' subcommands share, followed by more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return slices.Concat([]cli.Flag{
		&cli.StringSliceFlag{Name: "Hosts", Usage: "the operators' listeners as `IP:PORT`", Value: []string{"127.0.0.1:7301"}},
		&cli.StringFlag{Name: "Key", Usage: "the operator's `KEY`", Sources: cli.EnvVars(keyEnvVar)},
		&cli.BoolFlag{Name: "Json", Usage: "print JSON for scripts"},
		&cli.DurationFlag{Name: "Timeout", Usage: "give up after this `TIME`", Value: 30 * time.Second},
	}, term.TLSFlags(), more)
}

// operatorAction returns an action that calls f with a client for the hosts of --Hosts and a context limited by --Timeout.
func operatorAction(f func(ctx context.Context, c *cli.Command, o *oper.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("Timeout"))
		defer cancel()
		config, err := term.TLSConfig(c)
		if err != nil {
			return err
		}
		return f(ctx, c, oper.New(c.StringSlice("Hosts"), c.String("Key"), config))
	}
}

// Commands returns the operators' subcommands.
func Commands() []*cli.Command {
	return []*cli.Command{
		settingsCommand(), statusCommand(), hostsCommand(), endpointsCommand(), poolsCommand(), ordersCommand(),
		quarantineCommand(), drainCommand(), evacuateCommand(), explainCommand(), requestsCommand(),
	}
}
