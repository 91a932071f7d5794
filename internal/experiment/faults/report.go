package faults

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// column is one column of the table and of the CSV file.
type column struct {
	name  string
	value func(r Row) string
}

func intColumn(of func(r Row) int) func(Row) string {
	return func(r Row) string { return strconv.Itoa(of(r)) }
}

func secondsColumn(of func(r Row) float64) func(Row) string {
	return func(r Row) string { return strconv.FormatFloat(of(r), 'f', 1, 64) }
}

func columns() []column {
	return []column{
		{"fault", func(r Row) string { return r.Fault }},
		{"injected", intColumn(func(r Row) int { return r.Injected })},
		{"requests", intColumn(func(r Row) int { return r.Requests })},
		{"complete", intColumn(func(r Row) int { return r.Complete })},
		{"cut", intColumn(func(r Row) int { return r.Cut })},
		{"lost", intColumn(func(r Row) int { return r.Lost })},
		{"unanswered", intColumn(func(r Row) int { return r.Unanswered })},
		{"truncated", intColumn(func(r Row) int { return r.Truncated })},
		{"doubled", intColumn(func(r Row) int { return r.Doubled })},
		{"false_not_run", intColumn(func(r Row) int { return r.FalseNotRun })},
		{"mixed", intColumn(func(r Row) int { return r.Mixed })},
		{"crossed", intColumn(func(r Row) int { return r.Crossed })},
		{"not_recovered", func(r Row) string { return orDash(strings.Join(r.NotRecovered, " ")) }},
		{"not_in_force", intColumn(func(r Row) int { return r.NotInForce })},
		{"died", func(r Row) string { return orDash(strings.Join(r.Died, " ")) }},
		{"engine_crashes", intColumn(func(r Row) int { return r.EngineCrashes })},
		{"errors_for_s", secondsColumn(func(r Row) float64 { return r.ErrorSeconds })},
		{"normal_s", secondsColumn(func(r Row) float64 { return r.NormalSeconds })},
		{"in_force_s", secondsColumn(func(r Row) float64 { return r.InForceSeconds })},
		{"refused", func(r Row) string { return orDash(refusals(r.Refused)) }},
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func refusals(counts map[string]int) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}

func (r Row) cells() []string {
	var cells []string
	for _, c := range columns() {
		cells = append(cells, c.value(r))
	}
	return cells
}

func headings() []string {
	var names []string
	for _, c := range columns() {
		names = append(names, c.name)
	}
	return names
}

// WriteTable writes the rows as a table.
func WriteTable(to io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(headings(), "\t")) // Flush returns the error
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(row.cells(), "\t"))
	}
	return errors.Wrap(table.Flush(), "writing the table")
}

// AppendCSV appends the rows to a file, each with the label, the seed and the number of hosts. A new file gets a header row first.
func AppendCSV(path string, o Options, rows []Row) error {
	_, err := os.Stat(path)
	isNew := os.IsNotExist(err)
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening the CSV file")
	}
	out := csv.NewWriter(file)
	if isNew {
		_ = out.Write(append([]string{"label", "seed", "hosts"}, headings()...)) // Writer.Error returns the error
	}
	for _, row := range rows {
		_ = out.Write(append([]string{o.Label, strconv.FormatUint(o.Seed, 10), strconv.Itoa(o.Hosts)}, row.cells()...))
	}
	out.Flush()
	if err := out.Error(); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "writing %s", path)
	}
	return errors.Wrapf(file.Close(), "writing %s", path)
}

// summary is the last line of JSON.
type summary struct {
	Seed   uint64   `json:"seed"`
	Hosts  int      `json:"hosts"`
	Rows   []Row    `json:"rows"`
	Broken []string `json:"broken"`
}

// WriteJSON writes a summary of the rows as one line of JSON.
func WriteJSON(to io.Writer, o Options, rows []Row) error {
	line := summary{Seed: o.Seed, Hosts: o.Hosts, Rows: rows, Broken: broken(rows)}
	return errors.Wrap(json.NewEncoder(to).Encode(line), "writing the JSON summary")
}

// broken returns the broken guarantees of all rows.
func broken(rows []Row) []string {
	list := []string{}
	for _, row := range rows {
		list = append(list, row.Broken()...)
	}
	return list
}
