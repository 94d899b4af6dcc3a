package equip

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/bench/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send open-loop load from a scenario file and report what callers got (test equipment)", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "Report", Usage: "write the report as JSON to `FILE`"},
			&cli.StringFlag{Name: "Plot", Usage: "draw the run to a PNG `FILE`"},
			&cli.Float64Flag{Name: "Rate", Usage: "replace the scenario's `RATE` a second"},
		},
		Commands: []*cli.Command{compareCommand()},
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := term.Argument(c, 0, "FILE")
			if err != nil {
				return err
			}
			s, err := load.ReadScenario(path)
			if err != nil {
				return fmt.Errorf("%w: %w", term.ErrUsage, err)
			}
			if rate := c.Float64("Rate"); rate > 0 {
				s.Rate = rate
			}
			r, err := load.Run(ctx, s, c.Root().ErrWriter)
			if err != nil {
				return err
			}
			return outputReport(c, r)
		},
	}
}

// outputReport prints a report and writes it to the files that --Report and --Plot name.
func outputReport(c *cli.Command, r *load.Report) error {
	if err := printReport(c, r); err != nil {
		return err
	}
	if path := c.String("Report"); path != "" {
		if err := r.Save(path); err != nil {
			return err
		}
	}
	if path := c.String("Plot"); path != "" {
		return r.Plot(path)
	}
	return nil
}

func printReport(c *cli.Command, r *load.Report) error {
	w := c.Root().Writer
	var rows [][]string
	for _, x := range r.Rows {
		rows = append(rows, []string{
			x.Kind, x.Name, fmt.Sprint(x.Sent), fmt.Sprintf("%.4f", x.Attainment()), fmt.Sprint(x.Refused), fmt.Sprint(x.Late),
			fmt.Sprint(x.Failed), fmt.Sprint(x.Unknown), fmt.Sprint(x.NoReply),
			fmt.Sprintf("%.0f/%.0f", x.First.P50, x.First.P95), fmt.Sprintf("%.0f/%.0f", x.Gap.P50, x.Gap.P95),
			fmt.Sprintf("%.0f/%.0f", x.Whole.P50, x.Whole.P95),
		})
	}
	header := []string{"KIND", "NAME", "SENT", "IN TIME", "REFUSED", "LATE", "FAILED", "UNKNOWN", "NO REPLY", "FIRST MS", "GAP MS", "WHOLE MS"}
	if err := term.PrintTable(w, header, rows); err != nil {
		return err
	}
	rows = nil
	for _, s := range r.Stages {
		rows = append(rows, []string{s.Name, fmt.Sprint(s.Runs), fmt.Sprintf("%.1f", s.MeanMs), fmt.Sprint(s.Attempts)})
	}
	fmt.Fprintf(w, "\nJain's index over the teams' attainment: %.4f\n", r.Fairness)
	fmt.Fprintf(w, "not answered: %v\n", r.Reasons)
	for _, detail := range r.Details {
		fmt.Fprintln(w, " ", detail)
	}
	fmt.Fprintln(w)
	return term.PrintTable(w, []string{"STAGE", "RUNS", "MEAN MS", "ATTEMPTS"}, rows)
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "print the ratios of two reports, the second to the first", ArgsUsage: "REPORT REPORT",
		Action: func(_ context.Context, c *cli.Command) error {
			var reports [2]*load.Report
			for i := range reports {
				path, err := term.Argument(c, i, "REPORT REPORT")
				if err != nil {
					return err
				}
				if reports[i], err = load.ReadReport(path); err != nil {
					return fmt.Errorf("%w: %w", term.ErrUsage, err)
				}
			}
			return printComparison(c, reports[0], reports[1])
		},
	}
}

// printComparison prints the ratios of report b to report a for the rows that both have.
func printComparison(c *cli.Command, a, b *load.Report) error {
	var rows [][]string
	for _, x := range a.Rows {
		for _, y := range b.Rows {
			if x.Kind != y.Kind || x.Name != y.Name {
				continue
			}
			rows = append(rows, []string{
				x.Kind, x.Name, formatRatio(y.Attainment(), x.Attainment()), formatRatio(y.First.P95, x.First.P95),
				formatRatio(y.Whole.P50, x.Whole.P50), formatRatio(y.Whole.P95, x.Whole.P95), formatRatio(y.Whole.P99, x.Whole.P99),
			})
		}
	}
	return term.PrintTable(c.Root().Writer, []string{"KIND", "NAME", "IN TIME", "FIRST P95", "WHOLE P50", "WHOLE P95", "WHOLE P99"}, rows)
}

// formatRatio formats b/a, or returns "-" if a is 0.
func formatRatio(b, a float64) string {
	if a == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", b/a)
}
