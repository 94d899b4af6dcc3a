package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"
	"cyclamenford/core"
	"cyclamenford/io/story"
)

var errRequestNotFound = errors.New("no log line contains this request ID")

func storyCommand() *cli.Command {
	return &cli.Command{
		Name:  "story",
		Usage: "print what the logs of all hosts, from files or standard input, tell of one request and of changes around it",

		ArgsUsage: "REQUEST [FILE...]",
		Action: func(_ context.Context, c *cli.Command) error {
			id, err := term.Argument(c, 0, "REQUEST")
			if err != nil {
				return err
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			found := story.Timeline(core.RequestID(id), lines)
			if len(found) == 0 {
				return fmt.Errorf("%s: %w", id, errRequestNotFound)
			}
			return story.Write(c.Root().Writer, found)
		},
	}
}

// readLogs reads log lines from all files, or from standard input if no file is given.
func readLogs(files []string) ([]story.LogLine, error) {
	if len(files) == 0 {
		lines, _, err := story.Read(os.Stdin)
		return lines, err
	}
	var all []story.LogLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		lines, _, err := story.Read(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}
