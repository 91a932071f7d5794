package emulator

import (
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

// drawRows plots the fraction that each variant answers in time on each pattern, and the upper bound.
func drawRows(rows []Row, path string) error {
	p := plot.New()
	p.Title.Text = "Fraction of requests answered in time"
	p.Y.Min, p.Y.Max = 0.5, 1
	p.Legend.Top = true
	var names []string
	byVariant, order := map[string]plotter.XYs{}, []string{}
	bound := plotter.XYs{}
	for _, r := range rows {
		if len(names) == 0 || names[len(names)-1] != r.Pattern {
			names = append(names, r.Pattern)
			bound = append(bound, plotter.XY{X: float64(len(names) - 1), Y: r.Bound})
		}
		if byVariant[r.Variant] == nil {
			order = append(order, r.Variant)
		}
		byVariant[r.Variant] = append(byVariant[r.Variant], plotter.XY{X: float64(len(names) - 1), Y: r.InTime})
	}
	byVariant["bound"] = bound
	for i, variant := range append(order, "bound") {
		marks, err := plotter.NewScatter(byVariant[variant])
		if err != nil {
			return errors.Wrap(err, "plotting a variant")
		}
		marks.Color, marks.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(marks)
		p.Legend.Add(variant, marks)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.4
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "saving the plot")
}
