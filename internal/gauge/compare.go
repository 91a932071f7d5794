package gauge

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// minSpread is the least difference that counts: the bench calls less noise.
const minSpread = 0.03

// key is what may be compared: one day of one site, with or without processor time.
type key struct {
	Site, Day string
	Free      bool
}

// Figure is one commit's mean of a figure of a day.
type Figure struct {
	Commit string
	Value  float64
	// At is when the commit's first run began, and Runs how many there were.
	At   time.Time
	Runs int
}

// Row is one figure of one day: the latest commit's beside the best ever recorded.
type Row struct {
	Site, Day, Name string
	Quiet, Free     bool
	Latest, Best    Figure
	// Spread is the largest difference between two runs of the day on one commit, at least minSpread.
	Spread float64
}

// Below reports whether the latest value lies below the best by more than the spread.
func (r Row) Below() bool { return r.Best.Value-r.Latest.Value > r.Spread }

// Compare returns the rows of all days, quiet days first.
func Compare(runs []Run) []Row {
	byKey := map[key][]Run{}
	for _, r := range runs {
		k := key{Site: r.Site, Day: r.Day, Free: r.Free}
		byKey[k] = append(byKey[k], r)
	}
	var rows []Row
	for k, list := range byKey {
		for name, value := range map[string]func(Run) float64{"served": served, "worth": worth} {
			rows = append(rows, compareDay(k, name, list, value))
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(compareBool(b.Quiet, a.Quiet), cmp.Compare(a.Site, b.Site), cmp.Compare(a.Day, b.Day), compareBool(a.Free, b.Free), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

func served(r Run) float64 { return r.Served }

func worth(r Run) float64 { return r.Worth }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// compareDay returns the row of one figure of a day. runs are those of the day, the oldest first.
func compareDay(k key, name string, runs []Run, value func(Run) float64) Row {
	row := Row{Site: k.Site, Day: k.Day, Free: k.Free, Name: name, Quiet: runs[0].Quiet, Spread: minSpread, Best: Figure{Value: math.Inf(-1)}}
	byCommit := map[string][]Run{}
	for _, r := range runs {
		byCommit[r.Commit] = append(byCommit[r.Commit], r)
	}
	for commit, list := range byCommit {
		f := Figure{Commit: commit, At: list[0].At, Runs: len(list)}
		least, most := math.Inf(1), math.Inf(-1)
		for _, r := range list {
			f.Value += value(r) / float64(len(list))
			least, most = min(least, value(r)), max(most, value(r))
		}
		row.Spread = max(row.Spread, most-least)
		if f.Value > row.Best.Value {
			row.Best = f
		}
		if f.At.After(row.Latest.At) {
			row.Latest = f
		}
	}
	return row
}

// Write writes the rows as a table, and reports how many lie below the best by more than the spread.
func Write(w io.Writer, rows []Row) (below int, err error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "site\tday\tprocessor time\tfigure\tlatest\ton\tbest\ton\tspread\t") // An error shows at Flush.
	for _, r := range rows {
		mark, charged := "", "charged"
		if r.Below() {
			mark = "below"
			below++
		}
		if r.Free {
			charged = "free"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.3f\t%s\t%.3f\t%s\t%.3f\t%s\n",
			r.Site, r.Day, charged, r.Name, r.Latest.Value, r.Latest.Commit, r.Best.Value, r.Best.Commit, r.Spread, mark)
	}
	return below, table.Flush()
}
