package opers

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/core/tree"
	"cyclamenford/io/admin"
	"cyclamenford/io/oper"
	"cyclamenford/setup"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "check a host's file; read and change the settings tree",
		Commands: []*cli.Command{
			settingsCheck(), settingsList(), settingsGet(), settingsSet(), settingsRemove(),
			settingsHistory(), settingsDiff(), settingsRollback(), settingsWait(), settingsImport(),
		},
	}
}

func settingsCheck() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a host's settings file, or a tree with --Tree, without starting anything", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "Tree", Usage: "the file is a settings tree as import takes it"}},
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := term.Argument(c, 0, "FILE")
			if err != nil {
				return err
			}
			if err := checkFile(path, c.Bool("Tree")); err != nil {
				return fmt.Errorf("%w: %w", term.ErrUsage, err)
			}
			fmt.Fprintln(c.Root().Writer, path, "is valid")
			return nil
		},
	}
}

// checkFile validates a host's settings file, or a settings tree if isTree is set.
func checkFile(path string, isTree bool) error {
	if !isTree {
		_, err := setup.Load(path)
		return err
	}
	docs, order, err := readTree(path)
	if err != nil {
		return err
	}
	t := tree.Tree{}
	for _, p := range order {
		if t, err = t.With(p, docs[p]); err != nil {
			return err
		}
	}
	return t.Check()
}

// readTree reads a JSON file that maps paths to subtrees. It also returns the paths in the order in which they must be
// set: the platform's subtree first, then the others sorted.
func readTree(path string) (map[string]json.RawMessage, []string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings tree: %w", err)
	}
	docs := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &docs); err != nil {
		return nil, nil, fmt.Errorf("decode settings tree %s: %w", path, err)
	}
	order := []string{tree.PlatformPath}
	for _, p := range sortedPaths(docs) {
		if p != tree.PlatformPath {
			order = append(order, p)
		}
	}
	return docs, order, nil
}

func settingsList() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list the subtrees", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			var list []admin.Subtree
			if err := o.Get(ctx, "/v1/settings", &list); err != nil {
				return err
			}
			return showSubtrees(c, list)
		}),
	}
}

func showSubtrees(c *cli.Command, list []admin.Subtree) error {
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{
			s.Path, strconv.FormatUint(s.Version, 10), strconv.FormatUint(s.Revision, 10), s.Author,
			time.UnixMilli(int64(s.UnixMs)).UTC().Format(time.RFC3339),
		})
	}
	return term.Show(c, list, []string{"PATH", "VERSION", "REVISION", "AUTHOR", "TIME"}, rows)
}

func settingsGet() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print a subtree", ArgsUsage: "PATH", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			path, err := term.Argument(c, 0, "PATH")
			if err != nil {
				return err
			}
			var s admin.Subtree
			if err := o.Get(ctx, "/v1/settings/"+path, &s); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().ErrWriter, "version", s.Version, "revision", s.Revision)
			fmt.Fprintln(c.Root().Writer, string(s.Doc))
			return nil
		}),
	}
}

// changeFlags returns the flags of a subcommand that changes a subtree, followed by more.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.Uint64Flag{Name: "Version", Usage: "the `VERSION` that the change replaces", Required: true},
		&cli.StringFlag{Name: "Operation", Usage: "an `ID` that makes a resend harmless; a fresh one by default"},
		&cli.BoolFlag{Name: "Wait", Usage: "wait until the change is in force everywhere"},
	}, more...)...)
}

func settingsSet() *cli.Command {
	return &cli.Command{
		Name: "set", Usage: "replace a subtree by a JSON file, - for standard input", ArgsUsage: "PATH FILE", Flags: changeFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			path, err := term.Argument(c, 0, "PATH FILE")
			if err != nil {
				return err
			}
			file, err := term.Argument(c, 1, "PATH FILE")
			if err != nil {
				return err
			}
			doc, err := term.ReadDoc(file)
			if err != nil {
				return err
			}
			return changeSubtree(ctx, c, o, path, c.Uint64("Version"), doc)
		}),
	}
}

func settingsRemove() *cli.Command {
	return &cli.Command{
		Name: "remove", Usage: "remove a team's subtree", ArgsUsage: "PATH", Flags: changeFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			path, err := term.Argument(c, 0, "PATH")
			if err != nil {
				return err
			}
			return changeSubtree(ctx, c, o, path, c.Uint64("Version"), nil)
		}),
	}
}

