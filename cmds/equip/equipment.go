package equip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/bench/proxy"
	"cyclamenford/bench/site"
	"cyclamenford/bench/stand"
)

// standInStopTimeout is the time that stand-in endpoints have to finish running requests after SIGTERM.
const standInStopTimeout = 10 * time.Second

// Commands returns the subcommands of the test equipment.
func Commands() []*cli.Command {
	return []*cli.Command{standinCommand(), exampleCommand(), loadCommand(), slopeCommand(), proxyCommand()}
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name: "standin", Usage: "run the stand-in endpoints of an example (test equipment)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "Endpoints", Usage: "the `FILE` of endpoints, as example writes it", Required: true},
			&cli.StringFlag{Name: "Only", Usage: "run the one endpoint with this `NAME`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			raw, err := os.ReadFile(c.String("Endpoints"))
			if err != nil {
				return fmt.Errorf("%w: %w", term.ErrUsage, err)
			}
			var list []stand.Options
			if err := json.Unmarshal(raw, &list); err != nil {
				return fmt.Errorf("%w: %w", term.ErrUsage, err)
			}
			return runStandIns(ctx, c, list)
		},
	}
}

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name: "proxy", Usage: "run the network between the hosts of a test that starts it (test equipment)", Hidden: true,
		Action: func(_ context.Context, c *cli.Command) error {
			return proxy.ServeChild(c.Args().First(), os.Stdin, os.Stdout)
		},
	}
}

// runStandIns runs the stand-in endpoints of the list, or the one that --Only names, until ctx is cancelled.
func runStandIns(ctx context.Context, c *cli.Command, list []stand.Options) error {
	var servers []*stand.Server
	for _, o := range list {
		if only := c.String("Only"); only != "" && only != string(o.ID) {
			continue
		}
		s := stand.New(o)
		if err := s.Start(ctx); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	fmt.Fprintln(c.Root().ErrWriter, len(servers), "stand-ins are running")
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), standInStopTimeout)
	defer cancel()
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Stop(stopCtx))
	}
	return errors.Join(errs...)
}

func exampleCommand() *cli.Command {
	return &cli.Command{
		Name: "example", Usage: "write the settings files of an example deployment", ArgsUsage: "NAME FOLDER",
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := term.Argument(c, 0, "NAME FOLDER")
			if err != nil {
				return err
			}
			folder, err := term.Argument(c, 1, "NAME FOLDER")
			if err != nil {
				return err
			}
			d, ok := site.ByName(name)
			if !ok {
				return fmt.Errorf("%w: NAME: found %q, expected Flueshare or SawtLoop", term.ErrUsage, name)
			}
			files, err := d.Files()
			if err != nil {
				return err
			}
			return writeFiles(folder, files)
		},
	}
}

func writeFiles(folder string, files map[string][]byte) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o644); err != nil {
			return fmt.Errorf("write %s: %w", name, err)
		}
	}
	return nil
}
