package chart

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	// width is that of each plot, and rowHeight the height of a day's bar with its gap.
	width     = 9.5 * vg.Inch
	rowHeight = 0.3 * vg.Inch
	// curveHeight is the height of the distributions.
	curveHeight = 4 * vg.Inch
	// axisHeight is the room for the axis, the title and the legend of the bars.
	axisHeight = 1.6 * vg.Inch
	// drawnCauses is the number of causes with a colour of their own, as many as the library has.
	drawnCauses = 7
	// legendRoom is the part of the axis behind the longest bar that the legend takes.
	legendRoom = 0.5
	// listedLosses is the number of losses that the table names.
	listedLosses = 3
	// shortest is the least duration on the logarithmic axis.
	shortest = 100 * time.Microsecond
)

//go:embed page.html
var layout string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"largest":  func(d Day) []Loss { return d.Largest(listedLosses) },
	"quantile": func(s Series, q float64) time.Duration { return s.quantile(q).Round(time.Microsecond) },
}).Parse(layout))

// Write writes the page.
func Write(w io.Writer, title string, days []Day, series []Series) error {
	data := struct {
		Title        string
		Days         []Day
		Series       []Series
		Bars, Curves template.HTML
		LossesPerDay int
	}{Title: title, Days: days, Series: series, LossesPerDay: listedLosses}
	var err error
	if len(days) > 0 {
		if data.Bars, err = bars(days); err != nil {
			return err
		}
	}
	if len(series) > 0 {
		if data.Curves, err = curves(series); err != nil {
			return err
		}
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

// bars draws what each day lost, by cause.
func bars(days []Day) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Worth lost, by cause"
	p.X.Label.Text = "worth"
	p.X.Min = 0
	p.Legend.Top = true
	p.Legend.Left = false
	names := make([]string, len(days))
	for i := range days {
		names[i] = fmt.Sprintf("%s %s/%d", days[i].Site, days[i].Name, days[i].Seed)
	}
	list, more := causes(days, drawnCauses)
	drawn := make([]float64, len(days))
	var below *plotter.BarChart
	add := func(name string, value func(i int) float64, c color.Color) error {
		values := make(plotter.Values, len(days))
		for i := range days {
			values[i] = value(i)
		}
		b, err := plotter.NewBarChart(values, rowHeight/2)
		if err != nil {
			return fmt.Errorf("draw the losses: %w", err)
		}
		b.Horizontal, b.Color, b.LineStyle.Width = true, c, 0
		if below != nil {
			b.StackOn(below)
		}
		below = b
		p.Add(b)
		p.Legend.Add(name, b)
		return nil
	}
	for n, cause := range list {
		value := func(i int) float64 {
			v := days[i].lost(cause)
			drawn[i] += v
			return v
		}
		if err := add(cause, value, plotutil.SoftColors[n%len(plotutil.SoftColors)]); err != nil {
			return "", err
		}
	}
	if more {
		rest := func(i int) (sum float64) {
			for _, l := range days[i].Losses {
				sum += l.Worth
			}
			return sum - drawn[i]
		}
		if err := add("others", rest, color.Gray{Y: 160}); err != nil {
			return "", err
		}
	}
	p.NominalY(names...)
	p.X.Max *= 1 + legendRoom
	return render(p, rowHeight*vg.Length(len(days))+axisHeight)
}

// curves draws the part of the values that lie below each duration.
func curves(series []Series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Durations"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "part at most as long"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = false
	for n, s := range series {
		points := make(plotter.XYs, len(s.Values))
		for i, v := range s.Values {
			points[i] = plotter.XY{X: max(v, shortest).Seconds(), Y: float64(i+1) / float64(len(s.Values))}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("draw %s: %w", s.Name, err)
		}
		l.Color, l.Width = plotutil.Color(n), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(s.Name, l)
	}
	p.Add(plotter.NewGrid())
	return render(p, curveHeight)
}

func render(p *plot.Plot, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", fmt.Errorf("draw the plot: %w", err)
	}
	svg := out.Bytes()
	// The XML header has no place inside a page.
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil //nolint:gosec // the library escapes the texts of the plot
}
