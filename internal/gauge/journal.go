// Package gauge compares the days of the users' bench, as its journal has them, with the best ever recorded for each day, so that a loss over several
// changes shows that is too small to show in each.
package gauge

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// noProcessorTime is the argument with which a run charges no processor time. Such runs are compared with each other only.
const noProcessorTime = "--no-cpu"

// Run is one play of a day.
type Run struct {
	Site, Day string
	// Quiet is set for a day without disruptions.
	Quiet bool
	// Free is set if no processor time was charged.
	Free   bool
	Commit string
	At     time.Time
	Seed   int64
	// Served is the share of requests that were served, and Worth that of the payoff that was earned.
	Served, Worth float64
}

// entry is the form of an entry of the journal, as far as it is read.
type entry struct {
	Command   string   `json:"cmd"`
	Arguments []string `json:"argv"`
	Head      string   `json:"head"`
	Dirty     bool     `json:"dirty"`
	Site      string   `json:"site"`
	// At holds the times of the begin and the end; the end is empty in an entry that was not finished.
	At   []string     `json:"at"`
	Days []journalDay `json:"days"`
}

// journalDay is the form of a day of an entry.
type journalDay struct {
	Name   string  `json:"name"`
	Kind   string  `json:"kind"`
	Seed   int64   `json:"seed"`
	Worth  float64 `json:"G"`
	Served float64 `json:"served"`
}

// quietKind is the kind of days without disruptions.
const quietKind = "quiet"

// standardDay matches the names of the days that a site's score has each time.
var standardDay = regexp.MustCompile(`^(quiet|trouble|scale)-[0-9]+$`)

// Read returns the runs of standard days on committed code, the oldest first.
func Read(directory string) ([]Run, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "listing the journal")
	}
	var runs []Run
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "reading the journal")
		}
		var e entry
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, errors.Wrapf(err, "decoding %s", filepath.Base(path))
		}
		runs = append(runs, e.runs()...)
	}
	slices.SortStableFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	return runs, nil
}

// runs returns the runs of an entry that can be compared: of standard days, on committed code.
func (e entry) runs() []Run {
	if e.Dirty || e.Site == "" || len(e.At) == 0 || e.Command != "score" && e.Command != "run" {
		return nil
	}
	at, err := time.Parse(time.RFC3339, e.At[0])
	if err != nil {
		return nil
	}
	var runs []Run
	for _, d := range e.Days {
		if !standardDay.MatchString(d.Name) {
			continue
		}
		runs = append(runs, Run{
			Site: e.Site, Day: d.Name, Quiet: d.Kind == quietKind, Free: slices.Contains(e.Arguments, noProcessorTime),
			Commit: e.Head[:min(len(e.Head), shownCommit)], At: at, Seed: d.Seed, Served: d.Served, Worth: d.Worth,
		})
	}
	return runs
}

// shownCommit is the number of digits of a commit that are shown.
const shownCommit = 8
