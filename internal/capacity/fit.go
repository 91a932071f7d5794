package capacity

import (
	"math"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
)

// Point is one measured value at a size.
type Point struct{ Size, Value float64 }

// Series holds the measured values of one metric.
type Series struct {
	// Group distinguishes series of the same metric; empty if there is only one.
	Group  string
	Metric string
	Points []Point
}

// Line is a straight line through points: Value = Base + Slope*Size.
type Line struct {
	Base, Slope float64
	// R2 is the fraction of the variance that the line explains, from 0 to 1.
	R2 float64
	// MaxDeviation is the largest distance of a point from the line, relative to the point's value.
	MaxDeviation float64
	// MaxSize is the largest measured size.
	MaxSize float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// minSizes is the minimum number of sizes for a line.
const minSizes = 3

// Sizes returns the number of measured sizes.
func (s Series) Sizes() int { return len(s.Medians()) }

// Runs returns the number of values of the size that has the fewest.
func (s Series) Runs() int {
	counts := map[float64]int{}
	for _, p := range s.Points {
		counts[p.Size]++
	}
	minRuns := len(s.Points)
	for _, n := range counts {
		minRuns = min(minRuns, n)
	}
	return minRuns
}

func (s Series) name() string {
	if s.Group == "" {
		return s.Metric
	}
	return s.Group + ": " + s.Metric
}

// Medians returns the median value at each size, ordered by size.
func (s Series) Medians() []Point {
	bySize := map[float64][]float64{}
	for _, p := range s.Points {
		bySize[p.Size] = append(bySize[p.Size], p.Value)
	}
	var list []Point
	for size, values := range bySize {
		sort.Float64s(values)
		n := len(values)
		list = append(list, Point{size, (values[(n-1)/2] + values[n/2]) / 2})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Size < list[j].Size })
	return list
}

// Fit returns the least-squares line through the medians.
func (s Series) Fit() Line {
	points := s.Medians()
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	l := Line{Base: sy / n, R2: 1}
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
		l.Base = (sy - l.Slope*sx) / n
	}
	l.setQuality(points, sy/n)
	return l
}

func (l *Line) setQuality(points []Point, mean float64) {
	var residual, all float64
	for _, p := range points {
		d := p.Value - l.At(p.Size)
		residual += d * d
		all += (p.Value - mean) * (p.Value - mean)
		if p.Value != 0 {
			l.MaxDeviation = math.Max(l.MaxDeviation, math.Abs(d/p.Value))
		}
		l.MaxSize = math.Max(l.MaxSize, p.Size)
	}
	if all > 0 {
		l.R2 = 1 - residual/all
	}
}

// Measurements holds the series of all files of a folder, by the file's name without its extension and by the series' name.
type Measurements map[string]map[string]Series

// ReadAll reads every file of a folder by its layout. Files with other columns are skipped.
func ReadAll(folder string) (Measurements, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.csv"))
	if err != nil {
		return nil, errors.Wrap(err, "listing the measurements")
	}
	all := Measurements{}
	for _, name := range names {
		series, err := ReadSeries(name)
		if err != nil {
			continue
		}
		all[fileOf(name)] = series
	}
	return all, nil
}
