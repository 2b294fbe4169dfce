// Command measure compares the router's decisions with baselines in seeded simulations and
// prints the tables of docs/MEASURES.md:
//
//	go run ./test/measure [--json FILE] [--only cost|exposure|latency|limits]
//
// The decisions come from the router's own packages. Engines, ratings and callers are
// simulated in this directory. Everything runs in virtual time, except the measurement of the
// queue, which runs in real time.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

// table is one table of results.
type table struct {
	Name    string     `json:"name"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.3g", v)
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.Rows = append(t.Rows, row)
}

func (t table) print() {
	fmt.Printf("\n## %s\n\n", t.Name)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', 0)
	dashes := make([]string, len(t.Columns))
	for i := range dashes {
		dashes[i] = "---"
	}
	for _, row := range append([][]string{t.Columns, dashes}, t.Rows...) {
		fmt.Fprintln(w, "| "+strings.Join(row, "\t| ")+"\t|")
	}
	w.Flush()
}

func main() {
	var o struct {
		JSON string `long:"json" description:"also write the tables to this file"`
		Only string `long:"only" description:"only this part"`
	}
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	parts := []struct {
		name string
		run  func() []table
	}{{"cost", measureCost}, {"exposure", measureExposure}, {"latency", measureLatency}, {"limits", measureLimits}}
	var tables []table
	for _, p := range parts {
		if o.Only != "" && o.Only != p.name {
			continue
		}
		for _, t := range p.run() {
			t.print()
			tables = append(tables, t)
		}
	}
	if o.JSON == "" {
		return
	}
	data, err := json.MarshalIndent(tables, "", "  ")
	if err == nil {
		err = os.WriteFile(o.JSON, data, 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
