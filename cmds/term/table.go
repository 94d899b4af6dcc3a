package term

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// PrintTable prints a header and rows in aligned columns.
func PrintTable(w io.Writer, header []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
