package capacity

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// layout describes the columns of a file of measurements. Each experiment writes its own columns.
type layout struct {
	// size is the column with the size, the x axis of the line.
	size string
	// group returns the group of a row, which together with the metric identifies its series.
	group func(row map[string]string) string
	// metrics are the columns with values. If empty, each row has the columns metric and value.
	metrics []string
	// conditions describes under which conditions the values were measured.
	conditions string
}

func noGroup(map[string]string) string { return "" }

// byColumns returns a function that joins the values of some columns.
func byColumns(names ...string) func(map[string]string) string {
	return func(row map[string]string) string {
		var parts []string
		for _, name := range names {
			parts = append(parts, row[name])
		}
		return strings.Join(parts, ", ")
	}
}

// Names of the files of measurements, without their extension.
const (
	settingsFile = "settings"
	claimsFile   = "claims"
	ordersFile   = "orders"
	routingFile  = "routing"
	faultsFile   = "faults"
	burstsFile   = "bursts"
)

var layouts = map[string]layout{
	settingsFile: {
		size: "processes", group: noGroup,
		conditions: "One run a size, 9 changes each, under the lock, on 12 cores at a load average of 29 to 45. Processes idle but for the changes.",
	},
	claimsFile: {
		size: "claims_per_s", group: claimsGroup, metrics: []string{"writes_per_s", "p50_ms", "p99_ms", "conflicts_per_s", "outage_p99_ms"},
		conditions: "Six entries in one process and the object API's stand-in with 3 ms a call, 2 or 3 s each, under the machine's lock for measurements; other work went on all the same.",
	},
	ordersFile: {
		size: "engines", group: ordersGroup, metrics: []string{"writes", "conflicts", "reads"},
		conditions: "Counts of calls only, means of two rollouts on a busy machine (load 25 to 50 on 12 cores); one row a size.",
	},
	routingFile: {
		size: "load", group: byColumns("scenario", "variant"),
		conditions: "One run (seed 1) of each, on a machine that other work shared (load 12 to 14 on 12 cores); rows marked trial at a load of about 30.",
	},
	faultsFile: {
		size: "hosts", group: byColumns("fault"), metrics: []string{"errors_for_s", "normal_s", "in_force_s"},
		conditions: "One run of each fault, 6 hosts on one machine; no line.",
	},
	burstsFile: {
		size: "hosts", group: byColumns("variant", "version"),
		metrics:    []string{"time_ratio", "origin_copies", "between_places", "slow_p95_ratio", "control_bytes", "control_messages", "processor_seconds", "memory_mb"},
		conditions: "All hosts on one machine that other work shared; processor and copy times are no better than that.",
	},
}

func claimsGroup(row map[string]string) string {
	limit := "no limit of writes"
	if row["writes_limit_per_s"] != "0" {
		limit = row["writes_limit_per_s"] + " writes a second at most"
	}
	return row["way"] + ", each " + row["interval_ms"] + " ms, " + limit
}

// ordersGroup separates rows by the fraction of the engines that may be out of service.
func ordersGroup(row map[string]string) string {
	engines, _ := strconv.Atoi(row["engines"])
	out, _ := strconv.Atoi(row["max_unavailable"])
	if out == 0 {
		return row["variant"]
	}
	return row["variant"] + ", 1 in " + strconv.Itoa(engines/out) + " out of service"
}

// layoutOf returns the layout of a file. Unknown files have the columns size, metric and value.
func layoutOf(file string) layout {
	if l, known := layouts[file]; known {
		return l
	}
	if strings.HasPrefix(file, burstsFile) {
		return layouts[burstsFile]
	}
	return layout{size: "size", group: noGroup}
}

// ReadSeries reads a file of measurements by its layout. Lines that start with # are comments.
func ReadSeries(name string) (map[string]Series, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "opening the measurements")
	}
	r := csv.NewReader(bufio.NewReader(bytes.NewReader(raw)))
	r.Comment = '#'
	rows, err := r.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "reading the measurements")
	}
	return layoutOf(fileOf(name)).series(rows)
}

func fileOf(name string) string { return strings.TrimSuffix(filepath.Base(name), ".csv") }

func (l layout) series(rows [][]string) (map[string]Series, error) {
	found := map[string]Series{}
	for i := 1; i < len(rows); i++ {
		row := map[string]string{}
		for c, column := range rows[0] {
			row[column] = rows[i][c]
		}
		if err := l.add(found, row); err != nil {
			return nil, errors.Wrapf(err, "row %d", i+1)
		}
	}
	return found, nil
}

func (l layout) add(found map[string]Series, row map[string]string) error {
	size, err := strconv.ParseFloat(row[l.size], 64)
	if err != nil {
		return errors.Wrapf(err, "column %s", l.size)
	}
	values := map[string]string{row["metric"]: row["value"]}
	if len(l.metrics) > 0 {
		values = map[string]string{}
		for _, metric := range l.metrics {
			values[metric] = row[metric]
		}
	}
	for metric, text := range values {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Wrapf(err, "metric %s", metric)
		}
		s := Series{Group: l.group(row), Metric: metric}
		if known, exists := found[s.name()]; exists {
			s = known
		}
		s.Points = append(s.Points, Point{size, value})
		found[s.name()] = s
	}
	return nil
}
