package guavaload

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter
)

// Plot writes a bar chart of the on-time share of each client account. The extension of file selects the format.
func (p Report) Plot(file string) error {
	c := plot.New()
	c.Title.Text = p.Name + ": answers on time"
	c.Y.Label.Text = "% of calls"
	c.Y.Min, c.Y.Max = 0, 100
	values := make(plotter.Values, len(p.Accounts))
	names := make([]string, len(p.Accounts))
	for i, a := range p.Accounts {
		values[i], names[i] = 100*a.OnTime, a.Name
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return errors.Newf("draw bars: %w", err)
	}
	c.Add(bars)
	c.NominalX(names...)
	if err := c.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Newf("write plot: %w", err)
	}
	return nil
}
