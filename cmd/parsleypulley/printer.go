package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer prints the output of commands.
type printer struct {
	out io.Writer
	// json selects JSON as the output format instead of tables and text.
	json bool
}

// printValue prints v as JSON or, if the output format is not JSON, calls table to
// print it.
func (p *printer) printValue(v any, table func(io.Writer)) error {
	if !p.json {
		table(p.out)
		return nil
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable prints lines in aligned columns under a header.
func printTable(w io.Writer, header []string, lines [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, line := range lines {
		fmt.Fprintln(table, strings.Join(line, "\t"))
	}
	_ = table.Flush() // errors of the output are ignored, as for other prints
}
