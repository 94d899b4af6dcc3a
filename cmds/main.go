package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"

	"github.com/urfave/cli/v3"

	"cyclamenford/bench/demo"
	"cyclamenford/bench/soak"
	"cyclamenford/cmds/equip"
	"cyclamenford/cmds/opers"
	"cyclamenford/cmds/term"
	"cyclamenford/io/oper"
	"cyclamenford/platform"
)

// The exit codes of the program.
const (
	exitOK            = 0
	exitFailed        = 1
	exitUsage         = 2
	exitConflict      = 3
	exitNoQuorum      = 4
	exitPromiseBroken = 5
)

// Main runs the program with the command line args and returns its exit code. SIGINT and SIGTERM cancel the running
// command.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name: "cyclamenford", Usage: "serves multi-stage model pipelines", Writer: stdout, ErrWriter: stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: slices.Concat(
			[]*cli.Command{serveCommand(), platform.Command(), demoCommand(), soakCommand(), callCommand(), storyCommand(), stateCommand(), whereCommand()},
			opers.Commands(), equip.Commands()),
	}
	err := app.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(stderr, "cyclamenford:", err)
	}
	return exitCode(err)
}

// exitCode maps the error of a command to the exit code of the program.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, oper.ErrConflict):
		return exitConflict
	case errors.Is(err, oper.ErrNoQuorum):
		return exitNoQuorum
	case errors.Is(err, oper.ErrInvalid), errors.Is(err, term.ErrUsage):
		return exitUsage
	case errors.Is(err, demo.ErrBroken), errors.Is(err, soak.ErrBroken):
		return exitPromiseBroken
	}
	return exitFailed
}
