// Command capacity measures how the memory, processor time and traffic of daemons grow, and
// extrapolates them to the system size of docs/CAPACITY.md:
//
//	go run ./test/capacity [--json FILE]
//
// Every slope is a linear fit over at least three points that this command measures.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"gonum.org/v1/gonum/stat"
)

// slope says how a cost grows with a size.
type slope struct {
	Name string `json:"name"`
	// Unit is the unit of the cost and Per the unit of the size.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Sizes and Costs are the measured points.
	Sizes []float64 `json:"sizes"`
	Costs []float64 `json:"costs"`
	// Each and Fixed are the fitted line: cost = Fixed + Each * size.
	Each  float64 `json:"each"`
	Fixed float64 `json:"fixed"`
}

// measure measures the cost at each size and fits a line.
func measure(name, unit, per string, sizes []int, cost func(n int) float64) slope {
	s := slope{Name: name, Unit: unit, Per: per}
	for _, n := range sizes {
		s.Sizes = append(s.Sizes, float64(n))
		s.Costs = append(s.Costs, cost(n))
	}
	s.Fixed, s.Each = stat.LinearRegression(s.Sizes, s.Costs, nil, false)
	return s
}

// costAt returns the fitted cost at size n.
func (s slope) costAt(n float64) float64 { return s.Fixed + s.Each*n }

func formatPoints(s slope) string {
	var out []string
	for i := range s.Sizes {
		out = append(out, fmt.Sprintf("%g: %.3g", s.Sizes[i], s.Costs[i]))
	}
	return strings.Join(out, ", ")
}

func main() {
	var o struct {
		JSON string `long:"json" description:"also write the slopes to this file"`
	}
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o.JSON); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(file string) error {
	m := memorySlopes()
	p, err := processSlopes()
	if err != nil {
		return err
	}
	b, err := byteSlopes()
	if err != nil {
		return err
	}
	all := append(append(m, b...), p...)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', 0)
	fmt.Fprintln(w, "| slope\t| points\t| each\t| fixed\t|")
	fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t|")
	for _, s := range all {
		fmt.Fprintf(w, "| %s\t| %s\t| %.3g %s per %s\t| %.3g\t|\n", s.Name, formatPoints(s), s.Each, s.Unit, s.Per, s.Fixed)
	}
	w.Flush()
	fmt.Println()
	printProjection(all)
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o644)
}
