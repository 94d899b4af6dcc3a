package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/core/state"
	"cyclamenford/io/disk"
)

func stateCommand() *cli.Command {
	return &cli.Command{
		Name: "state", Usage: "read a stopped keeper's data folder",
		Commands: []*cli.Command{stateInspect(), stateVerify(), stateBackup()},
	}
}

func openContents(c *cli.Command) (disk.Identity, disk.Contents, error) {
	path, err := term.Argument(c, 0, "FOLDER")
	if err != nil {
		return disk.Identity{}, disk.Contents{}, err
	}
	if _, err := os.Stat(path); err != nil {
		return disk.Identity{}, disk.Contents{}, fmt.Errorf("%w: %w", term.ErrUsage, err)
	}
	folder, err := disk.OpenFolder(path)
	if err != nil {
		return disk.Identity{}, disk.Contents{}, err
	}
	return disk.Inspect(folder)
}

func stateInspect() *cli.Command {
	return &cli.Command{
		Name: "inspect", Usage: "show what a data folder holds", ArgsUsage: "FOLDER",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "Json", Usage: "print JSON for scripts"}},
		Action: func(_ context.Context, c *cli.Command) error {
			id, held, err := openContents(c)
			if err != nil {
				return err
			}
			last := held.Snapshot.Index + uint64(len(held.Entries))
			view := struct {
				Identity      disk.Identity
				Term          uint64
				Vote          string
				SnapshotIndex uint64
				Entries       int
				LastIndex     uint64
				TornBytes     int64
			}{id, held.HardState.Term, string(held.HardState.Vote), held.Snapshot.Index, len(held.Entries), last, held.TornBytes}
			row := []string{
				string(id.Member()), strconv.FormatUint(view.Term, 10), strconv.FormatUint(view.SnapshotIndex, 10),
				strconv.Itoa(view.Entries), strconv.FormatUint(last, 10), strconv.FormatInt(view.TornBytes, 10),
			}
			return term.Show(c, view, []string{"MEMBER", "TERM", "SNAPSHOT", "ENTRIES", "LAST", "TORN BYTES"}, [][]string{row})
		},
	}
}

func stateVerify() *cli.Command {
	return &cli.Command{
		Name: "verify", Usage: "check every record of a data folder", ArgsUsage: "FOLDER",
		Action: func(_ context.Context, c *cli.Command) error {
			_, held, err := openContents(c)
			if err != nil {
				return err
			}
			if err := verifyContents(held); err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "good: snapshot at %d and %d entries\n", held.Snapshot.Index, len(held.Entries))
			return nil
		},
	}
}

func verifyContents(held disk.Contents) error {
	var errs []error
	if len(held.Snapshot.Data) > 0 {
		_, err := state.Restore(held.Snapshot.Data)
		errs = append(errs, err)
	}
	for _, e := range held.Entries {
		if len(e.Data) == 0 {
			continue
		}
		if _, err := state.DecodeCommand(e.Data); err != nil {
			errs = append(errs, fmt.Errorf("entry %d: %w", e.Index, err))
		}
	}
	return errors.Join(errs...)
}

func stateBackup() *cli.Command {
	return &cli.Command{
		Name: "backup", Usage: "copy a verified data folder of a stopped keeper", ArgsUsage: "FOLDER TARGET",
		Action: func(_ context.Context, c *cli.Command) error {
			_, held, err := openContents(c)
			if err != nil {
				return err
			}
			if err := verifyContents(held); err != nil {
				return err
			}
			target, err := term.Argument(c, 1, "FOLDER TARGET")
			if err != nil {
				return err
			}
			if err := copyFolder(c.Args().Get(0), target); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, "copied to", target)
			return nil
		},
	}
}

// copyFolder copies the files of a folder into a new one.
func copyFolder(from, to string) error {
	if err := os.Mkdir(to, 0o750); err != nil {
		return fmt.Errorf("make backup folder: %w", err)
	}
	source, err := disk.OpenFolder(from)
	if err != nil {
		return err
	}
	target, err := disk.OpenFolder(to)
	if err != nil {
		return err
	}
	names, err := source.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		data, err := source.Read(name)
		if err != nil {
			return err
		}
		if err := target.Replace(filepath.Base(name), data); err != nil {
			return err
		}
	}
	return nil
}
