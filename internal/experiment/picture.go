package experiment

import (
	"image/color"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

const (
	pictureWidth = 8 * vg.Inch
	// rowHeight is the height of one comparison. frameHeight is the height of the axis
	// and the margins.
	rowHeight, frameHeight = 0.35 * vg.Inch, 1.2 * vg.Inch
)

var pairColor = color.Gray{Y: 150}

// WritePicture draws the differences of the scores as an SVG file. It draws a gray circle
// for each pair, the median, and the interval of the median.
func WritePicture(path string, comparisons []Comparison) error {
	picture := plot.New()
	picture.X.Label.Text = "difference of the score"
	var labels []string
	var medians intervals
	var pairs plotter.XYs
	for _, c := range comparisons {
		if c.Measure != Score {
			continue
		}
		row := float64(len(labels))
		labels = append(labels, c.Tree+", "+c.Site+", "+c.Day)
		medians.add(c, row)
		for _, difference := range c.Differences {
			pairs = append(pairs, plotter.XY{X: difference, Y: row})
		}
	}
	if len(labels) == 0 {
		return errors.New("no picture: no pair of plays has scores")
	}
	if err := addPoints(picture, pairs, medians); err != nil {
		return err
	}
	picture.NominalY(labels...)
	height := frameHeight + rowHeight*vg.Length(len(labels))
	return errors.Wrap(picture.Save(pictureWidth, height, path), "picture")
}

// intervals holds the medians to draw. Each has an interval, which is drawn as an error bar.
type intervals struct {
	plotter.XYs
	plotter.XErrors
}

func (i *intervals) add(c Comparison, row float64) {
	i.XYs = append(i.XYs, plotter.XY{X: c.Median, Y: row})
	// With too few pairs for the confidence level the interval is unbounded, so the
	// range of the differences is drawn.
	low := max(c.Low, slices.Min(c.Differences))
	high := min(c.High, slices.Max(c.Differences))
	i.XErrors = append(i.XErrors, struct{ Low, High float64 }{c.Median - low, high - c.Median})
}

func addPoints(picture *plot.Plot, pairs plotter.XYs, medians intervals) error {
	circles, err := plotter.NewScatter(pairs)
	if err != nil {
		return errors.Wrap(err, "picture")
	}
	circles.GlyphStyle = draw.GlyphStyle{Color: pairColor, Radius: vg.Points(2.5), Shape: draw.RingGlyph{}}
	bars, err := plotter.NewXErrorBars(medians)
	if err != nil {
		return errors.Wrap(err, "picture")
	}
	centers, err := plotter.NewScatter(medians)
	if err != nil {
		return errors.Wrap(err, "picture")
	}
	centers.GlyphStyle = draw.GlyphStyle{Color: color.Black, Radius: vg.Points(3), Shape: draw.CircleGlyph{}}
	picture.Add(plotter.NewGrid(), circles, bars, centers)
	return nil
}
