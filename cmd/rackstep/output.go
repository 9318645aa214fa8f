// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// table writes plain lines and aligned rows.
type table struct{ w *tabwriter.Writer }

func (t *table) line(format string, args ...any) {
	_ = t.w.Flush() // align the rows before the line independently of those after it
	fmt.Fprintf(t.w, format+"\n", args...)
	_ = t.w.Flush()
}

func (t *table) header(names ...string) {
	_ = t.w.Flush()
	fmt.Fprintln(t.w, strings.Join(names, "\t"))
}

func (t *table) row(values ...any) {
	for i, v := range values {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, v)
	}
	fmt.Fprintln(t.w)
}

// printAnswer prints the answer in the format of the flag --output: as JSON, or as the table that asTable writes.
func printAnswer(c *cli.Command, answer any, asTable func(*table)) error {
	switch format := c.String("output"); format {
	case "json":
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(answer)
	case "table":
		t := &table{tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)}
		asTable(t)
		return t.w.Flush()
	default:
		return cli.Exit(fmt.Sprintf("output %q is not known; use table or json", format), exitUsage)
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[int]V) []int { return slices.Sorted(maps.Keys(m)) }
