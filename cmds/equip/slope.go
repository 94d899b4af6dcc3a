package equip

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/bench/slope"
)

// followerCounts lists the numbers of following hosts at which control costs are measured.
var followerCounts = []int{3, 8, 32, 128}

func slopeCommand() *cli.Command {
	return &cli.Command{
		Name: "slope", Usage: "measure what control costs at several sizes, for docs/CAPACITY.md (test equipment)",
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := printMessageSizes(c.Root().Writer); err != nil {
				return err
			}
			return printFollowingCosts(ctx, c.Root().Writer)
		},
	}
}

// printFollowingCosts measures the cost of replicating the control state to followers and fits idle CPU time and reach
// linearly to their number.
func printFollowingCosts(ctx context.Context, w io.Writer) error {
	lines := map[string][]slope.Point{}
	var rows [][]string
	for _, n := range followerCounts {
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

// printMessageSizes prints the encoded size of messages between hosts and of snapshots for several amounts of content.
func printMessageSizes(w io.Writer) error {
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
