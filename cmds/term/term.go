package term

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// ErrUsage means that the command line or a file is not valid.
var ErrUsage = errors.New("not valid")

// Argument returns the n-th argument, or an error that names what is missing.
func Argument(c *cli.Command, n int, what string) (string, error) {
	if c.Args().Len() <= n {
		return "", fmt.Errorf("%w: expected %s", ErrUsage, what)
	}
	return c.Args().Get(n), nil
}

// Show prints a value as JSON if the flag Json is set, or else as a table of rows.
func Show(c *cli.Command, value any, header []string, rows [][]string) error {
	w := c.Root().Writer
	if !c.Bool("Json") {
		return PrintTable(w, header, rows)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return fmt.Errorf("print answer: %w", err)
	}
	return nil
}

// ReadDoc reads a file, or standard input for "-".
func ReadDoc(path string) ([]byte, error) {
	if path == "-" {
		path = "/dev/stdin"
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: read document: %w", ErrUsage, err)
	}
	return raw, nil
}
