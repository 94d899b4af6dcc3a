package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/io/oper"
)

// keyVariable is the environment variable that holds the operator's key.
const keyVariable = "CYCLAMENFORD_KEY"

func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "Hosts", Usage: "the operators' listeners as `IP:PORT`", Value: []string{"127.0.0.1:7301"}},
		&cli.StringFlag{Name: "Key", Usage: "the operator's `KEY`", Sources: cli.EnvVars(keyVariable)},
		&cli.BoolFlag{Name: "Json", Usage: "print JSON for scripts"},
		&cli.DurationFlag{Name: "Timeout", Usage: "give up after this `TIME`", Value: 30 * time.Second},
	}, more...)
}

// operatorAction runs f with a client and the flags' time limit.
func operatorAction(f func(ctx context.Context, c *cli.Command, o *oper.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("Timeout"))
		defer cancel()
		return f(ctx, c, oper.New(c.StringSlice("Hosts"), c.String("Key")))
	}
}

// argument returns the n-th argument, or an error that names what is missing.
func argument(c *cli.Command, n int, what string) (string, error) {
	if c.Args().Len() <= n {
		return "", fmt.Errorf("%w: expected %s", errUsage, what)
	}
	return c.Args().Get(n), nil
}

// show prints a value as JSON, or as a table of rows.
func show(c *cli.Command, value any, header []string, rows [][]string) error {
	w := c.Root().Writer
	if !c.Bool("Json") {
		return printTable(w, header, rows)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return fmt.Errorf("print answer: %w", err)
	}
	return nil
}

// readDoc reads a file, or standard input for "-".
func readDoc(path string) ([]byte, error) {
	if path == "-" {
		path = "/dev/stdin"
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: read document: %w", errUsage, err)
	}
	return raw, nil
}
