// Command faults sends requests through real daemons while a fault is injected, for one fault
// after the other, and compares afterwards what the callers, the engines and the ledger have
// recorded:
//
//	go run ./test/faults [--json FILE] [--seconds N] [--only NAME]
//
// It exits with 1 if a request was lost, executed twice, cut or wrongly reported, or if a bill
// is missing or duplicated.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

type options struct {
	JSON    string  `long:"json" description:"also write the rows to this file"`
	Seconds float64 `long:"seconds" default:"4" description:"length of the load for each fault"`
	Only    string  `long:"only" description:"only the faults whose names contain this"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "hornbeamsill-faults")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := cluster.Build(dir)
	if err != nil {
		return err
	}
	var rows []result
	for _, f := range faults {
		if !strings.Contains(f.name, o.Only) {
			continue
		}
		r, err := runTrial(bin, f, time.Duration(o.Seconds*float64(time.Second)))
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		rows = append(rows, r)
		fmt.Fprintf(os.Stderr, "%s: done\n", f.name)
	}
	printTable(rows)
	if o.JSON != "" {
		data, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.JSON, data, 0o644); err != nil {
			return err
		}
	}
	for _, r := range rows {
		if r.violated() {
			return fmt.Errorf("guarantees were violated under the fault %q", r.Fault)
		}
	}
	return nil
}

func printTable(rows []result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FAULT\tASKED\tWHOLE\tNOT RUN\tUNKNOWN\tLOST\tDOUBLED\tCUT\tMISREPORTED\tBILLS MISSING\tBILLS DOUBLED")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Fault, r.Asked, r.Whole, r.NotRun, r.Unknown,
			r.Lost, r.Doubled, r.Cut, r.Misreported, r.BillsMissing, r.BillsDoubled)
	}
	w.Flush()
}
