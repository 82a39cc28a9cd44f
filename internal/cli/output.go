package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// printJSON writes a value as indented JSON.
func (g *globals) printJSON(v any) error {
	e := json.NewEncoder(g.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes rows in aligned columns, the header first.
func (g *globals) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(g.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}
