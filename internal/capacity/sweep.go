package capacity

import (
	"encoding/csv"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Sweep holds the results of one day of a deployment that was run at several sizes: the resource usage of the processes of each role, and the quality
// of service of the fleet.
type Sweep struct {
	// Name is the deployment's name, from the file's name. Remarks are the lines of the file that start with #.
	Name    string
	Remarks []string
	Series  []SweepSeries
}

// SweepSeries is one metric of one role by the number of hosts.
type SweepSeries struct {
	// Role is the role of the processes, or "fleet" for metrics of the fleet as a whole.
	Role string
	What string
	Unit string
	// Points are ordered by size, smallest first.
	Points []SweepPoint
}

// SweepPoint holds the values of the median and of the busiest process of a role at a number of hosts. For the fleet they are the same.
type SweepPoint struct {
	Hosts           float64
	Middle, Busiest float64
}

// SweepFolder is the subfolder of the sweeps in the folder of measurements.
const SweepFolder = "sweep"

// sweepColumns are the columns of a sweep file.
var sweepColumns = []string{"role", "what", "unit", "hosts", "middle", "busiest"}

// ReadSweeps reads all sweeps of a folder, ordered by name.
func ReadSweeps(folder string) ([]Sweep, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.csv"))
	if err != nil {
		return nil, errors.Wrap(err, "listing the sweeps")
	}
	sort.Strings(names)
	var sweeps []Sweep
	for _, name := range names {
		s, err := readSweep(name)
		if err != nil {
			return nil, errors.Wrapf(err, "reading the sweep %s", filepath.Base(name))
		}
		sweeps = append(sweeps, s)
	}
	return sweeps, nil
}

func readSweep(path string) (Sweep, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Sweep{}, err
	}
	s := Sweep{Name: fileOf(path)}
	var table []string
	for _, line := range strings.Split(string(raw), "\n") {
		if remark, found := strings.CutPrefix(line, "# "); found {
			s.Remarks = append(s.Remarks, remark)
			continue
		}
		table = append(table, line)
	}
	rows, err := csv.NewReader(strings.NewReader(strings.Join(table, "\n"))).ReadAll()
	if err != nil {
		return Sweep{}, err
	}
	if len(rows) == 0 || strings.Join(rows[0], ",") != strings.Join(sweepColumns, ",") {
		return Sweep{}, errors.Errorf("columns must be %s", strings.Join(sweepColumns, ","))
	}
	for _, row := range rows[1:] {
		if err := s.add(row); err != nil {
			return Sweep{}, err
		}
	}
	return s, nil
}

// add adds one row of the file. Rows of one series are adjacent, smallest size first.
func (s *Sweep) add(row []string) error {
	var values [3]float64
	for i := range values {
		v, err := strconv.ParseFloat(row[3+i], 64)
		if err != nil {
			return errors.Wrapf(err, "%s, %s", row[0], row[1])
		}
		values[i] = v
	}
	n := len(s.Series)
	if n == 0 || s.Series[n-1].Role != row[0] || s.Series[n-1].What != row[1] {
		s.Series = append(s.Series, SweepSeries{Role: row[0], What: row[1], Unit: row[2]})
		n++
	}
	last := &s.Series[n-1]
	last.Points = append(last.Points, SweepPoint{Hosts: values[0], Middle: values[1], Busiest: values[2]})
	return nil
}

// line returns the least-squares line through the values of the median or of the busiest processes.
func (s SweepSeries) line(value func(SweepPoint) float64) Line {
	var series Series
	for _, p := range s.Points {
		series.Points = append(series.Points, Point{Size: p.Hosts, Value: value(p)})
	}
	return series.Fit()
}

// growthExponent returns the exponent of the power of the number of hosts by which the busiest process grows, from the smallest size to the largest.
func (s SweepSeries) growthExponent() float64 {
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	if first.Busiest <= 0 || last.Busiest <= 0 || first.Hosts == last.Hosts {
		return math.NaN()
	}
	return math.Log(last.Busiest/first.Busiest) / math.Log(last.Hosts/first.Hosts)
}

// middle and busiest return a value of a point.
func middle(p SweepPoint) float64  { return p.Middle }
func busiest(p SweepPoint) float64 { return p.Busiest }