// changeSubtree replaces a subtree by doc, or removes it if doc is nil, and prints the result. With --Wait it returns
// only once the change is in force everywhere.
func changeSubtree(ctx context.Context, c *cli.Command, o *oper.Client, path string, version uint64, doc []byte) error {
	opID := c.String("Operation")
	if opID == "" {
		opID = oper.NewOpID()
	}
	a, err := o.SetSettings(ctx, path, version, doc, opID)
	if err != nil {
		return fmt.Errorf("operation %s: %w", opID, err)
	}
	if c.Bool("Wait") {
		if err := o.WaitForRevision(ctx, a.Revision); err != nil {
			return err
		}
	}
	row := []string{string(a.Result), strconv.FormatUint(a.Revision, 10), strconv.FormatUint(a.Version, 10)}
	return term.Show(c, a, []string{"RESULT", "REVISION", "VERSION"}, [][]string{row})
}

func settingsHistory() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the versions of a subtree", ArgsUsage: "PATH", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			path, err := term.Argument(c, 0, "PATH")
			if err != nil {
				return err
			}
			list, err := fetchHistory(ctx, o, path)
			if err != nil {
				return err
			}
			return showSubtrees(c, list)
		}),
	}
}

// fetchHistory returns the stored versions of a subtree.
func fetchHistory(ctx context.Context, o *oper.Client, path string) ([]admin.Subtree, error) {
	var list []admin.Subtree
	err := o.Get(ctx, "/v1/history/"+path, &list)
	return list, err
}

func settingsDiff() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "compare two versions of a subtree line by line", ArgsUsage: "PATH FROM TO", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			path, err := term.Argument(c, 0, "PATH FROM TO")
			if err != nil {
				return err
			}
			list, err := fetchHistory(ctx, o, path)
			if err != nil {
				return err
			}
			from, err := versionArgument(c, 1, list)
			if err != nil {
				return err
			}
			to, err := versionArgument(c, 2, list)
			if err != nil {
				return err
			}
			return printDiff(c.Root().Writer, from.Doc, to.Doc)
		}),
	}
}

// versionArgument returns the version of the list that the n-th argument names.
func versionArgument(c *cli.Command, n int, list []admin.Subtree) (admin.Subtree, error) {
	text, err := term.Argument(c, n, "PATH FROM TO")
	if err != nil {
		return admin.Subtree{}, err
	}
	return findVersion(list, text)
}

func findVersion(list []admin.Subtree, text string) (admin.Subtree, error) {
	for _, s := range list {
		if strconv.FormatUint(s.Version, 10) == text {
			return s, nil
		}
	}
	return admin.Subtree{}, fmt.Errorf("%w: version %q is not in the history", term.ErrUsage, text)
}

func settingsRollback() *cli.Command {
	return &cli.Command{
		Name: "rollback", Usage: "set a subtree to an earlier version's document, as a new version", ArgsUsage: "PATH TO",
		Flags: changeFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			path, err := term.Argument(c, 0, "PATH TO")
			if err != nil {
				return err
			}
			text, err := term.Argument(c, 1, "PATH TO")
			if err != nil {
				return err
			}
			list, err := fetchHistory(ctx, o, path)
			if err != nil {
				return err
			}
			old, err := findVersion(list, text)
			if err != nil {
				return err
			}
			return changeSubtree(ctx, c, o, path, c.Uint64("Version"), old.Doc)
		}),
	}
}

func settingsWait() *cli.Command {
	return &cli.Command{
		Name: "wait", Usage: "wait until a revision is in force everywhere", ArgsUsage: "REVISION", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			text, err := term.Argument(c, 0, "REVISION")
			if err != nil {
				return err
			}
			revision, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return fmt.Errorf("%w: REVISION: %w", term.ErrUsage, err)
			}
			return o.WaitForRevision(ctx, revision)
		}),
	}
}

func settingsImport() *cli.Command {
	return &cli.Command{
		Name: "import", Usage: "set every subtree of a file, whatever versions are there", ArgsUsage: "FILE", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			path, err := term.Argument(c, 0, "FILE")
			if err != nil {
				return err
			}
			docs, order, err := readTree(path)
			if err != nil {
				return fmt.Errorf("%w: %w", term.ErrUsage, err)
			}
			revision, err := o.Import(ctx, docs, order)
			if err != nil {
				return err
			}
			if err := o.WaitForRevision(ctx, revision); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, "revision", revision, "is in force everywhere")
			return nil
		}),
	}
}
