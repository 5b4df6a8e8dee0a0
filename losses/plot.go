// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package losses

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot draws requests a second by what became of them into a file, whose ending says
// its form (.png, .svg, .pdf).
func (r *Report) Plot(file string) error {
	if len(r.seconds) == 0 {
		return errors.New("there is no request to draw")
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds since the first request", "requests"
	seconds := slices.Sorted(maps.Keys(r.seconds))
	var lines []any
	for f := range fates {
		points := make(plotter.XYs, 0, len(seconds))
		for s := seconds[0]; s <= seconds[len(seconds)-1]; s++ {
			y := 0
			if c := r.seconds[s]; c != nil {
				y = c[f]
			}
			points = append(points, plotter.XY{X: float64(s - seconds[0]), Y: float64(y)})
		}
		lines = append(lines, f.String(), points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write plot")
}
