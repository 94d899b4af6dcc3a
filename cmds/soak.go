package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"cyclamenford/bench/soak"
	"cyclamenford/core"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "break deployments of real processes at random and check what they promise",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "Seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "Seeds", Value: 1, Usage: "how many seeds to play, from the first on"},
			&cli.IntFlag{Name: "Jobs", Value: 1, Usage: "how many seeds to play at once"},
			&cli.StringFlag{Name: "Deployment", Usage: "Flueshare or SawtLoop; by the seed if not set"},
			&cli.IntFlag{Name: "Hosts", Usage: "the number of hosts; the example's if not set"},
			&cli.Int64Flag{Name: "RunMs", Value: 20000, Usage: "the length of the load, in milliseconds"},
			&cli.StringFlag{Name: "Folder", Usage: "where logs and data go; kept for seeds that broke a promise"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			binary, err := os.Executable()
			if err != nil {
				return fmt.Errorf("determine the path of the running executable: %w", err)
			}
			folder := c.String("Folder")
			if folder == "" {
				if folder, err = os.MkdirTemp("", "cyclamenford-soak-"); err != nil {
					return fmt.Errorf("create a temporary folder for the soak: %w", err)
				}
			}
			return soak.Run(ctx, soak.Options{
				Binary: binary, Folder: folder, Seed: c.Uint64("Seed"), Seeds: c.Int("Seeds"), Jobs: max(c.Int("Jobs"), 1),
				Deployment: c.String("Deployment"), Hosts: c.Int("Hosts"), RunMs: core.Millis(c.Int64("RunMs")),
			}, c.Root().Writer)
		},
	}
}
