package opers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

func sortedPaths(docs map[string]json.RawMessage) []string {
	return slices.Sorted(maps.Keys(docs))
}

// printDiff prints the lines that two documents do not share, by their longest common subsequence.
func printDiff(w io.Writer, from, to []byte) error {
	a, b := lines(from), lines(to)
	common := commonLengths(a, b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		var err error
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			_, err = fmt.Fprintln(w, "-", a[i])
			i++
		default:
			_, err = fmt.Fprintln(w, "+", b[j])
			j++
		}
		if err != nil {
			return fmt.Errorf("print difference: %w", err)
		}
	}
	return nil
}

func commonLengths(a, b []string) [][]int {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return common
}

// lines returns a document in its standard form, line by line.
func lines(doc []byte) []string {
	var b bytes.Buffer
	if json.Indent(&b, doc, "", "  ") != nil {
		return strings.Split(string(doc), "\n")
	}
	return strings.Split(b.String(), "\n")
}
