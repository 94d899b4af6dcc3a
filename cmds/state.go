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

// inspectDataFolder reads the data folder that the command line names. A folder that does not exist is a usage error.
func inspectDataFolder(c *cli.Command) (disk.Identity, disk.Contents, error) {
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
			id, contents, err := inspectDataFolder(c)
			if err != nil {
				return err
			}
			last := contents.Snapshot.Index + uint64(len(contents.Entries))
			view := struct {
				Identity      disk.Identity
				Term          uint64
				Vote          string
				SnapshotIndex uint64
				Entries       int
				LastIndex     uint64
				TornBytes     int64
			}{id, contents.HardState.Term, string(contents.HardState.Vote), contents.Snapshot.Index, len(contents.Entries), last, contents.TornBytes}
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
			_, contents, err := inspectDataFolder(c)
			if err != nil {
				return err
			}
			if err := verifyContents(contents); err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "good: snapshot at %d and %d entries\n", contents.Snapshot.Index, len(contents.Entries))
			return nil
		},
	}
}

// verifyContents decodes the snapshot and every log entry, and returns the errors of all that cannot be decoded.
func verifyContents(contents disk.Contents) error {
	var errs []error
	if len(contents.Snapshot.Data) > 0 {
		_, err := state.Restore(contents.Snapshot.Data)
		errs = append(errs, err)
	}
	for _, e := range contents.Entries {
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
			_, contents, err := inspectDataFolder(c)
			if err != nil {
				return err
			}
			if err := verifyContents(contents); err != nil {
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

// copyFolder copies the files of a folder into a new folder, which must not exist yet.
func copyFolder(from, to string) error {
	if err := os.Mkdir(to, 0o750); err != nil {
		return fmt.Errorf("create backup folder: %w", err)
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
