package burst

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"sort"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth      = 16 * vg.Centimeter
	plotHeight     = 10 * vg.Centimeter
	plottedVersion = "v1"
	// scaleMargin is the factor by which the logarithmic host axis extends beyond the smallest and largest number.
	scaleMargin = 1.1
)

// figure is one plot: a column of the file over the number of hosts, with one line per variant.
type figure struct {
	file, title, column string
	variants            []string
	// maxY limits the vertical axis, so that a baseline with far higher values does not flatten the other lines; 0 for
	// no limit.
	maxY float64
}

var figures = []figure{
	{"burst-time.svg", "Time until all serve / (size / link rate of a host)", "time_ratio", []string{"origin", "time", "swarm", "direct"}, 4},
	{"burst-p90.svg", "The same for the 90th percentile of the hosts", "p90_ratio", []string{"origin", "time", "swarm", "direct"}, 4},
	{"burst-origin.svg", "Copies drawn from the origin", "origin_copies", []string{"origin", "time", "swarm", "direct"}, 10},
	{"burst-regions.svg", "Copies that crossed between regions", "between_regions", []string{"origin", "time"}, 0},
	{"burst-control.svg", "Bytes of announcements a host sends in a burst", "control_bytes", []string{"origin", "time", "swarm"}, 0},
}

// drawAll draws all figures from the CSV file into a directory, which it creates if necessary.
func drawAll(path, dir string) error {
	rows, err := readRows(path)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "creating the directory of the plots")
	}
	for _, f := range figures {
		if err := f.draw(rows, filepath.Join(dir, f.file)); err != nil {
			return err
		}
	}
	return nil
}

// cells holds one row's cells by column name.
type cells map[string]string

func readRows(path string) ([]cells, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "opening the results")
	}
	defer func() { _ = file.Close() }()
	lines, err := csv.NewReader(file).ReadAll()
	if err != nil || len(lines) == 0 {
		return nil, errors.Errorf("reading %s: %d lines, %v", path, len(lines), err)
	}
	var rows []cells
	for _, line := range lines[1:] {
		row := cells{}
		for i, name := range lines[0] {
			row[name] = line[i]
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (f figure) draw(rows []cells, path string) error {
	p := plot.New()
	p.Title.Text = f.title
	p.X.Label.Text = "hosts"
	p.X.Scale = plot.LogScale{}
	ticks := hostTicks(rows)
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.Legend.Top = true
	p.Legend.Left = true
	for i, name := range f.variants {
		points := medians(rows, name, f.column)
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrapf(err, "plotting %s", name)
		}
		line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
		marks.Shape = plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(name, line, marks)
	}
	for _, t := range ticks {
		p.X.Min = min(p.X.Min, t.Value/scaleMargin)
		p.X.Max = max(p.X.Max, t.Value*scaleMargin)
	}
	p.Y.Min = 0
	if f.maxY > 0 {
		p.Y.Max = min(p.Y.Max, f.maxY)
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "writing %s", path)
}

// hostTicks returns one tick for each number of hosts.
func hostTicks(rows []cells) []plot.Tick {
	seen := map[string]bool{}
	var ticks []plot.Tick
	for _, r := range rows {
		value, err := strconv.ParseFloat(r["hosts"], 64)
		if err != nil || seen[r["hosts"]] {
			continue
		}
		seen[r["hosts"]] = true
		ticks = append(ticks, plot.Tick{Value: value, Label: r["hosts"]})
	}
	return ticks
}

// medians returns the median of a column over the runs of a variant that reached all hosts, for each number of hosts.
func medians(rows []cells, variant, column string) plotter.XYs {
	values := map[float64][]float64{}
	for _, r := range rows {
		if r["variant"] != variant || r["version"] != plottedVersion {
			continue
		}
		hosts, err := strconv.ParseFloat(r["hosts"], 64)
		value, err2 := strconv.ParseFloat(r[column], 64)
		if err != nil || err2 != nil || value == ratioNotMeasured {
			continue
		}
		values[hosts] = append(values[hosts], value)
	}
	var points plotter.XYs
	for hosts, list := range values {
		points = append(points, plotter.XY{X: hosts, Y: median(list)})
	}
	sort.Slice(points, func(i, j int) bool { return points[i].X < points[j].X })
	return points
}

// median sorts the list and returns its middle value; for an even number of values, the mean of the middle two.
func median(list []float64) float64 {
	sort.Float64s(list)
	n := len(list)
	if n%2 == 1 {
		return list[n/2]
	}
	return (list[n/2-1] + list[n/2]) / 2
}
