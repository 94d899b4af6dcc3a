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

// printDiff prints the removed and added lines between two documents, found by their longest common subsequence.
func printDiff(w io.Writer, from, to []byte) error {
	a, b := indentedLines(from), indentedLines(to)
	common := commonSubsequenceLengths(a, b)
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

// commonSubsequenceLengths returns a table whose element [i][j] is the length of the longest common subsequence of
// a[i:] and b[j:].
func commonSubsequenceLengths(a, b []string) [][]int {
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

// indentedLines returns the lines of an indented JSON document. A document that is not JSON is split as it is.
func indentedLines(doc []byte) []string {
	var b bytes.Buffer
	if json.Indent(&b, doc, "", "  ") != nil {
		return strings.Split(string(doc), "\n")
	}
	return strings.Split(b.String(), "\n")
}
