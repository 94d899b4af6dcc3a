package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cyclamenford/io/oper"
)

// The exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitNoQuorum = 4
	exitBroken   = 5
)

// errBroken means that a promise did not hold.
var errBroken = errors.New("a promise did not hold")

// errUsage means that the command line or a file is not valid.
var errUsage = errors.New("not valid")

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name: "cyclamenford", Usage: "serves multi-stage model pipelines", Writer: stdout, ErrWriter: stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), demoCommand(), settingsCommand(), statusCommand(), hostsCommand(), endpointsCommand(),
			poolsCommand(), ordersCommand(), quarantineCommand(), drainCommand(), explainCommand(), requestsCommand(),
			stateCommand(), callCommand(), standinCommand(), exampleCommand(), slopeCommand(), loadCommand(),
		},
	}
	err := app.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(stderr, "cyclamenford:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, oper.ErrConflict):
		return exitConflict
	case errors.Is(err, oper.ErrNoQuorum):
		return exitNoQuorum
	case errors.Is(err, oper.ErrInvalid), errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errBroken):
		return exitBroken
	}
	return exitFailed
}
