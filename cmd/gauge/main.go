// Command gauge sets the latest figures of each day of the users' bench beside the best ever recorded, from the bench's journal. It exits with 1
// if one lies below its best by more than the spread of its runs.
package main

import (
	"flag"
	"fmt"
	"os"

	"samphireweir.example/samphireweir/internal/gauge"
)

func main() {
	journal := flag.String("journal", "journal", "directory of the bench's journal")
	plot := flag.String("plot", "", "SVG file for a plot of the quiet days over time; empty for none")
	flag.Parse()
	below, err := run(*journal, *plot)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if below > 0 {
		fmt.Fprintf(os.Stderr, "%d figures lie below their best by more than the spread\n", below)
		os.Exit(1)
	}
}

// run prints the table, draws the plot and returns the number of figures below their best.
func run(journal, plot string) (below int, err error) {
	runs, err := gauge.Read(journal)
	if err != nil {
		return 0, err
	}
	if plot != "" {
		if err := gauge.Draw(runs, plot); err != nil {
			return 0, err
		}
	}
	return gauge.Write(os.Stdout, gauge.Compare(runs))
}
