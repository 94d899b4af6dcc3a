package term

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// ErrUsage reports an invalid command line or file. The program then exits with the code for usage errors.
var ErrUsage = errors.New("not valid")

// Argument returns the n-th argument, or a usage error that names the expected arguments.
func Argument(c *cli.Command, n int, what string) (string, error) {
	if c.Args().Len() <= n {
		return "", fmt.Errorf("%w: expected %s", ErrUsage, what)
	}
	return c.Args().Get(n), nil
}

// Show prints value as JSON if --Json is set, and otherwise prints header and rows as a table.
func Show(c *cli.Command, value any, header []string, rows [][]string) error {
	w := c.Root().Writer
	if !c.Bool("Json") {
		return PrintTable(w, header, rows)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return fmt.Errorf("encode value as JSON: %w", err)
	}
	return nil
}

// ReadDoc reads the file at path, or standard input if path is "-".
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
