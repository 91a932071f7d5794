package gauge

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Draw plots the worth of the quiet days of each site over time, with processor time charged, into an SVG file.
func Draw(runs []Run, path string) error {
	bySite := map[string]plotter.XYs{}
	for _, r := range runs {
		if r.Quiet && !r.Free {
			bySite[r.Site] = append(bySite[r.Site], plotter.XY{X: float64(r.At.Unix()), Y: r.Worth})
		}
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Worth of quiet days", "worth"
	p.X.Tick.Marker = plot.TimeTicks{Format: "2006-01-02"}
	p.Legend.Top = false
	for i, site := range sortedKeys(bySite) {
		line, marks, err := plotter.NewLinePoints(bySite[site])
		if err != nil {
			return errors.Wrapf(err, "plotting %s", site)
		}
		line.Color, marks.Color, marks.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(site, line, marks)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "saving the plot")
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	var keys []K
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
