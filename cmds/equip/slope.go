package equip

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/bench/slope"
)

// slopeSizes are the numbers of following hosts that are measured.
var slopeSizes = []int{3, 8, 32, 128}

func slopeCommand() *cli.Command {
	return &cli.Command{
		Name: "slope", Usage: "measure what control costs at several sizes, for docs/CAPACITY.md (test equipment)",
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := slopeSizesOfMessages(c.Root().Writer); err != nil {
				return err
			}
			return slopeFollowing(ctx, c.Root().Writer)
		},
	}
}

func slopeFollowing(ctx context.Context, w io.Writer) error {
	lines := map[string][]slope.Point{}
	var rows [][]string
	for _, n := range slopeSizes {
		f, err := slope.Follow(ctx, n)
		if err != nil {
			return fmt.Errorf("%d followers: %w", n, err)
		}
		rows = append(rows, []string{
			fmt.Sprint(n), fmt.Sprintf("%.0f", f.IdleBytes), fmt.Sprintf("%.0f", f.ChangeBytes),
			fmt.Sprintf("%.2f", f.IdleCPU), fmt.Sprintf("%.1f", f.ReachMs), fmt.Sprintf("%.0f", f.CallsPerSecond),
		})
		size := float64(n)
		lines["idle CPU, % of a core, all processes"] = append(lines["idle CPU, % of a core, all processes"], slope.Point{Size: size, Value: f.IdleCPU})
		lines["reach, ms"] = append(lines["reach, ms"], slope.Point{Size: size, Value: f.ReachMs})
	}
	header := []string{"FOLLOWERS", "IDLE B/S EACH", "CHANGE B EACH", "IDLE CPU % ALL", "REACH MS", "CALLS/S"}
	if err := term.PrintTable(w, header, rows); err != nil {
		return err
	}
	for name, points := range lines {
		l := slope.Fit(points)
		fmt.Fprintf(w, "%s = %.3f + %.5f x followers\n", name, l.Base, l.Each)
	}
	return nil
}

func slopeSizesOfMessages(w io.Writer) error {
	var rows [][]string
	for _, s := range [][2]int{{0, 0}, {1, 0}, {50, 0}, {0, 5}, {0, 200}, {0, 2300}} {
		n, err := slope.ShareBytes(s[0], s[1])
		if err != nil {
			return err
		}
		rows = append(rows, []string{"message between hosts", fmt.Sprintf("%d announcements, %d organisations", s[0], s[1]), fmt.Sprint(n)})
	}
	for _, s := range [][2]int{{0, 0}, {100, 0}, {2300, 0}, {0, 1000}, {0, 10000}} {
		n, err := slope.SnapshotBytes(s[0], s[1])
		if err != nil {
			return err
		}
		rows = append(rows, []string{"snapshot", fmt.Sprintf("%d teams, %d calls", s[0], s[1]), fmt.Sprint(n)})
	}
	return term.PrintTable(w, []string{"WHAT", "SIZE", "BYTES"}, rows)
}
