// Command capacity prints docs/CAPACITY.md from the sweeps in docs/data/sweep. With -first it prints
// docs/CAPACITY-FIRST.md from the other measurements in docs/data.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"samphireweir.example/samphireweir/internal/capacity"
)

func main() {
	data := flag.String("data", "docs/data", "directory of the measurements")
	first := flag.Bool("first", false, "print docs/CAPACITY-FIRST.md, on the first version of the product")
	flag.Parse()
	page, err := renderPage(*data, *first)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(page)
}

// renderPage returns the page from the measurements in the directory data.
func renderPage(data string, first bool) (string, error) {
	if first {
		all, err := capacity.ReadAll(data)
		return capacity.Page(all), err
	}
	sweeps, err := capacity.ReadSweeps(filepath.Join(data, capacity.SweepFolder))
	return capacity.SweepPage(sweeps), err
}
